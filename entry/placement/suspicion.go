package placement

import (
	"net/netip"
	"time"

	"oleandervane.example"
)

const (
	// breakWindow is the time within which broken connections to a server are taken for one event. The host of a server that ends
	// closes all its connections within milliseconds.
	breakWindow = 50 * time.Millisecond
	// severalBreaks is the number of connections whose end in one event a healthy server does not cause by itself.
	severalBreaks = 2
	// newsDelay is how long a VM that sends nothing to the server while it is cold waits for the finding of the others before it
	// checks the server itself. A notice takes up to 125 ms (exchange.DefaultPeriod). newsStep spreads the checks by rank.
	newsDelay = 200 * time.Millisecond
	newsStep  = 10 * time.Millisecond
	// maxNewsSteps bounds the time for which a server gets no requests because of a suspicion.
	maxNewsSteps = 20
	// suspectedShare is the share of suspected servers of a service from which a VM checks at once, because it would refuse requests.
	suspectedShare = 1.0 / 3
	// falseAlarmPeriod is the time after a check that found no end for which a single broken connection is no suspicion. Some servers
	// drop idle connections sooner than usual, one after another.
	falseAlarmPeriod = 2 * time.Second
)

// suspicion is what broken connections say about the run of a server. The mutex of the server guards it.
type suspicion struct {
	// breaks is the number of connections that broke from brokenAt on.
	breaks   int
	brokenAt time.Time
	// active is set until a check, or the news of an end, shows whether the run has ended. The server gets no requests meanwhile.
	active bool
	// dismissedAt is when a check last found that the run has not ended.
	dismissedAt time.Time
}

// CheckResult is the result of the check of a server whose connections broke.
type CheckResult string

// The results of checks.
const (
	CheckRunEnded   CheckResult = "run_ended"
	CheckRunGoesOn  CheckResult = "run_goes_on"
	CheckUnresolved CheckResult = "unresolved"
)

// ObserveBreak records that a server broke a connection. Idle connections that break before their time, and several connections that
// break at once, suggest that its run has ended; one under a request may be due to the request.
func (placer *Placer) ObserveBreak(address netip.AddrPort, idle bool) {
	server := placer.view.Load().byAddress[address]
	if server == nil || placer.settings.HealthProber == nil || slowStart(placer.view.Load().registry, server.Service) == 0 {
		return
	}
	if !server.suspect(idle, placer.settings.TimerService.Now()) {
		return
	}
	placer.settings.TimerService.After(placer.checkDelay(server), func(time.Time) { placer.check(server) })
}

// suspect counts a broken connection and reports whether a suspicion begins.
func (server *server) suspect(idle bool, now time.Time) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	suspicion := &server.suspicion
	if now.Sub(suspicion.brokenAt) > breakWindow {
		suspicion.breaks, suspicion.brokenAt = 0, now
	}
	suspicion.breaks++
	single := suspicion.breaks < severalBreaks
	if suspicion.active || server.absent || single && (!idle || now.Sub(suspicion.dismissedAt) < falseAlarmPeriod) {
		return false
	}
	suspicion.active = true
	return true
}

// checkDelay returns the time until this VM checks a suspected server.
func (placer *Placer) checkDelay(server *server) time.Duration {
	// A VM that does not know all others yet does not know whether another one checks, and notices may not reach it.
	if server.warmUpAssigned() || server.vmRank == unknownRank {
		return 0
	}
	servers := placer.view.Load().services[server.Service]
	suspected := 0
	for _, other := range servers {
		if other.isSuspected() {
			suspected++
		}
	}
	if float64(suspected) >= suspectedShare*float64(len(servers)) {
		return 0
	}
	return newsDelay + time.Duration(min(server.vmRank, maxNewsSteps))*newsStep
}

// check finds out whether the run of a suspected server has ended, unless that is known meanwhile.
func (placer *Placer) check(suspected *server) {
	current := placer.view.Load().byRun[suspected.target().RunHash()]
	if current == nil || current.serverState != suspected.serverState || !current.isSuspected() {
		return
	}
	path := placer.view.Load().registry.Table.Services[current.Service].HealthPath
	health := oleandervane.HealthState{}
	if path == "" {
		health.Connection = placer.settings.Prober.ProbeConnection(current.Address)
	} else {
		health = placer.settings.HealthProber.ProbeHealth(current.BackendServer, path)
	}
	checkResult := placer.judge(current, health)
	current.resolveSuspicion(checkResult, placer.settings.TimerService.Now())
	if placer.settings.Observer != nil {
		placer.settings.Observer.ServerChecked(current.ID, checkResult)
	}
}

// judge records what a check shows.
func (placer *Placer) judge(server *server, health oleandervane.HealthState) CheckResult {
	now := placer.settings.TimerService.Now()
	switch {
	case health.Connection == oleandervane.ConnectionRefused:
		placer.checkOwnConnection(server)
		placer.findEnd(server)
		return CheckRunEnded
	case health.Misdirected:
		placer.recordEnd(server, ColdAfterBreak, now)
		return CheckRunEnded
	case health.ColdLeft > 0:
		placer.answeredAt.Store(now.UnixNano())
		if !placer.findRestart(server, ColdAfterBreak, health.ColdLeft) {
			return CheckRunGoesOn
		}
		return CheckRunEnded
	case health.Stated:
		placer.answeredAt.Store(now.UnixNano())
		return CheckRunGoesOn
	case server.severalBroke():
		// It may be on its way down or up. The other VMs find out by themselves.
		placer.recordEnd(server, ColdAfterBreak, now)
	}
	return CheckUnresolved
}

// coldTolerance is the difference between the cold time that a server states and the known one below which they agree.
const coldTolerance = 200 * time.Millisecond

// findRestart records that a server states to be cold for longer than this VM knows, and reports whether that is so: a new run has begun
// that its entry does not show yet.
func (placer *Placer) findRestart(server *server, cause ColdCause, coldLeft time.Duration) bool {
	now := placer.settings.TimerService.Now()
	if !server.recordRestart(now, now.Add(coldLeft)) {
		return false
	}
	placer.extendCold(server, cause, coldLeft, now)
	return true
}

func (server *server) recordRestart(now, coldUntil time.Time) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if coldUntil.Sub(later(server.coldUntil, now)) < coldTolerance {
		return false
	}
	server.endedAt, server.foundEndAt, server.backAt = now, now, now
	server.absent, server.probing, server.backoffUntil = false, false, time.Time{}
	server.sent.Store(0)
	return true
}

func (server *server) isSuspected() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.suspicion.active
}

func (server *server) severalBroke() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.suspicion.breaks >= severalBreaks
}

func (server *server) resolveSuspicion(checkResult CheckResult, now time.Time) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.suspicion.active = false
	if checkResult != CheckRunEnded {
		server.suspicion.dismissedAt = now
	}
}
