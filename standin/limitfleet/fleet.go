// Package limitfleet simulates the VMs of an installation that admit requests of organisations, on a virtual clock and without a
// network: messages are delayed and lost, VMs are cut off from each other, die and start again, and learn of it at different times.
package limitfleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"oleandervane.example"
	"oleandervane.example/fleet/peer"
	"oleandervane.example/timer"
)

const (
	// leaseDuration is how long a VM that died stays listed.
	leaseDuration = 3 * time.Second
	// settleTime is the time from the first listing to that at which it has all VMs.
	settleTime = 2 * time.Second
	// heardTime is the longest time for which a VM that is cut off still counts as heard from.
	heardTime = 1750 * time.Millisecond
	// delayJitter is the mean of the time by which the processor of a VM delays a message.
	delayJitter = time.Millisecond
)

// Limiter decides on requests at one VM.
type Limiter interface {
	Update(table *oleandervane.RouteTable)
	Decide(name oleandervane.OrganisationName, decided func(admission oleandervane.RateAdmission))
	Run() (cancel func())
	Receive(id oleandervane.VMID, incarnation oleandervane.Incarnation, message *peer.TokenMessage)
}

// Settings describe a fleet.
type Settings struct {
	VMs, Domains, Regions int
	// RegionDelay is the one-way delay between regions.
	RegionDelay time.Duration
	// Loss is the share of the messages that are lost.
	Loss float64
	// ListDelay is the longest time in which a VM learns of a change of the list of VMs.
	ListDelay time.Duration
	Seed      uint64
	// NewLimiter returns the limiter of a VM that starts.
	NewLimiter func(node *Node) Limiter
}

// Fleet is a simulated fleet. It is used by one goroutine.
type Fleet struct {
	Timer    *timer.Manual
	Nodes    []*Node
	Messages int

	settings Settings
	random   *rand.Rand
	listed   []oleandervane.EntryVM
	isCut    func(a, b *Node) bool
	// changedAt is when a link or VM last changed.
	changedAt time.Time
	table     *oleandervane.RouteTable
	started   time.Time
	loads     map[oleandervane.OrganisationName]*Load
}

// Load is what is sent of an organisation, and what became of it.
type Load struct {
	// Rate is the number of requests per second; it may be changed.
	Rate float64
	// At are the VMs that get the requests, in proportion to their capacity; all if it is empty.
	At       []*Node
	Requests []*Request
	// admitted are the times at which requests were admitted.
	admitted []time.Duration
	running  bool
}

// Request is a request of an organisation, by the time since the start of the fleet.
type Request struct {
	At, DecidedAt     time.Duration
	Decided, Admitted bool
}

// Node is a VM of a fleet. It is the oleandervane.Membership and the sender of its limiter.
type Node struct {
	Limiter Limiter
	Alive   bool

	fleet     *Fleet
	vm        oleandervane.EntryVM
	region    int
	vms       []oleandervane.EntryVM
	listedAt  time.Time
	cancel    func()
	lastHeard []time.Time
	// heard is the result of HeardCapacity at heardAt.
	heard   float64
	heardAt time.Time
	index   int
}

// New returns a fleet whose VMs all start now.
func New(settings Settings) *Fleet {
	fleet := &Fleet{
		Timer: timer.NewManual(time.Unix(1000, 0)), settings: settings, random: rand.New(rand.NewPCG(settings.Seed, 1)),
		isCut: func(*Node, *Node) bool { return false }, table: &oleandervane.RouteTable{}, loads: map[oleandervane.OrganisationName]*Load{},
	}
	fleet.started = fleet.Timer.Now()
	for index := range settings.VMs {
		domain := index % settings.Domains
		node := &Node{fleet: fleet, index: index, region: domain % settings.Regions, lastHeard: make([]time.Time, settings.VMs), vm: oleandervane.EntryVM{
			ID: oleandervane.VMID(fmt.Sprintf("vm-%03d", index)), FailureDomain: oleandervane.FailureDomain(fmt.Sprintf("d-%d", domain)),
			Region: oleandervane.Region(fmt.Sprintf("r-%d", domain%settings.Regions)),
			// Processor shares are between 0.112 and 0.8.
			Capacity: []float64{75, 150, 300, 533}[index*7%4],
		}}
		fleet.Nodes = append(fleet.Nodes, node)
	}
	for _, node := range fleet.Nodes {
		fleet.Start(node)
	}
	return fleet
}

// Now returns the time since the start of the fleet.
func (fleet *Fleet) Now() time.Duration {
	return fleet.Timer.Now().Sub(fleet.started)
}

// Timer returns the clock of the fleet.
func (node *Node) Timer() oleandervane.TimerService { return node.fleet.Timer }

// Number returns the number of a node, from 0 in each fleet.
func (node *Node) Number() int { return node.index }

// Self returns the VM of a node.
func (node *Node) Self() oleandervane.EntryVM { return node.vm }

// EntryVMs returns the VMs that the node lists.
func (node *Node) EntryVMs() []oleandervane.EntryVM { return node.vms }

// Settled reports whether the list has all VMs.
func (node *Node) Settled() bool {
	return !node.listedAt.IsZero() && node.fleet.Timer.Now().Sub(node.listedAt) >= settleTime
}

// HeardCapacity returns the capacity of the VMs that the node has heard from a moment ago.
func (node *Node) HeardCapacity() float64 {
	now := node.fleet.Timer.Now()
	if node.heardAt.After(node.fleet.changedAt.Add(heardTime)) {
		return node.heard
	}
	sum := 0.0
	for _, other := range node.fleet.Nodes {
		if node == other || node.hears(other) || now.Sub(node.lastHeard[other.index]) < heardTime {
			sum += other.vm.Capacity
		}
	}
	node.heard, node.heardAt = sum, now
	return sum
}

func (node *Node) hears(other *Node) bool {
	return node.Alive && other.Alive && !node.fleet.isCut(node, other)
}

// SendTokens sends a message to a VM.
func (node *Node) SendTokens(to oleandervane.EntryVM, message *peer.TokenMessage) {
	fleet := node.fleet
	receiver := fleet.Nodes[slices.IndexFunc(fleet.Nodes, func(other *Node) bool { return other.vm.ID == to.ID })]
	if !node.Alive {
		return
	}
	fleet.Messages++
	if !receiver.hears(node) || fleet.random.Float64() < fleet.settings.Loss {
		return
	}
	delay := 700*time.Microsecond + time.Duration(fleet.random.ExpFloat64()*float64(delayJitter))
	if receiver.region != node.region {
		delay += fleet.settings.RegionDelay
	}
	incarnation, sender := receiver.vm.Incarnation, node.vm
	fleet.Timer.After(delay, func(time.Time) {
		if receiver.Alive && receiver.vm.Incarnation == incarnation {
			receiver.Limiter.Receive(sender.ID, sender.Incarnation, message)
		}
	})
}

// recordHeard records who hears from whom until now, of all pairs with one of the nodes.
func (fleet *Fleet) recordHeard(nodes ...*Node) {
	fleet.changedAt = fleet.Timer.Now()
	for _, node := range nodes {
		for _, other := range fleet.Nodes {
			if node.hears(other) {
				node.lastHeard[other.index], other.lastHeard[node.index] = fleet.changedAt, fleet.changedAt
			}
		}
	}
}

// Cut cuts pairs of VMs off from each other; nil restores all links.
func (fleet *Fleet) Cut(isCut func(a, b *Node) bool) {
	if isCut == nil {
		isCut = func(*Node, *Node) bool { return false }
	}
	fleet.recordHeard(fleet.Nodes...)
	fleet.isCut = isCut
}

// Start starts a VM without any state.
func (fleet *Fleet) Start(node *Node) {
	node.Alive, fleet.changedAt = true, fleet.Timer.Now()
	node.vm.Incarnation++
	node.vms, node.listedAt = []oleandervane.EntryVM{node.vm}, time.Time{}
	clear(node.lastHeard)
	node.Limiter = fleet.settings.NewLimiter(node)
	node.cancel = node.Limiter.Run()
	incarnation := node.vm.Incarnation
	fleet.Timer.After(100*time.Millisecond, func(now time.Time) {
		if node.vm.Incarnation != incarnation {
			return
		}
		node.listedAt = now
		fleet.list(node.vm, true)
		node.vms = slices.Clone(fleet.listed)
		node.Limiter.Update(fleet.table)
	})
}

// Kill ends a VM. It stays listed for the time of its lease.
func (fleet *Fleet) Kill(node *Node) {
	fleet.recordHeard(node)
	node.Alive = false
	node.cancel()
	killed := node.vm
	fleet.Timer.After(leaseDuration, func(time.Time) {
		if node.vm.Incarnation == killed.Incarnation && !node.Alive {
			fleet.list(killed, false)
		}
	})
}

// list adds a VM to the list, or removes it. All VMs learn of it within ListDelay.
func (fleet *Fleet) list(vm oleandervane.EntryVM, added bool) {
	fleet.listed = slices.DeleteFunc(slices.Clone(fleet.listed), func(other oleandervane.EntryVM) bool { return other.ID == vm.ID })
	if added {
		fleet.listed = append(fleet.listed, vm)
		slices.SortFunc(fleet.listed, func(a, b oleandervane.EntryVM) int { return slices.Compare([]byte(a.ID), []byte(b.ID)) })
	}
	for _, node := range fleet.Nodes {
		incarnation := node.vm.Incarnation
		fleet.Timer.After(time.Duration(fleet.random.Float64()*float64(fleet.settings.ListDelay)), func(time.Time) {
			if node.Alive && node.vm.Incarnation == incarnation && !node.listedAt.IsZero() {
				node.vms = fleet.listed
			}
		})
	}
}

// Configure sets the organisations. All VMs have them within a second.
func (fleet *Fleet) Configure(organisations ...oleandervane.Organisation) {
	table := &oleandervane.RouteTable{Revision: fleet.table.Revision + 1, Organisations: organisations}
	fleet.table = table
	for _, node := range fleet.Nodes {
		incarnation := node.vm.Incarnation
		fleet.Timer.After(time.Duration(fleet.random.Float64()*float64(time.Second)), func(time.Time) {
			if node.Alive && node.vm.Incarnation == incarnation {
				node.Limiter.Update(table)
			}
		})
	}
}

// Offer sends requests of an organisation at random times from now on.
func (fleet *Fleet) Offer(name oleandervane.OrganisationName, rate float64, at ...*Node) *Load {
	load := fleet.loads[name]
	if load == nil {
		load = &Load{}
		fleet.loads[name] = load
	}
	load.Rate, load.At = rate, at
	if !load.running && rate > 0 {
		load.running = true
		fleet.next(name, load)
	}
	return load
}

func (fleet *Fleet) next(name oleandervane.OrganisationName, load *Load) {
	fleet.Timer.After(time.Duration(fleet.random.ExpFloat64()/load.Rate*float64(time.Second)), func(time.Time) {
		if load.Rate <= 0 {
			load.running = false
			return
		}
		if node := fleet.choose(load.At); node != nil {
			request := &Request{At: fleet.Now()}
			load.Requests = append(load.Requests, request)
			incarnation := node.vm.Incarnation
			node.Limiter.Decide(name, func(admission oleandervane.RateAdmission) {
				if !node.Alive || node.vm.Incarnation != incarnation {
					return
				}
				request.Decided, request.DecidedAt, request.Admitted = true, fleet.Now(), admission.Admitted
				if admission.Admitted {
					load.admitted = append(load.admitted, fleet.Now())
				}
			})
		}
		fleet.next(name, load)
	})
}

// choose returns a live VM by capacity; nil if there is none.
func (fleet *Fleet) choose(nodes []*Node) *Node {
	if len(nodes) == 0 {
		nodes = fleet.Nodes
	}
	sum := 0.0
	for _, node := range nodes {
		if node.Alive {
			sum += node.vm.Capacity
		}
	}
	part := fleet.random.Float64() * sum
	for _, node := range nodes {
		if !node.Alive {
			continue
		}
		if part -= node.vm.Capacity; part < 0 {
			return node
		}
	}
	return nil
}

// Count returns the numbers of requests between two times that were decided and admitted. Those at a VM that died are left out.
func (load *Load) Count(from, until time.Duration) (decided, admitted int) {
	for _, request := range load.Requests {
		if request.Decided && from <= request.At && request.At < until {
			decided++
			if request.Admitted {
				admitted++
			}
		}
	}
	return decided, admitted
}

// Attainable returns the number of requests between two times that one token bucket for all VMs would have admitted.
func (load *Load) Attainable(limit oleandervane.RateLimit, from, until time.Duration) float64 {
	tokens, last, admitted := limit.Burst, from, 0.0
	for _, request := range load.Requests {
		if !request.Decided || request.At < from || request.At >= until {
			continue
		}
		tokens = min(limit.Burst, tokens+(request.At-last).Seconds()*limit.PerSecond)
		last = request.At
		if tokens >= 1 {
			tokens--
			admitted++
		}
	}
	return admitted
}

// Busiest returns the largest number of requests that were admitted in any window that begins at a time or later.
func (load *Load) Busiest(window, from time.Duration) int {
	busiest, first := 0, 0
	for last, at := range load.admitted {
		for load.admitted[first] <= at-window || load.admitted[first] < from {
			if first == last {
				break
			}
			first++
		}
		if at >= from {
			busiest = max(busiest, last-first+1)
		}
	}
	return busiest
}
