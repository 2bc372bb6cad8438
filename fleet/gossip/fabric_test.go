package gossip_test

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"oleandervane.example"
	"oleandervane.example/fleet/gossip"
	"oleandervane.example/fleet/peer"
	"oleandervane.example/timer"
)

var (
	errTimeout = errors.New("no response in time")
	startTime  = time.Unix(1_800_000_000, 0)
)

// fabric runs real nodes on a manual clock over a simulated transport with configurable delay, loss and cuts.
type fabric struct {
	clock     *timer.Manual
	random    *rand.Rand
	vms       []*vm
	byAddress map[netip.AddrPort]*vm
	// lossRate is the share of messages that are lost; cuts has the directions, between VMs or regions, that are cut.
	lossRate float64
	cuts     map[[2]string]bool
	delay    time.Duration
	store    *fakeStore
	log      logrus.FieldLogger
	// onAccept is called with each configuration that comes into force on a VM.
	onAccept func(*vm, *oleandervane.Configuration)
	// bytes and calls count sent bytes and calls, by procedure.
	bytes map[string]int
	calls map[string]int
}

// vm is one run of an entry VM.
type vm struct {
	fabric   *fabric
	node     *gossip.Node
	self     oleandervane.EntryVM
	live     bool
	paused   bool
	deferred []func()
	// forged replaces the responses of all peers in fuzz tests.
	forged *forgedTransport
	// sent and received count protobuf bytes.
	sent, received, messages int
}

func newFabric(seed uint64) *fabric {
	log := logrus.New()
	log.SetOutput(io.Discard)
	fabric := &fabric{
		clock:     timer.NewManual(startTime),
		random:    rand.New(rand.NewPCG(seed, 1)),
		byAddress: map[netip.AddrPort]*vm{},
		cuts:      map[[2]string]bool{},
		delay:     35 * time.Millisecond,
		log:       log,
		bytes:     map[string]int{},
		calls:     map[string]int{},
	}
	fabric.store = &fakeStore{fabric: fabric, entries: map[string]oleandervane.StoreEntry{}, calls: map[string]int{}}
	return fabric
}

func address(index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(index >> 8), byte(index)}), 7000)
}

func regionName(index int) oleandervane.Region {
	return oleandervane.Region("region-" + strconv.Itoa(index))
}

// start runs a VM at an address. The id and region follow from the index; generation distinguishes replacements with a
// new id.
func (fabric *fabric) start(index, regions, generation int) *vm {
	self := oleandervane.EntryVM{
		ID:            oleandervane.VMID(fmt.Sprintf("vm-%03d-%d", index, generation)),
		Incarnation:   oleandervane.Incarnation(fabric.clock.Now().UnixNano()) + oleandervane.Incarnation(fabric.random.IntN(1000)),
		Region:        regionName(index % regions),
		FailureDomain: oleandervane.FailureDomain(fmt.Sprintf("domain-%d-%d", index%regions, index/regions%2)),
		CallerAddress: netip.AddrPortFrom(address(index).Addr(), 80),
		PeerAddress:   address(index),
	}
	run := &vm{fabric: fabric, self: self, live: true}
	var seeds []netip.AddrPort
	for region := range 2 * regions {
		seeds = append(seeds, address(region))
	}
	run.node = gossip.New(gossip.Settings{
		Self: self, TimerService: vmTimer{run}, Transport: vmTransport{run}, Store: vmStore{run}, Decoder: testDecoder{},
		Random: rand.New(rand.NewPCG(fabric.random.Uint64(), 2)), Seeds: seeds, Log: fabric.log,
		Snapshot: func() []byte { return []byte("snapshot of " + self.Region) },
		ConfigurationAccepted: func(configuration *oleandervane.Configuration) {
			if fabric.onAccept != nil {
				fabric.onAccept(run, configuration)
			}
		},
	})
	if old := fabric.byAddress[self.PeerAddress]; old != nil {
		old.kill()
	}
	fabric.byAddress[self.PeerAddress] = run
	fabric.vms = append(fabric.vms, run)
	run.node.Start()
	return run
}

func (fabric *fabric) startAll(count, regions int) {
	for index := range count {
		fabric.start(index, regions, 0)
	}
}

func (fabric *fabric) live() []*vm {
	var result []*vm
	for _, run := range fabric.vms {
		if run.live {
			result = append(result, run)
		}
	}
	return result
}

func (run *vm) kill() {
	run.live = false
	run.node.Halt()
	run.deferred = nil
	if run.fabric.byAddress[run.self.PeerAddress] == run {
		delete(run.fabric.byAddress, run.self.PeerAddress)
	}
}

// pause stops the VM like SIGSTOP: messages and timers are processed when it resumes.
func (run *vm) pause(duration time.Duration) {
	if run.paused || !run.live {
		return
	}
	run.paused = true
	run.fabric.clock.After(duration, func(time.Time) {
		run.paused = false
		deferred := run.deferred
		run.deferred = nil
		for _, call := range deferred {
			run.runOrDefer(call)
		}
	})
}

func (run *vm) runOrDefer(call func()) {
	switch {
	case !run.live:
	case run.paused:
		run.deferred = append(run.deferred, call)
	default:
		call()
	}
}

// vmTimer is the timer service of one VM. Ticks that fall due while the VM is paused are merged into one when it
// resumes.
type vmTimer struct{ run *vm }

func (vmTimer vmTimer) Now() time.Time { return vmTimer.run.fabric.clock.Now() }

func (vmTimer vmTimer) Every(period time.Duration, tick func(time.Time)) func() {
	pending := false
	return vmTimer.run.fabric.clock.Every(period, func(time.Time) {
		if pending {
			return
		}
		pending = true
		vmTimer.run.runOrDefer(func() {
			pending = false
			tick(vmTimer.Now())
		})
	})
}

func (vmTimer vmTimer) After(delay time.Duration, fire func(time.Time)) func() {
	return vmTimer.run.fabric.clock.After(delay, func(time.Time) {
		vmTimer.run.runOrDefer(func() { fire(vmTimer.Now()) })
	})
}

func (fabric *fabric) lost(from, to oleandervane.EntryVM) bool {
	return fabric.cuts[[2]string{string(from.ID), string(to.ID)}] ||
		fabric.cuts[[2]string{string(from.Region), string(to.Region)}] ||
		(fabric.lossRate > 0 && fabric.random.Float64() < fabric.lossRate)
}

func (fabric *fabric) oneWay(from, to oleandervane.Region) time.Duration {
	delay := fabric.delay
	if from == to {
		delay = time.Millisecond
	}
	return delay + time.Duration(fabric.random.Int64N(int64(delay/5)+1))
}

type vmTransport struct{ run *vm }

// message is a pointer to a protobuf message.
type message[Content any] interface {
	*Content
	proto.Message
}

// send simulates one call: both messages are marshalled, so that sizes and processor time are realistic.
func send[Request, Response any, RequestMessage message[Request], ResponseMessage message[Response]](
	run *vm, name string, to netip.AddrPort, request RequestMessage, timeout time.Duration,
	handle func(*gossip.Node, RequestMessage, func(ResponseMessage, error)), done func(ResponseMessage, error),
) {
	fabric := run.fabric
	content, _ := proto.Marshal(request)
	run.sent += len(content)
	run.messages++
	fabric.bytes[name] += len(content)
	fabric.calls[name]++
	finished := false
	var cancelTimeout func()
	finish := func(response ResponseMessage, err error) {
		if !finished {
			finished = true
			cancelTimeout()
			run.runOrDefer(func() { done(response, err) })
		}
	}
	cancelTimeout = fabric.clock.After(timeout, func(time.Time) { finish(nil, errTimeout) })
	if run.forged != nil {
		fabric.clock.After(time.Millisecond, func(time.Time) { respondForged(*run.forged, finish) })
		return
	}
	target := fabric.byAddress[to]
	if target == nil || fabric.lost(run.self, target.self) {
		return
	}
	respond := func(response ResponseMessage, err error) {
		if err != nil {
			finish(nil, err)
			return
		}
		encoded, _ := proto.Marshal(response)
		target.sent += len(encoded)
		target.messages++
		fabric.bytes[name] += len(encoded)
		if fabric.lost(target.self, run.self) {
			return
		}
		fabric.clock.After(fabric.oneWay(target.self.Region, run.self.Region), func(time.Time) {
			run.received += len(encoded)
			copied := ResponseMessage(new(Response))
			if err := proto.Unmarshal(encoded, copied); err != nil {
				finish(nil, err)
				return
			}
			finish(copied, nil)
		})
	}
	fabric.clock.After(fabric.oneWay(run.self.Region, target.self.Region), func(time.Time) {
		target.runOrDefer(func() {
			target.received += len(content)
			copied := RequestMessage(new(Request))
			if err := proto.Unmarshal(content, copied); err != nil {
				respond(nil, err)
				return
			}
			handle(target.node, copied, respond)
		})
	})
}

func (transport vmTransport) Exchange(to netip.AddrPort, packet *peer.Packet, timeout time.Duration, done func(*peer.Packet, error)) {
	send(transport.run, "Exchange", to, packet, timeout, func(node *gossip.Node, request *peer.Packet, respond func(*peer.Packet, error)) {
		respond(node.HandleExchange(request))
	}, done)
}

func (transport vmTransport) Push(to netip.AddrPort, packet *peer.Packet, timeout time.Duration, done func(error)) {
	send(transport.run, "Push", to, packet, timeout, func(node *gossip.Node, request *peer.Packet, respond func(*peer.PushResponse, error)) {
		respond(&peer.PushResponse{}, node.HandlePush(request))
	}, func(_ *peer.PushResponse, err error) { done(err) })
}

func (transport vmTransport) IndirectProbe(to netip.AddrPort, request *peer.IndirectProbeRequest, timeout time.Duration, done func(*peer.IndirectProbeResponse, error)) {
	send(transport.run, "IndirectProbe", to, request, timeout, func(node *gossip.Node, request *peer.IndirectProbeRequest, respond func(*peer.IndirectProbeResponse, error)) {
		node.HandleIndirectProbe(request, func(response *peer.IndirectProbeResponse) { respond(response, nil) })
	}, done)
}

func (transport vmTransport) Compare(to netip.AddrPort, request *peer.CompareRequest, timeout time.Duration, done func(*peer.CompareResponse, error)) {
	send(transport.run, "Compare", to, request, timeout, func(node *gossip.Node, request *peer.CompareRequest, respond func(*peer.CompareResponse, error)) {
		respond(node.HandleCompare(request))
	}, done)
}

func (transport vmTransport) Fetch(to netip.AddrPort, request *peer.FetchRequest, timeout time.Duration, done func(*peer.FetchResponse, error)) {
	send(transport.run, "Fetch", to, request, timeout, func(node *gossip.Node, request *peer.FetchRequest, respond func(*peer.FetchResponse, error)) {
		respond(node.HandleFetch(request))
	}, done)
}

// fakeStore is the platform's store, in region 0.
type fakeStore struct {
	fabric      *fabric
	entries     map[string]oleandervane.StoreEntry
	watches     []*fakeWatch
	calls       map[string]int
	unavailable bool
	// stale has earlier entries that reads return instead of the current ones, and lostResponseRate is the share of
	// writes whose response is lost.
	stale            map[string]oleandervane.StoreEntry
	lostResponseRate float64
}

type fakeWatch struct {
	run     *vm
	key     string
	version uint64
	finish  func(oleandervane.StoreEntry, bool, error)
}

func (store *fakeStore) total() int {
	sum := 0
	for _, count := range store.calls {
		sum += count
	}
	return sum
}

func (store *fakeStore) setUnavailable(unavailable bool) {
	store.unavailable = unavailable
	if !unavailable {
		return
	}
	watches := store.watches
	store.watches = nil
	for _, watch := range watches {
		watch.finish(oleandervane.StoreEntry{}, false, oleandervane.ErrStoreUnavailable)
	}
}

func (store *fakeStore) write(key string, version uint64, value []byte) (oleandervane.StoreEntry, error) {
	if store.entries[key].Version != version {
		return oleandervane.StoreEntry{}, oleandervane.ErrVersionConflict
	}
	entry := oleandervane.StoreEntry{Key: key, Value: value, Version: version + 1}
	store.entries[key] = entry
	store.notify()
	return entry, nil
}

func (store *fakeStore) notify() {
	var kept []*fakeWatch
	for _, watch := range store.watches {
		if entry := store.entries[watch.key]; entry.Version != watch.version {
			watch.finish(entry, true, nil)
			continue
		}
		kept = append(kept, watch)
	}
	store.watches = kept
}

// publish writes a revision like the operators' command: chunks first, then the head by compare-and-swap.
func (store *fakeStore) publish(revision uint64, chunks ...[]byte) []byte {
	head := encodeHead(revision, chunks...)
	for _, chunk := range chunks {
		store.entries["config/chunk/"+digestOf(chunk)] = oleandervane.StoreEntry{Value: chunk, Version: 1}
	}
	_, _ = store.write(gossip.HeadKey, store.entries[gossip.HeadKey].Version, head)
	return head
}

// vmStore is the store as accessed by one VM.
type vmStore struct{ run *vm }

// call simulates a call to the store; perform may call respond later or never.
func (vmStore vmStore) call(name string, perform func(respond func(oleandervane.StoreEntry, error)), done func(oleandervane.StoreEntry, error), timeout time.Duration) {
	run, fabric := vmStore.run, vmStore.run.fabric
	store := oleandervane.EntryVM{ID: "store", Region: regionName(0)}
	fabric.store.calls[name]++
	finished := false
	finish := func(entry oleandervane.StoreEntry, err error) {
		if !finished {
			finished = true
			run.runOrDefer(func() { done(entry, err) })
		}
	}
	fabric.clock.After(timeout, func(time.Time) { finish(oleandervane.StoreEntry{}, oleandervane.ErrStoreUnavailable) })
	if fabric.lost(run.self, store) {
		return
	}
	respond := func(entry oleandervane.StoreEntry, err error) {
		if fabric.lost(store, run.self) {
			return
		}
		fabric.clock.After(fabric.oneWay(store.Region, run.self.Region), func(time.Time) { finish(entry, err) })
	}
	fabric.clock.After(fabric.oneWay(run.self.Region, store.Region), func(time.Time) {
		if fabric.store.unavailable {
			respond(oleandervane.StoreEntry{}, oleandervane.ErrStoreUnavailable)
			return
		}
		perform(respond)
	})
}

func (vmStore vmStore) Get(key string, done func(oleandervane.StoreEntry, error)) {
	store := vmStore.run.fabric.store
	vmStore.call("Get", func(respond func(oleandervane.StoreEntry, error)) {
		entry := store.entries[key]
		if stale, found := store.stale[key]; found {
			entry = stale
		}
		respond(entry, nil)
	}, done, 2*time.Second)
}

func (vmStore vmStore) CompareAndSwap(key string, version uint64, value []byte, done func(oleandervane.StoreEntry, error)) {
	fabric := vmStore.run.fabric
	vmStore.call("CompareAndSwap", func(respond func(oleandervane.StoreEntry, error)) {
		entry, err := fabric.store.write(key, version, bytes.Clone(value))
		if fabric.random.Float64() >= fabric.store.lostResponseRate {
			respond(entry, err)
		}
	}, done, 2*time.Second)
}

func (vmStore vmStore) Watch(key string, version uint64, duration time.Duration, done func(oleandervane.StoreEntry, bool, error)) {
	store := vmStore.run.fabric.store
	unchanged := errors.New("unchanged")
	vmStore.call("Watch", func(respond func(oleandervane.StoreEntry, error)) {
		watch := &fakeWatch{run: vmStore.run, key: key, version: version, finish: func(entry oleandervane.StoreEntry, _ bool, err error) { respond(entry, err) }}
		if entry, found := store.stale[key]; found && entry.Version != version {
			respond(entry, nil)
			return
		}
		store.watches = append(store.watches, watch)
		vmStore.run.fabric.clock.After(duration, func(time.Time) {
			for index, other := range store.watches {
				if other == watch {
					store.watches = append(store.watches[:index:index], store.watches[index+1:]...)
					respond(oleandervane.StoreEntry{}, unchanged)
				}
			}
		})
		store.notify()
	}, func(entry oleandervane.StoreEntry, err error) {
		if errors.Is(err, unchanged) {
			done(entry, false, nil)
			return
		}
		done(entry, err == nil, err)
	}, duration+time.Second)
}

// testDecoder decodes heads that consist of a revision number and the digest and size of each chunk.
type testDecoder struct{}

func digestOf(chunk []byte) string { return strconv.FormatUint(xxhash.Sum64(chunk), 16) }

func encodeHead(revision uint64, chunks ...[]byte) []byte {
	head := binary.BigEndian.AppendUint64(nil, revision)
	for _, chunk := range chunks {
		head = binary.BigEndian.AppendUint64(head, xxhash.Sum64(chunk))
		head = binary.BigEndian.AppendUint32(head, uint32(len(chunk)))
	}
	return head
}

func lifetimeOf(head []byte) time.Duration { return time.Duration(xxhash.Sum64(head) >> 1) }

func (testDecoder) DecodeHead(head []byte) (gossip.Head, error) {
	if len(head) < 8 || (len(head)-8)%12 != 0 {
		return gossip.Head{}, fmt.Errorf("head of %d bytes", len(head))
	}
	result := gossip.Head{Revision: oleandervane.Revision(binary.BigEndian.Uint64(head))}
	for rest := head[8:]; len(rest) > 0; rest = rest[12:] {
		result.Chunks = append(result.Chunks, gossip.ChunkReference{
			Digest: strconv.FormatUint(binary.BigEndian.Uint64(rest), 16), Bytes: int(binary.BigEndian.Uint32(rest[8:])),
		})
	}
	return result, nil
}

func (testDecoder) CheckChunk(digest string, content []byte) error {
	if digestOf(content) != digest {
		return errors.New("chunk content does not match its digest")
	}
	return nil
}

func (decoder testDecoder) Decode(head []byte, chunks map[string][]byte) (*oleandervane.Configuration, error) {
	parsed, err := decoder.DecodeHead(head)
	if err != nil || len(chunks) > len(parsed.Chunks) {
		return nil, errors.New("cannot decode the revision")
	}
	// The lifetime is a hash of the head, so that tests detect VMs with different heads of the same number.
	return &oleandervane.Configuration{Revision: parsed.Revision, LookupLifetime: lifetimeOf(head)}, nil
}

// checkAgreement returns an error unless each live VM regards exactly the live VMs as not dead.
func (fabric *fabric) checkAgreement() error {
	live := fabric.live()
	running := map[oleandervane.VMID]oleandervane.Incarnation{}
	for _, run := range live {
		running[run.self.ID] = run.self.Incarnation
	}
	for _, run := range live {
		seen := run.node.Membership().EntryVMs()
		for _, other := range seen {
			if running[other.ID] != other.Incarnation {
				return fmt.Errorf("%s regards dead VM %s (incarnation %d) as %s", run.self.ID, other.ID, other.Incarnation, other.State)
			}
			if other.State == oleandervane.VMSuspect {
				return fmt.Errorf("%s suspects %s", run.self.ID, other.ID)
			}
		}
		if len(seen) != len(live) {
			return fmt.Errorf("%s has %d VMs in its view, but %d are live", run.self.ID, len(seen), len(live))
		}
	}
	return nil
}

// checkInForce returns an error unless all live VMs have the revision in force.
func (fabric *fabric) checkInForce(revision uint64) error {
	for _, run := range fabric.live() {
		configuration := run.node.Configuration()
		if configuration == nil {
			return fmt.Errorf("%s has no revision", run.self.ID)
		}
		if uint64(configuration.Revision) != revision {
			return fmt.Errorf("%s has revision %d instead of %d", run.self.ID, configuration.Revision, revision)
		}
	}
	return nil
}

// waitUntil advances time until the condition holds and returns how long that took, or fails the test after the limit.
func (fabric *fabric) waitUntil(t testing.TB, limit time.Duration, what string, condition func() error) time.Duration {
	t.Helper()
	const step = 50 * time.Millisecond
	var err error
	for passed := time.Duration(0); passed <= limit; passed += step {
		if err = condition(); err == nil {
			return passed
		}
		fabric.clock.Advance(step)
	}
	t.Fatalf("%s: condition does not hold within %v: %v", what, limit, err)
	return 0
}
