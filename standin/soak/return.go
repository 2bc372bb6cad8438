package soak

import "time"

const (
	// minAbsence and maxAbsence bound the time between the end of a server and its start.
	minAbsence = 100 * time.Millisecond
	maxAbsence = 4 * time.Second
	// maxEntryDelay bounds the time between the start of a server and its new entry in the store.
	maxEntryDelay = time.Second
	// returnInterval is the mean time between the ends of two servers in a series.
	returnInterval = 300 * time.Millisecond
)

// serverReturn says how a server ends and starts again under its id and address. It is immutable.
type serverReturn struct {
	delay, absence, entryDelay time.Duration
}

// returnServers ends servers in a series. Each starts again, cold, and while it is, the requests that arrive at it are checked, even if
// VMs are disturbed meanwhile.
func (soak *Soak) returnServers(backends []*backend) {
	for number, backend := range backends {
		serverReturn := serverReturn{
			delay:      time.Duration(number)*returnInterval/2 + soak.randomDuration(0, returnInterval),
			absence:    soak.randomDuration(minAbsence, maxAbsence),
			entryDelay: soak.randomDuration(0, maxEntryDelay),
		}
		if backend.leaving.Swap(true) {
			continue
		}
		soak.logFault("%s ends after %v, starts again after %v, and its entry changes after %v more", backend.id,
			serverReturn.delay, serverReturn.absence, serverReturn.entryDelay)
		soak.pending.Go(func() {
			soak.returnServer(backend, serverReturn)
			backend.leaving.Store(false)
		})
	}
}

func (soak *Soak) returnServer(backend *backend, serverReturn serverReturn) {
	time.Sleep(serverReturn.delay)
	endedAt := time.Now()
	backend.coldUntil.Store(endedAt.Add(serverReturn.absence + coldDuration).UnixMilli())
	if err := backend.proxy.restart(serverReturn.absence); err != nil {
		soak.check.fail("the soak could not start %s again: %v", backend.id, err)
		return
	}
	startedAt := time.Now()
	time.Sleep(serverReturn.entryDelay)
	soak.write("servers/"+backend.id, backend.coldEntry("ready", coldDuration-serverReturn.entryDelay, startedAt.UnixMilli()))
	time.Sleep(coldDuration - serverReturn.entryDelay)
	// Requests may arrive before the time of the start is read.
	arrivals := soak.check.journal.arrivalsBetween(backend.id, endedAt.Add(serverReturn.absence), startedAt.Add(coldDuration))
	soak.check.checkReturn(backend.id, arrivals)
}

func (soak *Soak) randomDuration(from, until time.Duration) time.Duration {
	return from + time.Duration(soak.random.Int64N(int64(until-from)))
}

// checkReturn checks the rate at which requests arrived at a server that had just started again.
func (check *check) checkReturn(server string, arrivals []time.Time) {
	check.count(&check.returns)
	check.checkColdRate(server, arrivals)
}
