package exchange

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/fleet/peer"
	"oleandervane.example/timer"
)

// node is a VM whose notices reach the other nodes immediately, unless one of the two is cut off.
type node struct {
	self                           oleandervane.EntryVM
	fleet                          *fleet
	exchange                       *Exchange
	inFlight                       []oleandervane.ServerCount
	received                       map[string][]oleandervane.ServerCount
	vms                            map[string]int
	suspects                       []oleandervane.SuspectRequest
	receivedSuspects               []oleandervane.SuspectRequest
	directives, receivedDirectives []oleandervane.ServerDirective
	serverEnds, receivedServerEnds []oleandervane.ServerEnd
	quarantined                    []oleandervane.SuspectRequest
	// receivedQuarantined are the fingerprints that other VMs refuse.
	receivedQuarantined map[[16]byte]bool
	// sentLocal counts notices within the failure domain, sentRemote counts notices to other domains.
	sentLocal, sentRemote int
	pendingMarks          []uint32
	receivedMarks         []uint32
	cut                   bool
	revision              uint64
	era                   oleandervane.StoreEra
	inContact             bool
}

func (node *node) Self() oleandervane.EntryVM           { return node.self }
func (node *node) EntryVMs() []oleandervane.EntryVM     { return node.fleet.vms }
func (node *node) InFlight() []oleandervane.ServerCount { return node.inFlight }
func (node *node) StoreRevision() (oleandervane.StoreRevision, bool) {
	return oleandervane.StoreRevision{Era: node.era, Number: node.revision}, node.inContact
}
func (node *node) Suspects() []oleandervane.SuspectRequest    { return node.suspects }
func (node *node) Quarantined() []oleandervane.SuspectRequest { return node.quarantined }

func (node *node) ReplaceInFlight(source string, vms int, counts []oleandervane.ServerCount) {
	node.received[source], node.vms[source] = counts, vms
}

func (node *node) MergeAffinity(marks []uint32) {
	node.receivedMarks = append(node.receivedMarks, marks...)
}

func (node *node) Directives() []oleandervane.ServerDirective { return node.directives }

func (node *node) MergeDirectives(directives []oleandervane.ServerDirective) {
	node.receivedDirectives = append(node.receivedDirectives, directives...)
}

func (node *node) ServerEnds() []oleandervane.ServerEnd { return node.serverEnds }

func (node *node) MergeServerEnds(serverEnds []oleandervane.ServerEnd) {
	node.receivedServerEnds = append(node.receivedServerEnds, serverEnds...)
}

func (node *node) PendingAffinity() []uint32 {
	marks := node.pendingMarks
	node.pendingMarks = nil
	return marks
}

func (node *node) Send(to []oleandervane.EntryVM, notice *peer.Notice) {
	for _, vm := range to {
		if vm.FailureDomain == node.self.FailureDomain {
			node.sentLocal++
		} else {
			node.sentRemote++
		}
		if receiver := node.fleet.nodes[vm.ID]; !node.cut && !receiver.cut {
			receiver.exchange.Receive(notice)
		}
	}
}

// suspectTrackerOf is the SuspectTracker of a node.
type suspectTrackerOf struct{ *node }

func (suspectTracker suspectTrackerOf) Merge(suspects, quarantined []oleandervane.SuspectRequest) {
	suspectTracker.receivedSuspects = append(suspectTracker.receivedSuspects, suspects...)
	for _, request := range quarantined {
		suspectTracker.receivedQuarantined[request.Fingerprint] = true
	}
}

type fleet struct {
	manual *timer.Manual
	vms    []oleandervane.EntryVM
	nodes  map[oleandervane.VMID]*node
}

func newFleet(domains, vmsPerDomain int) *fleet {
	fleet := &fleet{manual: timer.NewManual(time.Unix(1000, 0)), nodes: map[oleandervane.VMID]*node{}}
	for domain := range domains {
		for number := range vmsPerDomain {
			fleet.vms = append(fleet.vms, oleandervane.EntryVM{
				ID: oleandervane.VMID(fmt.Sprintf("vm-%d-%02d", domain, number)), FailureDomain: oleandervane.FailureDomain(fmt.Sprintf("d-%d", domain)), Incarnation: 1,
			})
		}
	}
	for _, vm := range fleet.vms {
		node := &node{self: vm, fleet: fleet, received: map[string][]oleandervane.ServerCount{}, vms: map[string]int{}, receivedQuarantined: map[[16]byte]bool{}}
		node.exchange = New(Settings{
			TimerService: fleet.manual, Membership: node, InFlight: node, Affinity: node, Suspects: suspectTrackerOf{node}, Directives: node, ServerEnds: node, Store: node, Sender: node,
		})
		fleet.nodes[vm.ID] = node
	}
	return fleet
}

// sendNotices makes all VMs send the notices of one period, in order.
func (fleet *fleet) sendNotices() {
	for _, vm := range fleet.vms {
		fleet.nodes[vm.ID].exchange.SendNotices()
	}
	fleet.manual.Advance(DefaultPeriod)
}

// total returns the number of requests of other VMs in flight at a server, according to a node.
func (node *node) total(server uint32) int {
	sum := 0
	for _, counts := range node.received {
		for _, count := range counts {
			if count.Server == server {
				sum += count.Count
			}
		}
	}
	return sum
}

// The worst load: all VMs have requests in flight at one server. Guards against requests that are counted twice or not at
// all when sums pass between failure domains.
func TestAllVMsCountAllRequests(t *testing.T) {
	for _, vmsPerDomain := range []int{1, 2, 3, 20} {
		fleet := newFleet(3, vmsPerDomain)
		for _, node := range fleet.nodes {
			node.inFlight = []oleandervane.ServerCount{{Server: 7, Count: 2}}
		}
		for range 6 {
			fleet.sendNotices()
		}
		for id, node := range fleet.nodes {
			assert.Equal(t, node.total(7), 2*(len(fleet.vms)-1), "%s, %d VMs a domain", id, vmsPerDomain)
		}
	}
}

// Guards against a cost that grows with the square of the fleet, and against notices to each VM of another domain:
// traffic between domains costs most.
func TestNoticesBetweenDomainsGrowWithDomains(t *testing.T) {
	const domains, periods = 6, 8
	for _, vmsPerDomain := range []int{2, 20} {
		fleet := newFleet(domains, vmsPerDomain)
		for range periods {
			fleet.sendNotices()
		}
		sentLocal, sentRemote := 0, 0
		for _, node := range fleet.nodes {
			sentLocal, sentRemote = sentLocal+node.sentLocal, sentRemote+node.sentRemote
		}
		rounds := periods
		if vmsPerDomain+domains-1 >= halfRateSources {
			rounds /= 2
		}
		assert.Equal(t, sentRemote, rounds*domains*(domains-1))
		forwarded := sentRemote * (vmsPerDomain - 1)
		assert.Equal(t, sentLocal, rounds*domains*vmsPerDomain*(vmsPerDomain-1)+forwarded)
	}
}

// Guards against cache affinity marks that stay within one failure domain, marks that are sent again and again, and old
// marks that a VM forwards when it becomes a delegate.
func TestAffinityMarksReachAllVMs(t *testing.T) {
	for _, vmsPerDomain := range []int{1, 3, 12} {
		fleet := newFleet(3, vmsPerDomain)
		sender := fleet.nodes[oleandervane.VMID(fmt.Sprintf("vm-0-%02d", vmsPerDomain-1))]
		sender.pendingMarks = []uint32{42}
		for range 12 {
			fleet.sendNotices()
		}
		for id, node := range fleet.nodes {
			if node == sender {
				continue
			}
			assert.Assert(t, slices.Contains(node.receivedMarks, 42), "%s, %d VMs a domain", id, vmsPerDomain)
			assert.Assert(t, len(node.receivedMarks) <= delegateCount, "%s, %d VMs a domain: the mark was received %d times", id, vmsPerDomain, len(node.receivedMarks))
			assert.Equal(t, len(node.exchange.pendingAffinity), 0, "%s, %d VMs a domain", id, vmsPerDomain)
		}
	}
}

// Guards against a failure domain whose counts no longer reach other domains when one of its delegates dies.
func TestOtherDelegateReportsAfterOneDies(t *testing.T) {
	fleet := newFleet(2, 4)
	for _, node := range fleet.nodes {
		node.inFlight = []oleandervane.ServerCount{{Server: 7, Count: 1}}
	}
	fleet.nodes[Delegates(fleet.vms, "d-0")[0].ID].cut = true
	for range 6 {
		fleet.sendNotices()
	}
	for _, node := range fleet.nodes {
		if node.self.FailureDomain == "d-1" {
			assert.Equal(t, node.total(7), 6)
		}
	}
}

// Guards against a datagram that is late, from an unknown VM or an earlier incarnation, or for a failure domain that is not
// the sender's.
func TestInvalidNoticesAreIgnored(t *testing.T) {
	fleet := newFleet(2, 1)
	receiver := fleet.nodes["vm-0-00"]
	good := &peer.Notice{Vm: "vm-1-00", Incarnation: 5, Sequence: 9, Vms: 1, Servers: []uint32{7}, Counts: []uint32{3}}
	receiver.exchange.Receive(good)
	assert.Equal(t, receiver.total(7), 3)
	for name, change := range map[string]func(notice *peer.Notice){
		"late":                func(notice *peer.Notice) { notice.Sequence = 8 },
		"of a former process": func(notice *peer.Notice) { notice.Incarnation, notice.Sequence = 4, 90 },
		"of an unknown VM":    func(notice *peer.Notice) { notice.Vm, notice.Sequence = "vm-9", 90 },
		"of this VM":          func(notice *peer.Notice) { notice.Vm, notice.Sequence = "vm-0-00", 90 },
		"of another domain":   func(notice *peer.Notice) { notice.FailureDomain, notice.Sequence = "d-0", 90 },
	} {
		bad := proto.Clone(good).(*peer.Notice)
		bad.Counts = []uint32{50}
		change(bad)
		receiver.exchange.Receive(bad)
		assert.Equal(t, receiver.total(7), 3, name)
	}
}

// Guards against notices that were queued while a VM was paused and whose times count from when it reads them: a request stays refused
// for the time of the pause after its quarantine. Also guards against ends of servers that are lost with them.
func TestNoticesQueuedDuringAPauseAreIgnored(t *testing.T) {
	for _, sendsFirst := range []bool{false, true} {
		fleet := newFleet(1, 2)
		receiver := fleet.nodes["vm-0-01"]
		fleet.sendNotices()
		fleet.manual.Advance(time.Minute)
		if sendsFirst {
			receiver.exchange.SendNotices()
		}
		for sequence := uint64(10); sequence < 20; sequence++ {
			receiver.exchange.Receive(&peer.Notice{
				Vm: "vm-0-00", Incarnation: 1, Sequence: sequence, Vms: 1, Quarantined: []*peer.Suspect{{Fingerprint: make([]byte, 16), Millis: 59000}},
				ServerEnds: []*peer.ServerEnd{{Server: 7}},
			})
			fleet.manual.Advance(10 * time.Millisecond)
		}
		receiver.exchange.SendNotices()
		assert.Equal(t, len(receiver.receivedQuarantined), 0, "sends first: %v", sendsFirst)
		assert.Assert(t, len(receiver.receivedServerEnds) > 0, "sends first: %v", sendsFirst)
		fleet.manual.Advance(queuedPeriod)
		fleet.nodes["vm-0-00"].quarantined = []oleandervane.SuspectRequest{{Fingerprint: [16]byte{1}, Since: time.Minute}}
		for range 20 {
			fleet.sendNotices()
		}
		assert.Assert(t, receiver.receivedQuarantined[[16]byte{1}], "sends first: %v", sendsFirst)
	}
}

// Guards against suspect requests, which may crash servers, that are known only in one failure domain.
func TestSuspectsReachAllVMs(t *testing.T) {
	fleet := newFleet(3, 3)
	suspect := oleandervane.SuspectRequest{Fingerprint: [16]byte{1}, Server: 7, Since: time.Second}
	first := fleet.nodes["vm-0-00"]
	first.suspects = []oleandervane.SuspectRequest{suspect}
	for range 3 {
		fleet.sendNotices()
		// A VM that has received a suspect sends it as well.
		for _, node := range fleet.nodes {
			node.suspects = slices.Concat(node.suspects, node.receivedSuspects)
		}
	}
	for id, node := range fleet.nodes {
		assert.Assert(t, slices.Contains(node.suspects, suspect), "%s", id)
	}
}

// Guards against a VM that does not hear that others, also of other domains, have a later revision.
func TestVMsAheadAreKnownInAllDomains(t *testing.T) {
	fleet := newFleet(3, 4)
	for _, node := range fleet.nodes {
		node.revision, node.inContact = 7, true
	}
	delegate, behind := Delegates(fleet.vms, "d-1")[0], fleet.nodes["vm-2-00"]
	fleet.nodes[delegate.ID].revision, behind.revision = 8, 6
	for range 8 {
		fleet.sendNotices()
	}
	assert.DeepEqual(t, behind.exchange.VMsAhead(oleandervane.StoreRevision{Number: 7}, time.Second), []oleandervane.VMID{delegate.ID})
	assert.Assert(t, len(behind.exchange.VMsAhead(oleandervane.StoreRevision{Number: 6}, time.Second)) >= 3+2)
	assert.Equal(t, len(behind.exchange.VMsAhead(oleandervane.StoreRevision{Number: 8}, time.Second)), 0)
	assert.Equal(t, len(behind.exchange.Unheard(time.Second)), 0)
	assert.Assert(t, behind.exchange.HasNewsUpTo(oleandervane.StoreRevision{Number: 7}, time.Second))
	assert.Assert(t, !behind.exchange.HasNewsUpTo(oleandervane.StoreRevision{Number: 6}, time.Second))
	fleet.nodes[delegate.ID].inContact, fleet.nodes["vm-2-01"].cut = false, true
	for range 16 {
		fleet.sendNotices()
	}
	assert.Equal(t, len(behind.exchange.VMsAhead(oleandervane.StoreRevision{Number: 7}, time.Second)), 0)
	unheard := behind.exchange.Unheard(time.Second)
	assert.Assert(t, len(unheard) == 1 && unheard[0].ID == "vm-2-01", "%v", unheard)
}

// Guards against a VM that relies on what it has read from the store although others know more or have lost contact, and against one
// that does not although a VM of another domain confirms it.
func TestRevisionIsConfirmedByAnyVM(t *testing.T) {
	fleet := newFleet(2, 2)
	for _, node := range fleet.nodes {
		node.revision, node.inContact = 7, true
	}
	receiver := fleet.nodes["vm-0-00"].exchange
	fleet.nodes["vm-0-01"].inContact = false
	for range 8 {
		fleet.sendNotices()
	}
	assert.Assert(t, receiver.HasNewsUpTo(oleandervane.StoreRevision{Number: 7}, time.Second))
	assert.Assert(t, !receiver.HasNewsUpTo(oleandervane.StoreRevision{Number: 6}, time.Second))
	fleet.nodes["vm-1-00"].inContact, fleet.nodes["vm-1-01"].inContact = false, false
	for range 16 {
		fleet.sendNotices()
	}
	assert.Assert(t, !receiver.HasNewsUpTo(oleandervane.StoreRevision{Number: 7}, time.Second))
}

// Guards against a follower that trusts a VM which has lost contact with the store or sends no more notices.
func TestStoreRevisionOfAPeer(t *testing.T) {
	fleet := newFleet(1, 2)
	sender, receiver := fleet.nodes["vm-0-00"], fleet.nodes["vm-0-01"]
	sender.revision, sender.inContact = 42, true
	sender.exchange.SendNotices()
	revision, fresh := receiver.exchange.StoreRevision("vm-0-00", time.Second)
	assert.Assert(t, fresh && revision.Number == 42)
	fleet.manual.Advance(1100 * time.Millisecond)
	_, fresh = receiver.exchange.StoreRevision("vm-0-00", time.Second)
	assert.Assert(t, !fresh)
	sender.inContact = false
	sender.exchange.SendNotices()
	_, fresh = receiver.exchange.StoreRevision("vm-0-00", time.Second)
	assert.Assert(t, !fresh)
}

// Guards against notices that change between sender and receiver, and against an invalid datagram that ends Receive.
func TestSocket(t *testing.T) {
	local := netip.MustParseAddrPort("127.0.0.1:0")
	sender, receiver := &Socket{}, &Socket{}
	assert.NilError(t, sender.Open(local))
	assert.NilError(t, receiver.Open(local))
	received := make(chan *peer.Notice, 1)
	go func() { _ = receiver.Receive(func(notice *peer.Notice) { received <- notice }) }()
	address := receiver.conn.Load().LocalAddr().String()
	_, err := sender.conn.Load().WriteToUDPAddrPort([]byte{0xff}, netip.MustParseAddrPort(address))
	assert.NilError(t, err)
	sender.Send([]oleandervane.EntryVM{{PeerAddress: netip.MustParseAddrPort(address)}}, &peer.Notice{Vm: "a", Servers: []uint32{1}, Counts: []uint32{2}})
	notice := <-received
	assert.Equal(t, notice.GetVm(), "a")
	assert.Equal(t, receiver.Dropped(), uint64(1))
	assert.NilError(t, sender.Close())
	assert.NilError(t, receiver.Close())
}

// Guards against a datagram that crashes the process.
func FuzzReceive(f *testing.F) {
	datagram, err := proto.Marshal(&peer.Notice{Vm: "vm-0-01", Sequence: 1, Servers: []uint32{1}, Counts: []uint32{2}, Suspects: []*peer.Suspect{{Fingerprint: []byte{1}}}})
	assert.NilError(f, err)
	f.Add(datagram)
	f.Fuzz(func(_ *testing.T, datagram []byte) {
		notice := &peer.Notice{}
		if proto.Unmarshal(datagram, notice) == nil {
			newFleet(1, 2).nodes["vm-0-00"].exchange.Receive(notice)
		}
	})
}

// Guards against refused requests that other VMs never hear of, because a notice carries only the first ones of a long list.
func TestAllQuarantinedRequestsReachAllVMs(t *testing.T) {
	const requests = 256
	fleet := newFleet(2, 3)
	for _, vm := range vmsIn(fleet.vms, fleet.vms[0].FailureDomain) {
		for number := range requests {
			request := oleandervane.SuspectRequest{Fingerprint: [16]byte{byte(number)}, Since: time.Minute}
			fleet.nodes[vm.ID].quarantined = append(fleet.nodes[vm.ID].quarantined, request)
		}
	}
	for range 4 * requests / maxSuspects {
		fleet.sendNotices()
	}
	for id, node := range fleet.nodes {
		assert.Equal(t, len(node.receivedQuarantined), requests, "%s", id)
	}
}

// Guards against a limit of a server that is not known in all failure domains, or that is none or unbounded after its transport.
func TestDirectivesReachAllVMs(t *testing.T) {
	fleet := newFleet(2, 3)
	directives := []oleandervane.ServerDirective{{Server: 1, RateLimit: 2.3, Age: time.Second}, {Server: 2, RateLimit: 0.0001}, {Server: 3, RateLimit: 1e300}, {Server: 4, Leaving: true}}
	for _, vm := range vmsIn(fleet.vms, fleet.vms[0].FailureDomain) {
		fleet.nodes[vm.ID].directives = directives
	}
	for range 4 {
		fleet.sendNotices()
	}
	for id, node := range fleet.nodes {
		assert.Assert(t, len(node.receivedDirectives) >= len(directives), "%s", id)
		assert.DeepEqual(t, node.receivedDirectives[:len(directives)], []oleandervane.ServerDirective{
			{Server: 1, RateLimit: 2.3, Age: time.Second}, {Server: 2, RateLimit: 0.001}, {Server: 3, RateLimit: maxRateLimit}, {Server: 4, Leaving: true},
		})
	}
}

// Guards against VMs that are cut off, use their shares of rate limits from 2 s on, and still count at the owners of the limits.
func TestHeardCapacityDuringACut(t *testing.T) {
	for name, isCut := range map[string]func(vm int) bool{
		"single VMs":  func(vm int) bool { return vm%10 < 3 },
		"two domains": func(vm int) bool { return vm < 40 },
		"most VMs":    func(vm int) bool { return vm%10 != 3 },
	} {
		t.Run(name, func(t *testing.T) {
			fleet := newFleet(6, 20)
			for range 16 {
				fleet.sendNotices()
			}
			connected := 0.0
			for number, vm := range fleet.vms {
				assert.Equal(t, fleet.nodes[vm.ID].exchange.HeardCapacity(), 120.0)
				fleet.nodes[vm.ID].cut = isCut(number)
				if !isCut(number) {
					connected++
				}
			}
			for passed := time.Duration(0); passed <= 1750*time.Millisecond; passed += DefaultPeriod {
				fleet.sendNotices()
			}
			for number, vm := range fleet.vms {
				heard, want := fleet.nodes[vm.ID].exchange.HeardCapacity(), connected
				if isCut(number) {
					want = 1
				}
				assert.Assert(t, heard <= want, "%s: %v, connected %v", vm.ID, heard, want)
			}
			fleet.sendNotices()
			// Domains whose delegates are all cut off count as unheard until their lists change.
			t.Logf("%v of %v", fleet.nodes["vm-2-03"].exchange.HeardCapacity(), connected)
		})
	}
}
