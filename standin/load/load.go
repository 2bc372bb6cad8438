package load

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"oleandervane.example"
)

// Request is a request that the generator sends.
type Request struct {
	Service    oleandervane.ServiceName
	Kind       oleandervane.KindName
	Idempotent bool
	// Timeout is the time limit of the whole request.
	Timeout time.Duration
	// Identity identifies the request in the journals of backend server stand-ins.
	Identity string
}

// Sender sends one request and waits for its outcome.
type Sender interface {
	Send(ctx context.Context, request Request) (oleandervane.Outcome, error)
}

// Stream describes the requests of one kind that are sent to a service.
type Stream struct {
	Service    oleandervane.ServiceName
	Kind       oleandervane.KindName
	Idempotent bool
	PerSecond  float64
	Timeout    time.Duration
}

// Result has the outcomes and latencies of the requests of one stream. It is immutable.
type Result struct {
	Stream   Stream
	Sent     int
	Outcomes map[oleandervane.Outcome]int
	Errors   int
	P50, P99 time.Duration
}

// Completion is the outcome of one request.
type Completion struct {
	Request Request
	Outcome oleandervane.Outcome
	Err     error
	Latency time.Duration
}

const (
	maxLatency         = time.Minute
	significantFigures = 3
)

// Generator sends streams of requests through a sender.
type Generator struct {
	sender       Sender
	timerService oleandervane.TimerService
	prefix       string
	// OnCompletion, if set, is called at the end of each request, concurrently from many goroutines.
	OnCompletion func(completion Completion)
}

// NewGenerator returns a generator whose request identities start with prefix.
func NewGenerator(sender Sender, timerService oleandervane.TimerService, prefix string) *Generator {
	return &Generator{sender: sender, timerService: timerService, prefix: prefix}
}

// Run sends the streams until ctx ends, then waits for the outcomes and returns one result for each stream.
// Arrivals are a Poisson process with the given seed; they do not depend on the outcomes of earlier requests.
func (generator *Generator) Run(ctx context.Context, streams []Stream, seed uint64) []Result {
	results := make([]Result, len(streams))
	var group sync.WaitGroup
	for i, stream := range streams {
		group.Go(func() {
			results[i] = generator.runStream(ctx, stream, rand.New(rand.NewPCG(seed, uint64(i))))
		})
	}
	group.Wait()
	return results
}

func (generator *Generator) runStream(ctx context.Context, stream Stream, random *rand.Rand) Result {
	recorder := newRecorder()
	var group sync.WaitGroup
	for sent := 0; ; sent++ {
		gap := time.Duration(random.ExpFloat64() / stream.PerSecond * float64(time.Second))
		if !generator.wait(ctx, gap) {
			group.Wait()
			return recorder.result(stream, sent)
		}
		request := Request{
			Service:    stream.Service,
			Kind:       stream.Kind,
			Idempotent: stream.Idempotent,
			Timeout:    stream.Timeout,
			Identity:   fmt.Sprintf("%s-%s-%s-%d", generator.prefix, stream.Service, stream.Kind, sent),
		}
		group.Go(func() { generator.send(stream, request, recorder) })
	}
}

// send sends one request. Its timeout does not depend on the context of the run, so that the end of the run does not
// cancel it.
func (generator *Generator) send(stream Stream, request Request, recorder *recorder) {
	ctx, cancel := context.WithTimeout(context.Background(), stream.Timeout)
	defer cancel()
	start := generator.timerService.Now()
	outcome, err := generator.sender.Send(ctx, request)
	completion := Completion{Request: request, Outcome: outcome, Err: err, Latency: generator.timerService.Now().Sub(start)}
	recorder.record(completion)
	if generator.OnCompletion != nil {
		generator.OnCompletion(completion)
	}
}

func (generator *Generator) wait(ctx context.Context, gap time.Duration) bool {
	due := make(chan struct{})
	cancel := generator.timerService.After(gap, func(time.Time) { close(due) })
	defer cancel()
	select {
	case <-due:
		return true
	case <-ctx.Done():
		return false
	}
}

type recorder struct {
	mutex     sync.Mutex
	outcomes  map[oleandervane.Outcome]int
	errors    int
	latencies *hdrhistogram.Histogram
}

func newRecorder() *recorder {
	return &recorder{
		outcomes:  map[oleandervane.Outcome]int{},
		latencies: hdrhistogram.New(1, maxLatency.Microseconds(), significantFigures),
	}
}

func (recorder *recorder) record(completion Completion) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	if completion.Err != nil {
		recorder.errors++
	}
	recorder.outcomes[completion.Outcome]++
	_ = recorder.latencies.RecordValue(min(completion.Latency, maxLatency).Microseconds())
}

func (recorder *recorder) result(stream Stream, sent int) Result {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	return Result{
		Stream:   stream,
		Sent:     sent,
		Outcomes: recorder.outcomes,
		Errors:   recorder.errors,
		P50:      time.Duration(recorder.latencies.ValueAtQuantile(50)) * time.Microsecond,
		P99:      time.Duration(recorder.latencies.ValueAtQuantile(99)) * time.Microsecond,
	}
}

// WriteTable writes the results as a text table, ordered by service and kind.
func WriteTable(writer io.Writer, results []Result) error {
	results = slices.Clone(results)
	slices.SortFunc(results, func(a, b Result) int {
		return cmp.Or(cmp.Compare(a.Stream.Service, b.Stream.Service), cmp.Compare(a.Stream.Kind, b.Stream.Kind))
	})
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "service\tkind\tsent\tanswered\tnot run\tunknown\tp50 ms\tp99 ms\t")
	for _, result := range results {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n",
			result.Stream.Service, result.Stream.Kind, result.Sent,
			result.Outcomes[oleandervane.Answered], result.Outcomes[oleandervane.NotRun], result.Outcomes[oleandervane.Unknown],
			milliseconds(result.P50), milliseconds(result.P99))
	}
	return table.Flush()
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}
