package transport_test

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"oleandervane.example"
	"oleandervane.example/figure"
	"oleandervane.example/fleet/gossip"
	"oleandervane.example/fleet/peer"
	"oleandervane.example/fleet/transport"
	"oleandervane.example/timer"
)

// memoryStore is a Store in memory.
type memoryStore struct {
	mutex   sync.Mutex
	changed chan struct{}
	entries map[string]oleandervane.StoreEntry
}

func (store *memoryStore) Get(_ context.Context, key string) (oleandervane.StoreEntry, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	entry := store.entries[key]
	entry.Key = key
	return entry, nil
}

func (store *memoryStore) CompareAndSwap(_ context.Context, key string, version uint64, value []byte) (oleandervane.StoreEntry, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.entries[key].Version != version {
		return oleandervane.StoreEntry{}, oleandervane.ErrVersionConflict
	}
	store.entries[key] = oleandervane.StoreEntry{Key: key, Value: value, Version: version + 1}
	close(store.changed)
	store.changed = make(chan struct{})
	return store.entries[key], nil
}

func (store *memoryStore) Watch(ctx context.Context, key string, version uint64) (oleandervane.StoreEntry, error) {
	for {
		store.mutex.Lock()
		entry, changed := store.entries[key], store.changed
		store.mutex.Unlock()
		if entry.Version != version {
			return entry, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return oleandervane.StoreEntry{}, ctx.Err()
		}
	}
}

// numberDecoder decodes heads that consist of the revision's number only.
type numberDecoder struct{}

func (numberDecoder) DecodeHead(head []byte) (gossip.Head, error) {
	if len(head) != 8 {
		return gossip.Head{}, errors.New("a head has 8 bytes")
	}
	return gossip.Head{Revision: oleandervane.Revision(binary.BigEndian.Uint64(head))}, nil
}

func (numberDecoder) CheckChunk(string, []byte) error { return errors.New("no chunk is named") }

func (decoder numberDecoder) Decode(head []byte, _ map[string][]byte) (*oleandervane.Configuration, error) {
	parsed, err := decoder.DecodeHead(head)
	return &oleandervane.Configuration{Revision: parsed.Revision}, err
}

func freeAddress(t testing.TB) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

func silentLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func startDaemon(t testing.TB, store oleandervane.Store, index int, seeds ...netip.AddrPort) *transport.Daemon {
	address := freeAddress(t)
	daemon, err := transport.Start(gossip.Settings{
		Self: oleandervane.EntryVM{
			ID: oleandervane.VMID(fmt.Sprintf("vm-%d", index)), Incarnation: oleandervane.Incarnation(time.Now().UnixNano()),
			Region: oleandervane.Region([]string{"kigali", "huye"}[index%2]), FailureDomain: "a", CallerAddress: address, PeerAddress: address,
		},
		TimerService: timer.System{},
		Store:        gossip.NewAsynchronousStore(store),
		Decoder:      numberDecoder{},
		Random:       rand.New(rand.NewPCG(1, uint64(index))),
		Seeds:        seeds,
		Log:          silentLog(),
	}, nil, nil, nil)
	assert.NilError(t, err)
	return daemon
}

// Guards against parts that work over the fake transport but not over the network. Covers joining, a revision from the
// store, a value, and a departure among 4 servers on loopback.
func TestDaemonsOnLoopback(t *testing.T) {
	store := &memoryStore{entries: map[string]oleandervane.StoreEntry{}, changed: make(chan struct{})}
	var daemons []*transport.Daemon
	var seeds []netip.AddrPort
	for index := range 4 {
		daemon := startDaemon(t, store, index, seeds...)
		daemons = append(daemons, daemon)
		seeds = []netip.AddrPort{daemons[0].Node.Membership().Self().PeerAddress}
	}
	all := func(met func(node *gossip.Node) bool) {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			for index, daemon := range daemons {
				if !met(daemon.Node) {
					return poll.Continue("VM %d does not meet the condition yet", index)
				}
			}
			return poll.Success()
		}, poll.WithTimeout(time.Minute), poll.WithDelay(20*time.Millisecond))
	}
	all(func(node *gossip.Node) bool { return len(node.Membership().EntryVMs()) == 4 })
	_, err := store.CompareAndSwap(t.Context(), gossip.HeadKey, 0, binary.BigEndian.AppendUint64(nil, 7))
	assert.NilError(t, err)
	all(func(node *gossip.Node) bool { return node.Configuration() != nil && node.Configuration().Revision == 7 })
	daemons[1].Node.Publish("load", gossip.FleetScope, []byte("x"), time.Minute)
	all(func(node *gossip.Node) bool { return len(node.Values("load")) == 1 })
	assert.NilError(t, daemons[3].Stop(t.Context()))
	daemons = daemons[:3]
	all(func(node *gossip.Node) bool { return len(node.Membership().EntryVMs()) == 3 })
	for _, daemon := range daemons {
		assert.NilError(t, daemon.Stop(t.Context()))
	}
}

// Reports the processor time of one Exchange over loopback for both sides together, through the real server and client.
func BenchmarkFigureExchange(b *testing.B) {
	store := &memoryStore{entries: map[string]oleandervane.StoreEntry{}, changed: make(chan struct{})}
	first := startDaemon(b, store, 0)
	second := startDaemon(b, store, 2)
	client := transport.NewClient(nil)
	packet := &peer.Packet{From: second.Node.Membership().SelfRecord().Wire(), To: "vm-0"}
	for index := range 50 {
		packet.TopicVersions = append(packet.TopicVersions, &peer.TopicVersion{KeyHash: uint64(index) << 50, Version: 1 << 40})
	}
	exchange := func() {
		done := make(chan error, 1)
		client.Exchange(first.Node.Membership().Self().PeerAddress, packet, 5*time.Second, func(_ *peer.Packet, err error) { done <- err })
		if err := <-done; err != nil {
			b.Fatal(err)
		}
	}
	exchange()
	b.ReportAllocs()
	var before, after syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &before)
	count := 0
	for b.Loop() {
		exchange()
		count++
	}
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &after)
	used := time.Duration(after.Utime.Nano() + after.Stime.Nano() - before.Utime.Nano() - before.Stime.Nano())
	// A VM takes part in about 2.2 calls a second; a tenth of the budget of 1.3% of a core for the transport allows
	// 590 us for each.
	figure.Report(b, figure.Figure{Name: "fleet_exchange_loopback_cpu", Value: float64(used.Microseconds()) / float64(count), Unit: "us", Bound: 590})
	client.Close()
	_ = first.Stop(context.Background())
	_ = second.Stop(context.Background())
}
