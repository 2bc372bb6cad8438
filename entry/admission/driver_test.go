package admission

import (
	"math/rand/v2"
	"time"

	"oleandervane.example"
	"oleandervane.example/timer"
)

const (
	driverService  = oleandervane.ServiceName("ledger")
	driverSlots    = 16
	driverMean     = 50 * time.Millisecond
	driverDuration = 40 * time.Second
)

// load is a kind of request and its share of the arrivals.
type load struct {
	kind  oleandervane.Kind
	share float64
}

// tally counts the requests of one kind.
type tally struct {
	arrived int
	inTime  int
	late    int
	shed    int
}

// drive submits Poisson arrivals at a multiple of the capacity to a controller, or to an unbounded first-in-first-out
// queue when admit is false, and returns a tally for each kind. Service times are exponential.
func drive(seed uint64, multiple float64, admit bool, loads []load) map[oleandervane.KindName]*tally {
	random := rand.New(rand.NewPCG(seed, 3))
	manual := timer.NewManual(time.Unix(0, 0))
	controller := New(Settings{TimerService: manual, DefaultLimit: driverSlots})
	defer controller.Close()
	service := controller.service(driverService)
	if !admit {
		service.queueLimit = 1 << 30
	}
	tallies := map[oleandervane.KindName]*tally{}
	type pending struct {
		kind     oleandervane.Kind
		deadline time.Time
		waiter   *waiter
	}
	var queue []pending
	run := func(_ time.Time, kind oleandervane.Kind, deadline time.Time, end func(now time.Time)) {
		manual.After(time.Duration(random.ExpFloat64()*float64(driverMean)), func(now time.Time) {
			if now.After(deadline) {
				tallies[kind.Name].late++
			} else {
				tallies[kind.Name].inTime++
			}
			end(now)
		})
	}
	inFlight := 0
	var poll func(now time.Time)
	start := func(now time.Time, item pending) {
		run(now, item.kind, item.deadline, func(end time.Time) {
			inFlight--
			if admit {
				service.finish(end, item.kind.Name, now)
			}
			poll(end)
		})
	}
	poll = func(now time.Time) {
		for !admit && inFlight < driverSlots && len(queue) > 0 {
			item := queue[0]
			queue = queue[1:]
			inFlight++
			start(now, item)
		}
		if !admit {
			return
		}
		kept := queue[:0]
		for _, item := range queue {
			select {
			case err := <-item.waiter.result:
				if err != nil {
					tallies[item.kind.Name].shed++
				} else {
					start(now, item)
				}
			default:
				kept = append(kept, item)
			}
		}
		queue = kept
	}
	perSecond := multiple * driverSlots / driverMean.Seconds()
	end := manual.Now().Add(driverDuration)
	var arrive func(now time.Time)
	arrive = func(now time.Time) {
		if now.After(end) {
			return
		}
		point := random.Float64()
		for index, load := range loads {
			if point -= load.share; point >= 0 && index+1 < len(loads) {
				continue
			}
			if tallies[load.kind.Name] == nil {
				tallies[load.kind.Name] = &tally{}
			}
			tallies[load.kind.Name].arrived++
			item := pending{kind: load.kind, deadline: now.Add(load.kind.Deadline)}
			if !admit {
				queue = append(queue, item)
				break
			}
			waiter, err := service.submit(now, item.deadline, load.kind)
			item.waiter = waiter
			switch {
			case err != nil:
				tallies[load.kind.Name].shed++
			case waiter == nil:
				start(now, item)
			default:
				queue = append(queue, item)
			}
			break
		}
		poll(now)
		manual.After(time.Duration(random.ExpFloat64()/perSecond*1e9), arrive)
	}
	manual.After(0, arrive)
	manual.Advance(driverDuration)
	return tallies
}
