package hosted

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/entryvm/settingsfile"
)

// signalCase is a case of testdata/server-signals.toml, which explains the fields.
type signalCase struct {
	Name           string                `toml:"name"`
	VMs            int                   `toml:"vms"`
	ManyObjects    bool                  `toml:"many_objects"`
	Servers        int                   `toml:"servers"`
	Status         int                   `toml:"status"`
	Header         map[string]string     `toml:"header"`
	Ends           settingsfile.Duration `toml:"ends"`
	Run            settingsfile.Duration `toml:"run"`
	Limit          float64               `toml:"limit"`
	Grace          settingsfile.Duration `toml:"grace"`
	Until          settingsfile.Duration `toml:"until"`
	MaxRequests    int                   `toml:"max_requests"`
	MinServed      float64               `toml:"min_served"`
	MinServedAtEnd float64               `toml:"min_served_at_end"`
	MinAtEnd       int                   `toml:"min_at_end"`
}

const (
	signalStart    = time.Second
	signalInterval = 25 * time.Millisecond
	limitGrace     = 3 * time.Second
	limitWindow    = 4 * time.Second
	// signalTimeout is the time limit of the requests. A refusal must come well before it.
	signalTimeout = 1500 * time.Millisecond
	// concurrentSignalCases bounds the cases that run at the same time, because they measure times.
	concurrentSignalCases = 3
)

// signalRun is a run of a case. Times are since its start.
type signalRun struct {
	signalCase
	startedAt time.Time
	addresses []string

	mutex sync.Mutex
	// first is the server that signalled first; signalled has the times of the requests that each server got since it signals.
	first     int
	signalled map[int][]time.Duration
	// sent and served have the times of requests, wrong the responses that are neither a success nor a refusal in time.
	sent, served []time.Duration
	wrong        []string
}

func (run *signalRun) age() time.Duration { return time.Since(run.startedAt) }

func (run *signalRun) respond(number int) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		run.mutex.Lock()
		defer run.mutex.Unlock()
		at := run.age()
		if _, known := run.signalled[number]; !known && at > signalStart && len(run.signalled) < run.Servers {
			if len(run.signalled) == 0 {
				run.first = number
			}
			run.signalled[number] = nil
		}
		writer.Header().Set("X-Response-Signature", "m")
		times, signals := run.signalled[number]
		if !signals {
			return
		}
		run.signalled[number] = append(times, at)
		if run.Ends > 0 && at > time.Duration(run.Ends) {
			return
		}
		for name, value := range run.Header {
			writer.Header().Set(name, value)
		}
		writer.WriteHeader(run.Status)
	}
}

func (run *signalRun) send(t *testing.T, number int) {
	object := "1"
	if run.ManyObjects {
		object = strconv.Itoa(number)
	}
	request := newRequest(t.Context(), t, http.MethodGet, run.addresses[number%len(run.addresses)], "/lohu/1", strconv.Itoa(number), object)
	at := run.age()
	response, err := http.DefaultClient.Do(request)
	run.mutex.Lock()
	defer run.mutex.Unlock()
	run.sent = append(run.sent, at)
	if err != nil {
		run.wrong = append(run.wrong, err.Error())
		return
	}
	defer response.Body.Close()
	took := run.age() - at
	switch {
	case response.StatusCode == http.StatusOK:
		run.served = append(run.served, at)
	case response.StatusCode != http.StatusServiceUnavailable || took > signalTimeout/2 || response.Header.Get("Retry-After") == "":
		run.wrong = append(run.wrong, fmt.Sprintf("status %d after %v", response.StatusCode, took))
	}
}

// Servers say in their responses how many requests they accept, that they leave, or when they want requests again. Guards against VMs
// that do not follow it, that each follow it by themselves, that learn of it too late or hold it for ever, and against signals that
// take a service from its callers although servers are free, or without bound.
func TestServerSignalsAreFollowed(t *testing.T) {
	text, err := os.ReadFile("testdata/server-signals.toml")
	assert.NilError(t, err)
	var table struct {
		Cases []signalCase `toml:"case"`
	}
	assert.NilError(t, toml.Unmarshal(text, &table))
	running := make(chan struct{}, concurrentSignalCases)
	for _, signalCase := range table.Cases {
		t.Run(signalCase.Name, func(t *testing.T) {
			t.Parallel()
			running <- struct{}{}
			defer func() { <-running }()
			signalCase.Run = max(signalCase.Run, settingsfile.Duration(10*time.Second))
			run := &signalRun{signalCase: signalCase, signalled: map[int][]time.Duration{}}
			var backends []*backend
			for number := range 3 {
				backends = append(backends, newBackend(t))
				backends[number].respondWith(run.respond(number))
			}
			fixture := newFixture(t, backends...)
			run.addresses = append(run.addresses, fixture.settings.CallerAddress.String())
			for number := 2; number <= signalCase.VMs; number++ {
				fixture.settings.ID = oleandervane.VMID(fmt.Sprintf("vm-%d", number))
				fixture.start(t)
				run.addresses = append(run.addresses, fixture.settings.CallerAddress.String())
			}
			// The VMs learn of each other from the store.
			time.Sleep(time.Second)
			run.startedAt = time.Now()
			var requests sync.WaitGroup
			for number := range int(time.Duration(run.Run) / signalInterval) {
				time.Sleep(time.Duration(number)*signalInterval - run.age())
				requests.Go(func() { run.send(t, number) })
			}
			requests.Wait()
			run.check(t)
			if t.Failed() {
				t.Log(fixture.log.text())
			}
		})
	}
}

// countBetween returns how many times are after from and before until.
func countBetween(times []time.Duration, from, until time.Duration) (count int) {
	for _, at := range times {
		if at > from && at < until {
			count++
		}
	}
	return count
}

func (run *signalRun) check(t *testing.T) {
	assert.Assert(t, len(run.signalled) == run.Servers, "%d servers signalled", len(run.signalled))
	end, times := time.Duration(run.Run), run.signalled[run.first]
	if run.Limit > 0 {
		for number, times := range run.signalled {
			run.checkLimit(t, number, times)
		}
	} else if run.Grace > 0 {
		until := end
		if run.Until > 0 {
			until = times[0] + time.Duration(run.Until)
		}
		count := countBetween(times, times[0]+time.Duration(run.Grace), until)
		t.Logf("the first server got %d requests after the grace time", count)
		assert.Check(t, count <= run.MaxRequests, "%d requests after the grace time", count)
	}
	last := countBetween(times, end-2*time.Second, end)
	assert.Check(t, last >= run.MinAtEnd, "the first server got %d requests in the last 2 s", last)
	for from, share := range map[time.Duration]float64{signalStart + limitGrace: run.MinServed, end - time.Second: run.MinServedAtEnd} {
		served, sent := countBetween(run.served, from, end), countBetween(run.sent, from, end)
		t.Logf("%d of %d requests were served from %v on", served, sent, from)
		assert.Check(t, float64(served) >= share*float64(sent), "%d of %d requests were served from %v on", served, sent, from)
	}
	assert.Check(t, len(run.wrong) == 0, "%d wrong responses: %.300v", len(run.wrong), run.wrong)
}

func (run *signalRun) checkLimit(t *testing.T, number int, times []time.Duration) {
	until := time.Duration(run.Run)
	if run.Ends > 0 {
		until = time.Duration(run.Ends)
	}
	most, allowed := 0, 1.5*run.Limit*limitWindow.Seconds()+5
	for _, first := range times {
		if first >= times[0]+limitGrace {
			most = max(most, 1+countBetween(times, first, min(until, first+limitWindow)))
		}
	}
	t.Logf("server %d got %d requests in %v, %.0f are allowed", number, most, limitWindow, allowed)
	assert.Check(t, float64(most) <= allowed, "server %d got %d requests in %v, %.0f are allowed", number, most, limitWindow, allowed)
}
