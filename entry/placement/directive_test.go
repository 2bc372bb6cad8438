package placement

import (
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/timer"
)

// Guards against VMs that have sent nothing for a while and together exceed the rate limit of a server when requests come again, in
// a fleet of any size, and against a limit that outlives the run of the server.
func TestIdleVMsKeepARateLimitTogether(t *testing.T) {
	const rateLimit, window = 2.0, 4 * time.Second
	for _, vms := range []int{1, 4, 16, 142} {
		manual := timer.NewManual(time.Unix(1000, 0))
		placers := fleet(manual, vms)
		server := registered("i-1", "kigali-a")
		run := newServer(server, manual.Now()).target().RunHash()
		arrivals := func(duration time.Duration) (count int) {
			for end := manual.Now().Add(duration); manual.Now().Before(end); manual.Advance(50 * time.Millisecond) {
				for _, placer := range placers {
					placer.MergeDirectives([]oleandervane.ServerDirective{{Server: run, RateLimit: rateLimit}})
					reservation, err := placer.Chooser(Request{Service: "ledger", Route: oleandervane.Route{Kind: oleandervane.RouteSafe}}).Choose(nil)
					if err == nil {
						count++
						reservation.Release(oleandervane.AttemptAnswered)
					}
				}
			}
			return count
		}
		for _, placer := range placers {
			placer.Update(registryOf(server))
			placer.MergeDirectives([]oleandervane.ServerDirective{{Server: run, RateLimit: rateLimit}})
		}
		manual.Advance(directiveLifetime - time.Second)
		burst := arrivals(window)
		assert.Assert(t, float64(burst) <= 1.5*rateLimit*window.Seconds()+5, "%d VMs sent %d requests after a pause", vms, burst)
		chooser := placers[0].Chooser(Request{Service: "ledger", Route: oleandervane.Route{Kind: oleandervane.RouteSafe}})
		_, err := chooser.Choose(nil)
		assert.ErrorIs(t, err, oleandervane.ErrNoBackendServer, "%d VMs", vms)
		assert.Equal(t, chooser.Decision().Reason, ReasonLimited)
		assert.Assert(t, chooser.Decision().RetryAfter > 0)
		steady := arrivals(10 * window)
		assert.Assert(t, steady >= 30 && steady <= 80, "%d VMs sent %d requests in 40 s", vms, steady)
		server.StartedAt = 1
		for _, placer := range placers {
			placer.Update(registryOf(server))
		}
		assert.Assert(t, arrivals(time.Second) >= 20, "%d VMs keep the limit of an earlier run", vms)
	}
}

// Guards against a rate limit that VMs forget while no requests come, and against one that lasts forever because the few VMs that send
// to the server have none.
func TestRateLimitIsKeptDuringALongPause(t *testing.T) {
	const rateLimit, window = 1.0, 4 * time.Second
	for _, vms := range []int{1, 4, 16, 142} {
		for _, pause := range []time.Duration{directiveLifetime + time.Second, time.Minute, time.Hour} {
			manual := timer.NewManual(time.Unix(1000, 0))
			placers := fleet(manual, vms)
			server := registered("i-1", "kigali-a")
			run := newServer(server, manual.Now()).target().RunHash()
			for _, placer := range placers {
				placer.Update(registryOf(server))
				placer.MergeDirectives([]oleandervane.ServerDirective{{Server: run, RateLimit: rateLimit}})
			}
			manual.Advance(pause)
			var arrivals []time.Time
			for end := manual.Now().Add(10 * window); manual.Now().Before(end); manual.Advance(50 * time.Millisecond) {
				for _, placer := range placers {
					reservation, err := placer.Chooser(Request{Service: "ledger", Route: oleandervane.Route{Kind: oleandervane.RouteSafe}}).Choose(nil)
					if err == nil {
						arrivals = append(arrivals, manual.Now())
						reservation.Release(oleandervane.AttemptAnswered)
					}
				}
			}
			for i, first := range arrivals {
				count := 0
				for _, arrival := range arrivals[i:] {
					if arrival.Sub(first) < window {
						count++
					}
				}
				assert.Assert(t, float64(count) <= 1.5*rateLimit*window.Seconds()+5, "%d VMs sent %d requests in %v after a pause of %v", vms, count, window, pause)
			}
			assert.Assert(t, len(arrivals) > 0, "%d VMs never ask the server again", vms)
			for _, placer := range placers {
				assert.Equal(t, len(placer.Directives()), 1)
				placer.MergeDirectives([]oleandervane.ServerDirective{{Server: run}})
				assert.Equal(t, placer.view.Load().byRun[run].directive.rateLimit, 0.0)
			}
		}
	}
}

// Guards against requests that are refused although a server is free, because others took the only request that a server with a rate
// limit accepts at the same moment.
func TestConcurrentRequestsUseTheOtherServer(t *testing.T) {
	placer := fleet(timer.NewManual(time.Unix(1000, 0)), 1)[0]
	for number := range 1000 {
		limited := registered("limited", "kigali-a")
		limited.StartedAt = int64(number + 1)
		placer.Update(registryOf(limited, registered("free", "kigali-a")))
		server := placer.view.Load().byHash[uint32(memberHash("limited"))]
		server.directive = directive{rateLimit: 1, statedAt: time.Unix(1000, 0)}
		var requests sync.WaitGroup
		for range 8 {
			requests.Go(func() {
				reservation, err := placer.Chooser(Request{Service: "ledger", Object: strconv.Itoa(number), Route: oleandervane.Route{Kind: oleandervane.RouteSafe}}).Choose(nil)
				if assert.Check(t, err) {
					reservation.Release(oleandervane.AttemptCancelled)
				}
			})
		}
		requests.Wait()
	}
}
