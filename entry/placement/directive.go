package placement

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"oleandervane.example"
)

const (
	// directiveLifetime is the time after which a directive that no VM heard of again is old. A rate limit holds until the server
	// states another one or none, or ends. While it is old, all VMs may ask for it in turn, because those that usually send to the
	// server may have no requests.
	directiveLifetime = 10 * time.Second
	// leavingLifetime is how long a server counts as leaving after it said so. It gets no requests meanwhile and ends within this
	// time; one that said so by mistake is used again afterwards.
	leavingLifetime = time.Minute
	// maxAllLeaving is how long a route gets no server because all of its servers say that they leave. They keep serving while they
	// leave, and new servers start before, so that this is a mistake if it lasts longer.
	maxAllLeaving = 10 * time.Second
	// limitShare is the share of a server's rate limit that is used.
	limitShare = 0.9
	// limitVMs is the number of VMs that send requests to a server with a low rate limit; for each request a second, another one
	// does. VMs that have sent nothing for a while may all send at the same moment, so there must not be many.
	limitVMs = 2
	// maxLimitInterval bounds the time between two requests of a VM to a server with a rate limit, so that VMs learn of its end.
	maxLimitInterval = 5 * time.Second
	// maxReturnDelay bounds the delay after which callers are told to come back.
	maxReturnDelay = 2 * time.Second
)

// directive is what a run of a backend server asks of all VMs, from the newest response that this VM knows.
type directive struct {
	// rateLimit is the number of requests a second that the server accepts from all VMs together; zero for any number.
	rateLimit float64
	// leaving says that the server gets no more requests because it ends soon.
	leaving bool
	// statedAt is when the response arrived, here or at another VM; zero if the server has never asked for anything.
	statedAt time.Time
}

// asks reports whether the directive asks for anything.
func (directive directive) asks() bool {
	return directive.rateLimit > 0 || directive.leaving
}

// recordDirective records a directive unless a newer one is known, and reports whether it changes what the server asks for.
func (server *server) recordDirective(next directive, now time.Time) (changed bool) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	former, wasLeaving := server.directive.rateLimit, server.leaving(now)
	if !next.statedAt.After(server.directive.statedAt) || !next.asks() && !server.directive.asks() {
		return false
	}
	server.directive = next
	current := server.directive.rateLimit
	switch {
	case current == 0:
		server.nextLimitedSend = time.Time{}
	case former == 0:
		// VMs learn of the limit at the same time and must not send at the same time.
		senders := server.limitSenders(current)
		part := (float64(server.vmRank%senders) + 0.5) / float64(senders)
		server.nextLimitedSend = now.Add(time.Duration(part * float64(server.limitInterval(current))))
	default:
		if latest := now.Add(server.limitInterval(current)); server.nextLimitedSend.After(latest) {
			server.nextLimitedSend = latest
		}
	}
	return current != former || server.leaving(now) != wasLeaving
}

// leaving reports whether the server said that it leaves. The caller must hold the mutex.
func (server *server) leaving(now time.Time) bool {
	return server.directive.leaving && now.Sub(server.directive.statedAt) < leavingLifetime
}

// limitSenders returns the number of VMs that send to a server with the rate limit. If all of them send at once after a pause, the
// server gets little more than in the next second.
func (server *server) limitSenders(rateLimit float64) int {
	return int(min(float64(max(1, server.vms)), limitVMs+math.Ceil(rateLimit)))
}

// limitInterval is the interval between two requests of this VM to a server with the rate limit.
func (server *server) limitInterval(rateLimit float64) time.Duration {
	seconds := float64(server.limitSenders(rateLimit)) / (limitShare * rateLimit)
	return time.Duration(min(seconds, maxLimitInterval.Seconds()) * float64(time.Second))
}

// overLimit reports whether the server's rate limit forbids a request of this VM now. The caller must hold the mutex.
func (server *server) overLimit(rateLimit float64, now time.Time) bool {
	if rateLimit == 0 {
		return false
	}
	if now.Before(server.nextLimitedSend) {
		return true
	}
	if age := now.Sub(server.directive.statedAt); age >= directiveLifetime {
		return server.vmRank != server.turn(rateLimit, age)
	}
	return server.vmRank >= server.limitSenders(rateLimit)
}

// turn returns the rank of the VM whose turn it is to send to a server with an old rate limit. The age of the limit is nearly the same
// at all VMs.
func (server *server) turn(rateLimit float64, age time.Duration) int {
	seconds := min(1/(limitShare*rateLimit), maxLimitInterval.Seconds())
	return int(age.Seconds()/seconds) % max(1, server.vms)
}

// recordDirective records what a server asks for and notifies the observer of a change.
func (placer *Placer) recordDirective(server *server, next directive) {
	now := placer.settings.TimerService.Now()
	if server.recordDirective(next, now) && placer.settings.Observer != nil {
		placer.settings.Observer.DirectiveChanged(server.ID, next.rateLimit, next.leaving)
	}
}

// Directives returns what backend servers have asked for recently, and what they no longer ask for, the newest first.
func (placer *Placer) Directives() []oleandervane.ServerDirective {
	now := placer.settings.TimerService.Now()
	var directives []oleandervane.ServerDirective
	for run, server := range placer.view.Load().byRun {
		server.mutex.Lock()
		known := server.directive
		server.mutex.Unlock()
		if age := now.Sub(known.statedAt); age < directiveLifetime || known.rateLimit > 0 || known.leaving && age < leavingLifetime {
			directives = append(directives, oleandervane.ServerDirective{Server: run, RateLimit: known.rateLimit, Leaving: known.leaving, Age: age})
		}
	}
	slices.SortFunc(directives, func(a, b oleandervane.ServerDirective) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Server, b.Server))
	})
	return directives
}

// MergeDirectives records the directives that another VM knows.
func (placer *Placer) MergeDirectives(directives []oleandervane.ServerDirective) {
	now, view := placer.settings.TimerService.Now(), placer.view.Load()
	for _, known := range directives {
		if server := view.byRun[known.Server]; server != nil {
			placer.recordDirective(server, directive{rateLimit: known.RateLimit, leaving: known.Leaving, statedAt: now.Add(-known.Age)})
		}
	}
}

// returnSchedule spreads the return of callers over the rate that servers accept.
type returnSchedule struct {
	mutex sync.Mutex
	// last has the time at which the caller that was refused last comes back, by service.
	last map[oleandervane.ServiceName]time.Time
}

// delay returns the delay after which a caller shall come back, if perSecond callers can be served here.
func (returnSchedule *returnSchedule) delay(serviceName oleandervane.ServiceName, perSecond float64, now time.Time) time.Duration {
	returnSchedule.mutex.Lock()
	defer returnSchedule.mutex.Unlock()
	last := returnSchedule.last[serviceName]
	if last.Before(now) {
		last = now
	}
	next := last.Add(time.Duration(min(1/perSecond, maxReturnDelay.Seconds()) * float64(time.Second)))
	if next.Sub(now) > maxReturnDelay {
		return maxReturnDelay
	}
	returnSchedule.last[serviceName] = next
	return next.Sub(now)
}

// leavingTimes has the time since which all servers of a route say that they leave.
type leavingTimes struct {
	mutex sync.Mutex
	since map[string]time.Time
}

// exceeded records whether all servers of a route say that they leave, and reports whether this has lasted too long.
func (leavingTimes *leavingTimes) exceeded(route string, all bool, now time.Time) bool {
	leavingTimes.mutex.Lock()
	defer leavingTimes.mutex.Unlock()
	since, found := leavingTimes.since[route]
	switch {
	case !all && found:
		delete(leavingTimes.since, route)
	case all && !found:
		leavingTimes.since[route] = now
	}
	return all && found && now.Sub(since) >= maxAllLeaving
}

// limitedPerSecond returns this VM's part of the requests that the candidates accept a second under their rate limits.
func limitedPerSecond(candidates []Candidate, vms int) float64 {
	perSecond := 0.0
	for _, candidate := range candidates {
		perSecond += limitShare * candidate.RateLimit
	}
	return perSecond / float64(max(1, vms))
}
