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

// node is a VM whose notices reach the others at once, unless they are cut off.
type node struct {
	self     oleandervane.EntryVM
	site     *site
	exchange *Exchange
	inFlight []oleandervane.ServerCount
	learned  map[string][]oleandervane.ServerCount
	vms      map[string]int
	suspects []oleandervane.SuspectRequest
	heard    []oleandervane.SuspectRequest
	// sent counts notices within the failure domain, crossed those to other domains.
	sent, crossed int
	news          []uint32
	familiar      []uint32
	cut           bool
	revision      uint64
	inContact     bool
}

func (node *node) Self() oleandervane.EntryVM              { return node.self }
func (node *node) EntryVMs() []oleandervane.EntryVM        { return node.site.vms }
func (node *node) InFlight() []oleandervane.ServerCount    { return node.inFlight }
func (node *node) StoreRevision() (uint64, bool)           { return node.revision, node.inContact }
func (node *node) Suspects() []oleandervane.SuspectRequest { return node.suspects }
func (node *node) Refused() []oleandervane.SuspectRequest  { return nil }

func (node *node) Learn(source string, vms int, counts []oleandervane.ServerCount) {
	node.learned[source], node.vms[source] = counts, vms
}

func (node *node) LearnFamiliar(marks []uint32) { node.familiar = append(node.familiar, marks...) }

func (node *node) FamiliarNews() []uint32 {
	news := node.news
	node.news = nil
	return news
}

func (node *node) Send(to []oleandervane.EntryVM, notice *peer.Notice) {
	for _, vm := range to {
		if vm.FailureDomain == node.self.FailureDomain {
			node.sent++
		} else {
			node.crossed++
		}
		if receiver := node.site.nodes[vm.ID]; !node.cut && !receiver.cut {
			receiver.exchange.Receive(notice)
		}
	}
}

// suspicionsOf is the SuspicionKeeper of a node.
type suspicionsOf struct{ *node }

func (suspicions suspicionsOf) Learn(suspects, _ []oleandervane.SuspectRequest) {
	suspicions.heard = append(suspicions.heard, suspects...)
}

type site struct {
	manual *timer.Manual
	vms    []oleandervane.EntryVM
	nodes  map[oleandervane.VMID]*node
}

func newSite(domains, each int) *site {
	site := &site{manual: timer.NewManual(time.Unix(1000, 0)), nodes: map[oleandervane.VMID]*node{}}
	for domain := range domains {
		for number := range each {
			site.vms = append(site.vms, oleandervane.EntryVM{
				ID: oleandervane.VMID(fmt.Sprintf("vm-%d-%02d", domain, number)), FailureDomain: oleandervane.FailureDomain(fmt.Sprintf("d-%d", domain)), Incarnation: 1,
			})
		}
	}
	for _, vm := range site.vms {
		node := &node{self: vm, site: site, learned: map[string][]oleandervane.ServerCount{}, vms: map[string]int{}}
		node.exchange = New(Settings{
			TimerService: site.manual, Membership: node, InFlight: node, Affinity: node, Suspects: suspicionsOf{node}, Store: node, Sender: node,
		})
		site.nodes[vm.ID] = node
	}
	return site
}

// tell lets all VMs tell once, in order.
func (site *site) tell() {
	for _, vm := range site.vms {
		site.nodes[vm.ID].exchange.SendNotices()
	}
	site.manual.Advance(DefaultPeriod)
}

// total is what a node believes that others have in flight at a server.
func (node *node) total(server uint32) int {
	sum := 0
	for _, counts := range node.learned {
		for _, count := range counts {
			if count.Server == server {
				sum += count.Count
			}
		}
	}
	return sum
}

// Replays the worst load: all VMs have requests at one server. Guards against requests that are counted twice or not at
// all on the way between failure domains.
func TestEveryVMKnowsAllRequests(t *testing.T) {
	for _, each := range []int{1, 2, 3, 20} {
		site := newSite(3, each)
		for _, node := range site.nodes {
			node.inFlight = []oleandervane.ServerCount{{Server: 7, Count: 2}}
		}
		for range 6 {
			site.tell()
		}
		for id, node := range site.nodes {
			assert.Equal(t, node.total(7), 2*(len(site.vms)-1), "%s, %d VMs a domain", id, each)
		}
	}
}

// Guards against an exchange whose cost grows with the square of the fleet, and against notices that cross domains for each
// VM there: what crosses costs most.
func TestNoticesBetweenDomainsGrowWithDomains(t *testing.T) {
	const domains, periods = 6, 8
	for _, each := range []int{2, 20} {
		site := newSite(domains, each)
		for range periods {
			site.tell()
		}
		sent, crossed := 0, 0
		for _, node := range site.nodes {
			sent, crossed = sent+node.sent, crossed+node.crossed
		}
		tellings := periods
		if each+domains-1 >= manySources {
			tellings /= 2
		}
		assert.Equal(t, crossed, tellings*domains*(domains-1))
		passedOn := crossed * (each - 1)
		assert.Equal(t, sent, tellings*domains*each*(each-1)+passedOn)
	}
}

// Guards against objects of which only VMs of the same failure domain learn which servers know them, marks that are told
// again and again, and old ones that a VM passes on when it becomes a delegate.
func TestFamiliarPairsReachAllVMs(t *testing.T) {
	for _, each := range []int{1, 3, 12} {
		site := newSite(3, each)
		teller := site.nodes[oleandervane.VMID(fmt.Sprintf("vm-0-%02d", each-1))]
		teller.news = []uint32{42}
		for range 12 {
			site.tell()
		}
		for id, node := range site.nodes {
			if node == teller {
				continue
			}
			assert.Assert(t, slices.Contains(node.familiar, 42), "%s of %d", id, each)
			assert.Assert(t, len(node.familiar) <= delegates, "%s of %d heard of it %d times", id, each, len(node.familiar))
			assert.Equal(t, len(node.exchange.familiar), 0, "%s of %d", id, each)
		}
	}
}

// Guards against a failure domain that others hear nothing of when one of the VMs that speak for it dies.
func TestDeathOfADelegateLeavesAnother(t *testing.T) {
	site := newSite(2, 4)
	for _, node := range site.nodes {
		node.inFlight = []oleandervane.ServerCount{{Server: 7, Count: 1}}
	}
	site.nodes[Delegates(site.vms, "d-0")[0].ID].cut = true
	for range 6 {
		site.tell()
	}
	for _, node := range site.nodes {
		if node.self.FailureDomain == "d-1" {
			assert.Equal(t, node.total(7), 6)
		}
	}
}

// Guards against a datagram that arrives late, comes from an unknown or earlier VM, or speaks for another failure domain.
func TestNoticesThatDoNotCount(t *testing.T) {
	site := newSite(2, 1)
	receiver := site.nodes["vm-0-00"]
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

// Guards against a request that crashes servers and is known in its own failure domain only.
func TestSuspectsReachAllVMs(t *testing.T) {
	site := newSite(3, 3)
	suspect := oleandervane.SuspectRequest{Fingerprint: [16]byte{1}, Server: 7, Since: time.Second}
	first := site.nodes["vm-0-00"]
	first.suspects = []oleandervane.SuspectRequest{suspect}
	for range 3 {
		site.tell()
		// A VM that has heard of a suspect tells it as well.
		for _, node := range site.nodes {
			node.suspects = slices.Concat(node.suspects, node.heard)
		}
	}
	for id, node := range site.nodes {
		assert.Assert(t, slices.Contains(node.suspects, suspect), "%s", id)
	}
}

// Guards against a follower that trusts a VM which has lost the store, or is not heard any more.
func TestStoreRevisionOfAPeer(t *testing.T) {
	site := newSite(1, 2)
	teller, listener := site.nodes["vm-0-00"], site.nodes["vm-0-01"]
	teller.revision, teller.inContact = 42, true
	teller.exchange.SendNotices()
	revision, fresh := listener.exchange.StoreRevision("vm-0-00", time.Second)
	assert.Assert(t, fresh && revision == 42)
	site.manual.Advance(1100 * time.Millisecond)
	_, fresh = listener.exchange.StoreRevision("vm-0-00", time.Second)
	assert.Assert(t, !fresh)
	teller.inContact = false
	teller.exchange.SendNotices()
	_, fresh = listener.exchange.StoreRevision("vm-0-00", time.Second)
	assert.Assert(t, !fresh)
}

// Guards against notices that do not survive the socket.
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

// Guards against a datagram that ends the process.
func FuzzReceive(f *testing.F) {
	datagram, err := proto.Marshal(&peer.Notice{Vm: "vm-0-01", Sequence: 1, Servers: []uint32{1}, Counts: []uint32{2}, Suspects: []*peer.Suspect{{Fingerprint: []byte{1}}}})
	assert.NilError(f, err)
	f.Add(datagram)
	f.Fuzz(func(_ *testing.T, datagram []byte) {
		notice := &peer.Notice{}
		if proto.Unmarshal(datagram, notice) == nil {
			newSite(1, 2).nodes["vm-0-00"].exchange.Receive(notice)
		}
	})
}
