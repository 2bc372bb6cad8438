package gossip

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"oleandervane.example"
	"oleandervane.example/fleet/membership"
	"oleandervane.example/fleet/peer"
)

// Constants of a Node.
const (
	tickPeriod = time.Second
	// pushFanOut is the number of peers to which a new revision or an urgent value is pushed.
	pushFanOut  = 4
	pushTimeout = 400 * time.Millisecond
	// A starting VM asks peers for their revision before it uses the store, which may return a stale response: it waits
	// for minRevisionPeers peers that have a revision, or for startupWait.
	minRevisionPeers = 3
	startupWait      = 3 * time.Second
)

// Transport sends messages to peers, with the same rules as membership.Transport.
type Transport interface {
	membership.Transport
	Fetch(to netip.AddrPort, request *peer.FetchRequest, timeout time.Duration, done func(*peer.FetchResponse, error))
}

// Settings configure a Node. Self, TimerService, Transport, Store, Decoder and Random are required.
type Settings struct {
	Self         oleandervane.EntryVM
	TimerService oleandervane.TimerService
	Transport    Transport
	Store        Store
	Decoder      Decoder
	Random       *rand.Rand
	Seeds        []netip.AddrPort
	VMList       VMList
	// ConfigurationAccepted is called, in order, with each configuration that comes into force on this VM.
	ConfigurationAccepted func(*oleandervane.Configuration)
	// VMsChanged is called after the set of entry VMs or the state of a VM changed.
	VMsChanged func()
	// Snapshot returns the region's steering snapshot to write, or nil if there is none yet.
	Snapshot func() []byte
	Log      logrus.FieldLogger
}

// Node exchanges configurations, values and steering snapshots with other entry VMs and the store. It implements
// oleandervane.ConfigurationSource.
type Node struct {
	settings      Settings
	membership    *membership.Membership
	configuration atomic.Pointer[oleandervane.Configuration]

	mutex     sync.Mutex
	cancels   []func()
	stopped   bool
	startedAt time.Time
	// revisions, topics and the fields below are protected by the mutex.
	revisions *revisions
	topics    *topics
	watch     watch
	snapshot  snapshotState
	listing   listing
	// revisionPeers are the first peers that reported a revision, collected until the store may be read.
	revisionPeers map[oleandervane.VMID]bool
	notifications []*oleandervane.Configuration
	notifying     bool
}

var _ oleandervane.ConfigurationSource = (*Node)(nil)

// New returns a Node. Call Start to begin.
func New(settings Settings) *Node {
	if settings.Log == nil {
		settings.Log = logrus.StandardLogger()
	}
	now := settings.TimerService.Now()
	node := &Node{
		settings:      settings,
		startedAt:     now,
		revisions:     newRevisions(settings.Decoder, now),
		topics:        newTopics(settings.Self.Region),
		revisionPeers: map[oleandervane.VMID]bool{},
	}
	node.membership = membership.New(membership.Settings{
		Self:         settings.Self,
		TimerService: settings.TimerService,
		Transport:    settings.Transport,
		Random:       rand.New(rand.NewPCG(settings.Random.Uint64(), settings.Random.Uint64())),
		Piggyback:    piggyback{node},
		Seeds:        settings.Seeds,
		VMsChanged:   settings.VMsChanged,
	})
	return node
}

// Start begins probing peers and watching the store.
func (node *Node) Start() {
	node.membership.Start()
	node.mutex.Lock()
	defer node.mutex.Unlock()
	phase := time.Duration(node.settings.Random.Int64N(int64(tickPeriod)))
	node.cancels = append(node.cancels, node.settings.TimerService.After(phase, func(now time.Time) {
		cancel := node.settings.TimerService.Every(tickPeriod, node.tick)
		node.mutex.Lock()
		if node.stopped {
			defer cancel()
		}
		node.cancels = append(node.cancels, cancel)
		node.mutex.Unlock()
		node.tick(now)
	}))
}

// Leave announces to peers that this VM accepts no new work.
func (node *Node) Leave() {
	node.membership.Leave()
}

// Stop announces to peers that this VM is gone and ends all activity.
func (node *Node) Stop() {
	node.membership.Depart()
	node.Halt()
}

// Halt ends all activity without an announcement to peers, like a crash.
func (node *Node) Halt() {
	node.membership.Stop()
	node.mutex.Lock()
	defer node.mutex.Unlock()
	node.stopped = true
	for _, cancel := range node.cancels {
		cancel()
	}
}

// Membership returns the node's view of the entry VMs.
func (node *Node) Membership() *membership.Membership {
	return node.membership
}

// Configuration returns the newest accepted revision known here, or nil before the first.
func (node *Node) Configuration() *oleandervane.Configuration {
	return node.configuration.Load()
}

// Publish spreads a value of this VM. The newest value of an owner wins; it expires after the lifetime.
func (node *Node) Publish(topic string, scope Scope, content []byte, lifetime time.Duration) {
	node.publish(topic, string(node.settings.Self.ID), scope, content, lifetime, false)
}

// PublishUrgently spreads a value like Publish, and also pushes it at once.
func (node *Node) PublishUrgently(topic string, scope Scope, content []byte, lifetime time.Duration) {
	node.publish(topic, string(node.settings.Self.ID), scope, content, lifetime, true)
}

// PublishForRegion spreads a value whose owner is this VM's region. Only one VM of the region should publish it at a
// time; see RanksFirst.
func (node *Node) PublishForRegion(topic string, scope Scope, content []byte, lifetime time.Duration) {
	node.publish(topic, string(node.settings.Self.Region), scope, content, lifetime, false)
}

func (node *Node) publish(topic, owner string, scope Scope, content []byte, lifetime time.Duration, urgent bool) {
	now := node.settings.TimerService.Now()
	node.mutex.Lock()
	key := node.topics.publish(topic, owner, scope, content, lifetime, now)
	var actions []action
	if urgent {
		actions = node.pushValues([]topicKey{key}, now)
	}
	node.mutex.Unlock()
	run(actions)
}

// Values returns the newest values of a topic, ordered by owner.
func (node *Node) Values(topic string) []Value {
	now := node.settings.TimerService.Now()
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.topics.values(topic, now)
}

// RanksFirst reports whether this VM ranks first in its region for a purpose in the current epoch, so that it does the
// work. While views differ, it can be true on two VMs, so the work must tolerate being done twice.
func (node *Node) RanksFirst(purpose string) bool {
	return node.rank(purpose, node.settings.TimerService.Now()) == 0
}

// rank returns the rank of this VM in its region for a purpose in the current epoch.
func (node *Node) rank(purpose string, now time.Time) int {
	view := node.membership.View()
	return membership.Rank(node.settings.Self.ID, view.Region(node.settings.Self.Region), purpose, membership.Epoch(now))
}

// action is a call that is made after the lock is released.
type action func()

func run(actions []action) {
	for _, action := range actions {
		action()
	}
}

func (node *Node) tick(now time.Time) {
	node.mutex.Lock()
	if node.stopped {
		node.mutex.Unlock()
		return
	}
	node.topics.expire(now)
	actions := node.fetchNext(now)
	actions = append(actions, node.watchTick(now)...)
	actions = append(actions, node.snapshotTick(now)...)
	actions = append(actions, node.listingTick(now)...)
	node.mutex.Unlock()
	run(actions)
	node.notifyAccepted()
}

// mayReadStore reports whether enough peers have reported their revision, or startupWait has passed.
func (node *Node) mayReadStore(now time.Time) bool {
	return len(node.revisionPeers) >= minRevisionPeers || now.Sub(node.startedAt) >= startupWait
}

// HandleExchange responds to a probe.
func (node *Node) HandleExchange(request *peer.Packet) (*peer.Packet, error) {
	return node.membership.HandleExchange(request)
}

// HandlePush merges urgent updates and passes on those that were new.
func (node *Node) HandlePush(request *peer.Packet) error {
	return node.membership.HandlePush(request)
}

// HandleIndirectProbe probes a VM for a peer and calls respond once.
func (node *Node) HandleIndirectProbe(request *peer.IndirectProbeRequest, respond func(*peer.IndirectProbeResponse)) {
	node.membership.HandleIndirectProbe(request, respond)
}

// HandleCompare responds with the records that the caller lacks.
func (node *Node) HandleCompare(request *peer.CompareRequest) (*peer.CompareResponse, error) {
	return node.membership.HandleCompare(request)
}

// HandleFetch responds with the head or chunks of the revision in force.
func (node *Node) HandleFetch(request *peer.FetchRequest) (*peer.FetchResponse, error) {
	if err := request.Check(); err != nil {
		return nil, err
	}
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.revisions.handleFetch(request), nil
}

// piggyback adds revisions, store checks and topic values to the packets of the membership.
type piggyback struct {
	node *Node
}

func (piggyback piggyback) Fill(packet, request *peer.Packet, to oleandervane.EntryVM) {
	node := piggyback.node
	now := node.settings.TimerService.Now()
	node.mutex.Lock()
	defer node.mutex.Unlock()
	if current := node.revisions.current; current != nil {
		packet.Revision = current.mark.wire()
	}
	if !node.watch.checkedAt.IsZero() {
		packet.StoreCheckAgeMillis = uint32(max(0, now.Sub(node.watch.checkedAt).Milliseconds())) + 1
	}
	if request != nil {
		packet.TopicValues = node.topics.newerThan(request.TopicVersions, to.Region, now)
		return
	}
	packet.TopicVersions = node.topics.versions(to.Region)
	packet.TopicValues = node.topics.newValues(to.Region, now)
}

func (piggyback piggyback) Receive(packet *peer.Packet, from oleandervane.EntryVM) {
	node := piggyback.node
	now := node.settings.TimerService.Now()
	node.mutex.Lock()
	if packet.Revision != nil && len(node.revisionPeers) < minRevisionPeers {
		node.revisionPeers[from.ID] = true
	}
	if age := packet.StoreCheckAgeMillis; age > 0 {
		checkedAt := now.Add(-time.Duration(age-1) * time.Millisecond)
		if checkedAt.After(node.watch.checkedAt) {
			node.watch.checkedAt = checkedAt
		}
	}
	changed := node.topics.merge(packet.TopicValues, now)
	var actions []action
	if len(changed) > 0 && len(packet.TopicVersions) == 0 && len(packet.Regions) == 0 {
		// The packet is a push, so its values are urgent.
		actions = node.pushValues(changed, now)
	}
	if packet.Revision != nil && node.revisions.offer(markFromWire(packet.Revision), from.PeerAddress, now) {
		actions = append(actions, node.fetchNext(now)...)
	}
	node.mutex.Unlock()
	run(actions)
	node.notifyAccepted()
}

// pushValues sends urgent values to peers of the region and, if they have fleet scope, to one VM of each other region.
func (node *Node) pushValues(keys []topicKey, now time.Time) []action {
	near := &peer.Packet{From: node.selfRecord()}
	far := &peer.Packet{From: near.From}
	for _, key := range keys {
		entry, found := node.topics.entries[key]
		if !found {
			continue
		}
		near.TopicValues = append(near.TopicValues, entry.wire(now))
		if key.region == "" {
			far.TopicValues = append(far.TopicValues, entry.wire(now))
		}
	}
	if len(near.TopicValues) == 0 {
		return nil
	}
	return node.push(near, far, len(far.TopicValues) > 0)
}

func (node *Node) selfRecord() *peer.VMRecord {
	return node.membership.SelfRecord().Wire()
}

// push sends near to pushFanOut peers of this region and, if everywhere is set, far to one VM of each other region.
func (node *Node) push(near, far *peer.Packet, everywhere bool) []action {
	view := node.membership.View()
	region := node.settings.Self.Region
	actions := node.pushTo(node.sample(view.Region(region), pushFanOut), near)
	if !everywhere {
		return actions
	}
	for _, name := range view.Regions() {
		if name != region {
			actions = append(actions, node.pushTo(node.sample(view.Region(name), 1), far)...)
		}
	}
	return actions
}

func (node *Node) pushTo(targets []oleandervane.EntryVM, packet *peer.Packet) []action {
	var actions []action
	for _, target := range targets {
		actions = append(actions, func() {
			node.settings.Transport.Push(target.PeerAddress, packet, pushTimeout, func(error) {})
		})
	}
	return actions
}

// sample returns up to count random VMs without this one.
func (node *Node) sample(vms []oleandervane.EntryVM, count int) []oleandervane.EntryVM {
	others := slices.Clone(vms)
	others = slices.DeleteFunc(others, func(vm oleandervane.EntryVM) bool { return vm.ID == node.settings.Self.ID })
	node.settings.Random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(count, len(others))]
}
