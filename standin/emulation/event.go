package emulation

import (
	"time"
)

// begin starts an event and plans its end.
func (world *world) begin(event Event) {
	end := func(undo func()) {
		world.manual.After(time.Duration(event.For), func(time.Time) { undo() })
	}
	switch event.Kind {
	case EventBurst:
		world.scaleLoad(event, event.Factor)
		end(func() { world.scaleLoad(event, 1/event.Factor) })
	case EventSlow:
		chosen := world.someServers(event)
		setAll(chosen, func(server *server) { server.slow = event.Factor })
		end(func() { setAll(chosen, func(server *server) { server.slow = 1 }) })
	case EventFailing:
		chosen := world.someServers(event)
		setAll(chosen, func(server *server) { server.failing = event.Factor })
		end(func() { setAll(chosen, func(server *server) { server.failing = 0 }) })
	case EventCrash:
		setAll(world.someServers(event), func(server *server) { server.crash(time.Duration(event.For)) })
	case EventVMsKilled:
		world.killVMs(event)
	case EventStoreAway:
		world.storeAway = true
		end(func() { world.storeAway = false; world.publish() })
	case EventEvacuate:
		world.evacuated[event.Domain] = true
		world.publish()
		end(func() { delete(world.evacuated, event.Domain); world.publish() })
	case EventAbuse:
		world.abusiveShare, world.abuseTimes = event.Share, 1+int(event.Factor)
		end(func() { world.abusiveShare = 0 })
	}
}

func (world *world) scaleLoad(event Event, factor float64) {
	for domain := range world.bursts {
		if event.Domain == "" || event.Domain == domain {
			world.bursts[domain] *= factor
		}
	}
}

func setAll(servers []*server, set func(server *server)) {
	for _, server := range servers {
		set(server)
	}
}

// someServers returns a random share of the servers of the event's failure domain, or of all.
func (world *world) someServers(event Event) []*server {
	var chosen []*server
	for _, i := range world.random.Perm(len(world.order)) {
		server := world.order[i]
		if event.Domain != "" && server.entry.FailureDomain != event.Domain {
			continue
		}
		if float64(len(chosen)) < event.Share*float64(len(world.order)) {
			chosen = append(chosen, server)
		}
	}
	return chosen
}

// listingLag is how long a VM that was killed stays listed: its lease.
const listingLag = 3 * time.Second

func (world *world) killVMs(event Event) {
	count := int(event.Share * float64(len(world.vmOrder)))
	for _, i := range world.random.Perm(len(world.vmOrder))[:count] {
		vm := world.vmOrder[i]
		vm.down = true
		world.manual.After(listingLag, func(time.Time) { world.listVMs() })
		world.manual.After(time.Duration(event.For), func(time.Time) {
			vm.down = false
			vm.start()
			world.listVMs()
		})
	}
}
