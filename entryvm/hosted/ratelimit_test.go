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
)

type rateLimitCase struct {
	Name              string   `toml:"name"`
	Limits            []string `toml:"limits"`
	RequestsPerSecond int      `toml:"requests_per_second"`
	MinServed         float64  `toml:"min_served"`
	EndAfter          string   `toml:"end_after"`
	MinAfterEnd       float64  `toml:"min_after_end"`
}

const (
	limitedVMs = 4
	// limitGrace is the time after which all VMs must keep a limit.
	limitGrace  = 3 * time.Second
	limitWindow = 4 * time.Second
	limitRun    = 10 * time.Second
	// limitRefusalTime is the time within which a request that cannot be served must be refused.
	limitRefusalTime = 200 * time.Millisecond
)

// limitedFleet sends requests to several VMs whose servers state limits, and records when requests reached the servers.
type limitedFleet struct {
	rateLimitCase rateLimitCase
	startedAt     time.Time
	addresses     []string

	mutex    sync.Mutex
	arrivals [][]time.Duration
	// served and sent count the requests that were sent after the grace time.
	served, sent int
	// wrong describes the responses that are neither a success nor an immediate refusal with a time to come back.
	wrong []string
}

func (fleet *limitedFleet) age() time.Duration {
	return time.Since(fleet.startedAt)
}

func (fleet *limitedFleet) respond(number int) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		fleet.mutex.Lock()
		fleet.arrivals[number] = append(fleet.arrivals[number], fleet.age())
		fleet.mutex.Unlock()
		writer.Header().Set("X-Response-Signature", "m")
		if limit := fleet.rateLimitCase.Limits[number]; limit != "" && !fleet.ended() {
			writer.Header().Set("Server-Limit", limit)
		}
	}
}

func (fleet *limitedFleet) ended() bool {
	endAfter, err := time.ParseDuration(fleet.rateLimitCase.EndAfter)
	return err == nil && fleet.age() > endAfter
}

func (fleet *limitedFleet) request(t *testing.T, number int) {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, fmt.Sprintf("http://%s/lohu/%d", fleet.addresses[number%limitedVMs], number), http.NoBody)
	assert.Check(t, err)
	request.Host = "a.example"
	request.Header.Set("X-Request-Id", strconv.Itoa(number))
	request.AddCookie(&http.Cookie{Name: "X-Affinity-Key", Value: strconv.Itoa(number)})
	sentAt := fleet.age()
	response, err := http.DefaultClient.Do(request)
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if err != nil {
		fleet.wrong = append(fleet.wrong, err.Error())
		return
	}
	defer response.Body.Close()
	took := fleet.age() - sentAt
	refused := response.StatusCode == http.StatusServiceUnavailable && took < limitRefusalTime && response.Header.Get("Retry-After") != ""
	if response.StatusCode != http.StatusOK && !refused {
		fleet.wrong = append(fleet.wrong, fmt.Sprintf("status %d after %v", response.StatusCode, took))
	}
	if sentAt < limitGrace {
		return
	}
	fleet.sent++
	if response.StatusCode == http.StatusOK {
		fleet.served++
	}
}

// mostInWindow returns the largest number of arrivals at a server within limitWindow, all between the times.
func (fleet *limitedFleet) mostInWindow(number int, from, until time.Duration) int {
	most := 0
	for i, first := range fleet.arrivals[number] {
		count := 0
		for _, at := range fleet.arrivals[number][i:] {
			if first >= from && at <= until && at-first < limitWindow {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// Servers state how many requests a second they accept from all VMs together. Guards against VMs that do not read the limit, that
// each keep it by themselves, that learn of it too late or hold it for ever, and against a limit that takes a service from its
// callers although it has room.
func TestServersGetNoMoreRequestsThanTheirLimit(t *testing.T) {
	text, err := os.ReadFile("testdata/rate-limits.toml")
	assert.NilError(t, err)
	var table struct {
		Cases []rateLimitCase `toml:"case"`
	}
	assert.NilError(t, toml.Unmarshal(text, &table))
	for _, rateLimitCase := range table.Cases {
		t.Run(rateLimitCase.Name, func(t *testing.T) {
			t.Parallel()
			fleet := &limitedFleet{rateLimitCase: rateLimitCase, arrivals: make([][]time.Duration, len(rateLimitCase.Limits))}
			var backends []*backend
			for number := range rateLimitCase.Limits {
				backends = append(backends, newBackend(t))
				backends[number].respondWith(fleet.respond(number))
			}
			fixture := newFixture(t, backends...)
			fleet.addresses = append(fleet.addresses, fixture.settings.CallerAddress.String())
			for number := 2; number <= limitedVMs; number++ {
				fixture.settings.ID = oleandervane.VMID(fmt.Sprintf("vm-%d", number))
				fixture.start(t)
				fleet.addresses = append(fleet.addresses, fixture.settings.CallerAddress.String())
			}
			// The VMs learn of each other from the store.
			time.Sleep(time.Second)
			fleet.run(t)
			fleet.check(t)
		})
	}
}

// run sends the requests of the case.
func (fleet *limitedFleet) run(t *testing.T) {
	fleet.startedAt = time.Now()
	var requests sync.WaitGroup
	interval := time.Second / time.Duration(fleet.rateLimitCase.RequestsPerSecond)
	for number := range int(limitRun / interval) {
		time.Sleep(time.Duration(number)*interval - fleet.age())
		requests.Go(func() { fleet.request(t, number) })
	}
	requests.Wait()
}

func (fleet *limitedFleet) check(t *testing.T) {
	limitedUntil := limitRun
	if endAfter, err := time.ParseDuration(fleet.rateLimitCase.EndAfter); err == nil {
		limitedUntil = endAfter
	}
	for number, text := range fleet.rateLimitCase.Limits {
		if limit, err := strconv.ParseFloat(text, 64); err == nil && limit > 0 {
			most, allowed := fleet.mostInWindow(number, limitGrace, limitedUntil), 1.5*limit*limitWindow.Seconds()+5
			t.Logf("server %d with limit %s: %d requests in %v", number, text, most, limitWindow)
			assert.Check(t, float64(most) <= allowed, "server %d with limit %s got %d requests in %v, %.0f are allowed", number, text, most, limitWindow, allowed)
		}
	}
	t.Logf("%d of %d requests were served", fleet.served, fleet.sent)
	share := float64(fleet.served) / float64(fleet.sent)
	assert.Check(t, share >= fleet.rateLimitCase.MinServed, "%d of %d requests were served", fleet.served, fleet.sent)
	assert.Check(t, len(fleet.wrong) == 0, "%d wrong responses: %.300v", len(fleet.wrong), fleet.wrong)
	last := 0
	for _, at := range fleet.arrivals[0] {
		if at > limitRun-2*time.Second {
			last++
		}
	}
	assert.Check(t, float64(last) >= 2*fleet.rateLimitCase.MinAfterEnd, "the first server got %d requests in the last 2 s", last)
}
