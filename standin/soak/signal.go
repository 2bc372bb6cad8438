package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"oleandervane.example"
	"oleandervane.example/platform/dialect"
)

const (
	// signalGrace is the time after which VMs must follow what a server says. It includes 1 s for a busy machine.
	signalGrace = 3 * time.Second
	// signalDuration is how long a server says it.
	signalDuration = 8 * time.Second
	// limitWindow is the window in which the requests to a server with a rate limit are counted. It gets limitFactor times what its
	// limit allows, and limitBurst more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitBurst  = 5
	// rateLimit is the limit that a server states, in requests a second.
	rateLimit = 3
	// pause is the time for which a server that refuses requests wants none, maxDuringPause the number of requests that each VM may
	// send to it meanwhile from pauseGrace on.
	pause          = 4 * time.Second
	pauseGrace     = 500 * time.Millisecond
	maxDuringPause = 2
	// crashInterval is the time between two sends of a request that crashes servers, crashSends their number.
	crashInterval = 150 * time.Millisecond
	crashSends    = 40
	// crashCallers is the number of addresses that such a request comes from, one after the other.
	crashCallers = 8
	// leaveEarlyAfter is how long the caller of such a request waits if the request is safe. The server ends crashDelay after the
	// request arrived, and is down for crashDowntime.
	leaveEarlyAfter = 30 * time.Millisecond
	crashDelay      = 100 * time.Millisecond
	crashDowntime   = 500 * time.Millisecond
	// enoughCrashes is the number of crashes from which VMs must refuse the request after signalGrace; maxAfterCrashes is how often it
	// may still be sent then.
	enoughCrashes   = 3
	maxAfterCrashes = 3
)

// signal is what a server says in its responses.
type signal int32

// The signals of a server.
const (
	signalNone signal = iota
	signalLimit
	signalLeaving
	signalPause
	signalCount
)

var signalNames = [signalCount]string{"nothing", "limits its requests", "says that it leaves", "refuses requests with a time"}

// signalState is the signal that a backend server sends, and the time of its first response with it in Unix nanoseconds.
type signalState struct {
	signal  atomic.Int32
	firstAt atomic.Int64
}

func (signalState *signalState) set(next signal) {
	signalState.firstAt.Store(0)
	signalState.signal.Store(int32(next))
}

// apply adds the signal to a response and reports whether it refuses the request.
func (signalState *signalState) apply(header http.Header) (refuses bool) {
	current := signal(signalState.signal.Load())
	if current != signalNone {
		signalState.firstAt.CompareAndSwap(0, time.Now().UnixNano())
	}
	var metadata oleandervane.ResponseMetadata
	switch current {
	case signalLimit:
		metadata.RateLimit = rateLimit
	case signalLeaving:
		metadata.Leaving = true
	case signalPause:
		metadata.RetryAfter = pause
	}
	dialect.Dialect{}.SetDirectiveHeader(header, metadata)
	return current == signalPause
}

// signalFor has a server send a signal for a while and checks that VMs follow it, unless a VM is disturbed meanwhile.
func (soak *Soak) signalFor(backend *backend, next signal) {
	if backend.leaving.Swap(true) {
		return
	}
	soak.logFault("%s %s", backend.id, signalNames[next])
	startedAt := time.Now()
	backend.signals.set(next)
	soak.pending.Go(func() {
		time.Sleep(signalDuration)
		endedAt := time.Now()
		firstAt := backend.signals.firstAt.Load()
		backend.signals.set(signalNone)
		// A new run ends what the former one asked for.
		soak.write("servers/"+backend.id, backend.coldEntry("ready", 0, endedAt.UnixMilli()))
		if soak.undisturbedSince(startedAt) && firstAt > 0 {
			soak.check.checkSignal(backend.id, next, soak.check.journal.arrivalsBetween(backend.id, time.Unix(0, firstAt), endedAt), time.Unix(0, firstAt), len(soak.vms))
		}
		backend.leaving.Store(false)
	})
}

// undisturbedSince reports whether no VM has been disturbed since a moment.
func (soak *Soak) undisturbedSince(moment time.Time) bool {
	for _, vm := range soak.vms {
		if undisturbed, _ := vm.undisturbedSince(moment); !undisturbed {
			return false
		}
	}
	return true
}

// sendCrashingRequest sends a request that crashes each server that runs it to random VMs, and checks that they refuse it in time.
func (soak *Soak) sendCrashingRequest(ctx context.Context, unsafe bool) {
	soak.crashing.Store(true)
	name := fmt.Sprintf("deadly-%d", soak.faults)
	soak.logFault("request %s crashes servers", name)
	startedAt := time.Now()
	random := soak.random.Uint64()
	soak.pending.Go(func() {
		for send := range uint64(crashSends) {
			vm := soak.vms[(random+send*7)%uint64(len(soak.vms))]
			soak.sendOnce(ctx, vm, name, unsafe, int(send))
			time.Sleep(crashInterval)
		}
		soak.crashing.Store(false)
		if soak.undisturbedSince(startedAt) {
			soak.check.checkCrashes(name, soak.check.journal.crashesOf(name))
		}
	})
}

// sendOnce sends the request from one of several addresses. send is the number of the send.
func (soak *Soak) sendOnce(ctx context.Context, vm *vm, name string, unsafe bool, send int) {
	method, prefix, timeout := http.MethodGet, "/safe/", leaveEarlyAfter
	if unsafe {
		method, prefix, timeout = http.MethodPost, "/unsafe/", callerTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+vm.caller+prefix+name, http.NoBody)
	if err != nil {
		return
	}
	request.Host, request.Close = "a.example", true
	request.Header.Set("X-Request-Id", fmt.Sprintf("%s-%d", name, time.Now().UnixNano()))
	request.AddCookie(&http.Cookie{Name: "X-Affinity-Key", Value: name})
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, byte(2+send*crashCallers/crashSends))}}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}
	if response, err := transport.RoundTrip(request); err == nil {
		_ = response.Body.Close()
	}
}

// crash ends the server: its connections break, it refuses new ones for a while, and then starts again under its id. Other faults of
// its proxy end with that.
func (soak *Soak) crash(backend *backend) {
	if err := backend.proxy.restart(crashDowntime); err != nil {
		soak.check.fail("the soak could not start %s again: %v", backend.id, err)
	}
	soak.write("servers/"+backend.id, backend.coldEntry("ready", 0, time.Now().UnixMilli()))
}

// checkSignal checks the requests that a server got after its first response with a signal.
func (check *check) checkSignal(server string, sent signal, arrivals []time.Time, firstAt time.Time, vms int) {
	check.count(&check.signals)
	switch sent {
	case signalLimit:
		allowed := limitFactor*rateLimit*limitWindow.Seconds() + limitBurst
		for _, end := range timesBetween(arrivals, firstAt.Add(signalGrace+limitWindow), firstAt.Add(signalDuration)) {
			if count := len(timesBetween(arrivals, end.Add(-limitWindow), end)) + 1; float64(count) > allowed {
				check.fail("%s limits its requests to %d a second and got %d in %v, %.0f are allowed", server, rateLimit, count, limitWindow, allowed)
				return
			}
		}
	case signalLeaving:
		if late := timesBetween(arrivals, firstAt.Add(signalGrace), firstAt.Add(signalDuration)); len(late) > 0 {
			check.fail("%s said that it leaves and got %d requests later than %v after that", server, len(late), signalGrace)
		}
	case signalPause:
		// Each VM hears of the pause by itself.
		during := timesBetween(arrivals, firstAt.Add(pauseGrace), firstAt.Add(pause))
		if allowed := (maxDuringPause + 1) * vms; len(during) > allowed {
			check.fail("%s wanted no requests for %v and got %d, %d are allowed", server, pause, len(during), allowed)
		}
	}
}

// checkCrashes checks how often a request crashed servers after the first crashes.
func (check *check) checkCrashes(name string, crashes []time.Time) {
	check.count(&check.crashes)
	if len(crashes) < enoughCrashes {
		return
	}
	late := timesBetween(crashes, crashes[enoughCrashes-1].Add(signalGrace), crashes[len(crashes)-1].Add(time.Nanosecond))
	if len(late) > maxAfterCrashes {
		check.fail("request %s crashed %d servers, %d of them later than %v after the third", name, len(crashes), len(late), signalGrace)
	}
}
