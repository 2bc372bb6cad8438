package emulation

import (
	"time"
)

// leavingTime is how long a server that leaves still serves.
const leavingTime = 2 * time.Second

// startEvent starts an event and schedules its end.
func (world *world) startEvent(event Event) {
	end := func(undo func()) {
		world.manual.After(time.Duration(event.For), func(time.Time) { undo() })
	}
	switch event.Kind {
	case EventBurst:
		world.scaleLoad(event, event.Factor)
		end(func() { world.scaleLoad(event, 1/event.Factor) })
	case EventSlow:
		chosen := world.randomServers(event)
		forEachServer(chosen, func(server *server) { server.slowdown = event.Factor })
		end(func() { forEachServer(chosen, func(server *server) { server.slowdown = 1 }) })
	case EventFailing:
		chosen := world.randomServers(event)
		forEachServer(chosen, func(server *server) { server.failureRatio = event.Factor })
		end(func() { forEachServer(chosen, func(server *server) { server.failureRatio = 0 }) })
	case EventLimited:
		chosen := world.randomServers(event)
		forEachServer(chosen, func(server *server) { server.rateLimit = event.Factor })
		end(func() { forEachServer(chosen, func(server *server) { server.rateLimit = 0 }) })
	case EventLeaving:
		chosen := world.randomServers(event)
		forEachServer(chosen, func(server *server) { server.leaving = true })
		world.manual.After(leavingTime, func(time.Time) {
			forEachServer(chosen, func(server *server) { server.crash(time.Duration(event.For) - leavingTime) })
		})
		end(func() { forEachServer(chosen, func(server *server) { server.leaving = false }) })
	case EventRefusing:
		until := world.manual.Now().Add(time.Duration(event.For))
		forEachServer(world.randomServers(event), func(server *server) { server.refusesUntil = until })
	case EventCrash:
		forEachServer(world.randomServers(event), func(server *server) { server.crash(time.Duration(event.For)) })
	case EventVMsKilled:
		world.killVMs(event)
	case EventStoreUnavailable:
		world.storeUnavailable = true
		end(func() { world.storeUnavailable = false; world.publishRegistry() })
	case EventEvacuate:
		world.evacuated[event.Domain] = true
		world.publishRegistry()
		end(func() { delete(world.evacuated, event.Domain); world.publishRegistry() })
	case EventAbuse:
		world.abusiveShare, world.maxAbusiveRetries = event.Share, 1+int(event.Factor)
		end(func() { world.abusiveShare = 0 })
	}
}

func (world *world) scaleLoad(event Event, factor float64) {
	for domain := range world.burstFactors {
		if event.Domain == "" || event.Domain == domain {
			world.burstFactors[domain] *= factor
		}
	}
}

func forEachServer(servers []*server, set func(server *server)) {
	for _, server := range servers {
		set(server)
	}
}

// randomServers returns randomly chosen servers, the event's share of all servers. Only servers of the event's failure
// domain are chosen if it has one.
func (world *world) randomServers(event Event) []*server {
	var chosen []*server
	for _, i := range world.random.Perm(len(world.serverOrder)) {
		server := world.serverOrder[i]
		if event.Domain != "" && server.entry.FailureDomain != event.Domain {
			continue
		}
		if float64(len(chosen)) < event.Share*float64(len(world.serverOrder)) {
			chosen = append(chosen, server)
		}
	}
	return chosen
}

// vmLease is the time for which a killed VM stays listed, until its lease expires.
const vmLease = 3 * time.Second

func (world *world) killVMs(event Event) {
	count := int(event.Share * float64(len(world.vmOrder)))
	for _, i := range world.random.Perm(len(world.vmOrder))[:count] {
		vm := world.vmOrder[i]
		vm.down = true
		world.manual.After(vmLease, func(time.Time) { world.updateListedVMs() })
		world.manual.After(time.Duration(event.For), func(time.Time) {
			vm.down = false
			vm.reset()
			world.updateListedVMs()
		})
	}
}
