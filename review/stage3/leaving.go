package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	leavingWork = 840 * time.Millisecond
	// heldFor is the time until a packet that was lost twice arrives: 200 ms and 400 ms.
	heldFor = 600 * time.Millisecond
	// cutFor is the longest time for which a machine is cut off from the store in igihe-vane (core_cut, count 1).
	cutFor = 5500 * time.Millisecond
	// laterAfter is when further requests are sent, and servesFor how long the instance serves, after the store has accepted its report:
	// drain_timeout_s, which is 2 s, and a little longer.
	laterAfter = 3200 * time.Millisecond
	servesFor  = 4400 * time.Millisecond
)

// playLeaving has an instance leave while the machine is cut off from the store, with one of its answers from before late.
func playLeaving(stage *stage) (broken bool, err error) {
	if err := stage.configure(7, []route{{name: "r-filing", prefix: "/filing/", kind: "unsafe", service: "ledger", timeLimit: 2}}, "ledger"); err != nil {
		return false, err
	}
	var mutex sync.Mutex
	var leaver atomic.Pointer[instance]
	var leaving, gone atomic.Bool
	links := map[string]*link{}
	atLeaver := map[string]bool{}
	for i := range 6 {
		instance, err := stage.startInstance("ledger", fmt.Sprintf("l-%d", i), 3, func(instance *instance, conn net.Conn, request arrived) bool {
			if request.id == "before-late" {
				leaver.Store(instance)
			}
			if leaver.Load() == instance {
				mutex.Lock()
				atLeaver[request.id] = true
				mutex.Unlock()
				stage.record("%s, which leaves: %t, runs %s", instance.id, leaving.Load(), request.id)
			}
			time.Sleep(leavingWork)
			if leaver.Load() != instance {
				return instance.answer(conn, request)
			}
			if gone.Load() {
				return false
			}
			says := leaving.Load()
			if request.id == "before-late" && stage.trouble {
				links[instance.id].holdNext.Store(int64(heldFor))
			}
			stage.record("%s answers %s; Server-Leaving: %t", instance.id, request.id, says)
			if says {
				return instance.answerWith(conn, request, "Server-Leaving: 1\r\n")
			}
			return instance.answer(conn, request)
		})
		if err != nil {
			return false, err
		}
		link, err := stage.startLink(instance.address)
		if err != nil {
			return false, err
		}
		links[instance.id] = link
		instance.address, instance.zone = link.address, stage.site.otherZone
		if err := instance.register("ready"); err != nil {
			return false, err
		}
	}
	storeLink, err := stage.startLink(strings.TrimPrefix(stage.storeURL, "http://"))
	if err != nil {
		return false, err
	}
	stage.storeURL = "http://" + storeLink.address
	vm, err := stage.startVM("edge-1", usualGrace)
	if err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	var clients sync.WaitGroup
	sentAt, results := map[string]time.Time{}, map[string]result{}
	var firstSaid atomic.Int64
	send := func(id string) {
		mutex.Lock()
		sentAt[id] = time.Now()
		mutex.Unlock()
		clients.Go(func() {
			answer := vm.sendAbout("object-1", http.MethodPost, "/filing/1", id, 4*time.Second, "amount=1")
			stage.record("client: %s: %v; Server-Leaving: %t", id, answer, answer.leaving)
			if answer.leaving {
				firstSaid.CompareAndSwap(0, time.Now().UnixNano())
			}
			mutex.Lock()
			defer mutex.Unlock()
			results[id] = answer
		})
	}
	if stage.trouble {
		storeLink.cutUntil.Store(time.Now().Add(cutFor).UnixNano())
		stage.record("the machine is cut off from the store for %v", cutFor)
		time.Sleep(100 * time.Millisecond)
	}
	send("before-late")
	time.Sleep(150 * time.Millisecond)
	send("at-the-start")
	time.Sleep(leavingWork - 150*time.Millisecond + 50*time.Millisecond)
	left := leaver.Load()
	if left == nil {
		return false, fmt.Errorf("the first request reached no instance")
	}
	leaving.Store(true)
	leftAt := time.Now()
	stage.record("%s begins to leave", left.id)
	if err := left.register("draining"); err != nil {
		return false, err
	}
	stage.record("the store has accepted the report of %s that it is draining", left.id)
	time.Sleep(time.Until(leftAt.Add(laterAfter)))
	for number := range 12 {
		send(fmt.Sprintf("later-%d", number))
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Until(leftAt.Add(servesFor)))
	gone.Store(true)
	stage.record("%s ends", left.id)
	clients.Wait()
	if firstSaid.Load() == 0 {
		return false, fmt.Errorf("the machine passed on no answer with Server-Leaving")
	}
	bound := time.Unix(0, firstSaid.Load()).Add(time.Duration(stage.site.drain * float64(time.Second)))
	reached, lost := 0, 0
	for id := range atLeaver {
		if sentAt[id].After(bound) {
			reached++
			if results[id].status != http.StatusOK {
				lost++
			}
		}
	}
	stage.record("requests sent later than drain_timeout_s after the machine passed on Server-Leaving that reached %s: %d; of them without success: %d", left.id, reached, lost)
	return reached > 0, nil
}
