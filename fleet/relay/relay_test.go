package relay_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"oleandervane.example"
	"oleandervane.example/fleet/registrywatch"
	"oleandervane.example/fleet/relay"
	"oleandervane.example/standin/storestandin"
	"oleandervane.example/timer"
)

// vm is one VM of a failure domain: it watches the store or follows a delegate.
type vm struct {
	self      oleandervane.EntryVM
	domain    *domain
	changeLog *relay.ChangeLog
	follower  *relay.Follower
	// link is the VM's own connection to the store.
	link *storeLink
	// silent is set if other VMs receive no notices of this VM and calls to it fail, callsFail if only calls to it fail.
	silent, callsFail atomic.Bool
	// unlisted is set if this VM receives no notices, because the others have dropped it from their lists.
	unlisted atomic.Bool

	// interrupts is set if failed lease renewals interrupt the watch.
	interrupts atomic.Bool
	// caughtUp counts reads of changes from other VMs in place of the store.
	caughtUp atomic.Int64

	mutex  sync.Mutex
	values map[string]string
}

// storeLink is a connection to the store that counts calls and can be cut.
type storeLink struct {
	*storestandin.Store
	cut   atomic.Bool
	calls atomic.Int64
	// refusing makes calls fail at once.
	refusing atomic.Bool
}

func (storeLink *storeLink) List(ctx context.Context, prefix string) ([]oleandervane.StoreEntry, oleandervane.StoreRevision, error) {
	storeLink.calls.Add(1)
	if storeLink.cut.Load() {
		<-ctx.Done()
	}
	if storeLink.cut.Load() || storeLink.refusing.Load() {
		return nil, oleandervane.StoreRevision{}, oleandervane.ErrStoreUnavailable
	}
	return storeLink.Store.List(ctx, prefix)
}

func (storeLink *storeLink) WatchPrefix(ctx context.Context, prefix string, after oleandervane.StoreRevision, wait time.Duration) (oleandervane.StoreChanges, error) {
	storeLink.calls.Add(1)
	if storeLink.refusing.Load() {
		return oleandervane.StoreChanges{}, oleandervane.ErrStoreUnavailable
	}
	storeChanges, err := storeLink.Store.WatchPrefix(ctx, prefix, after, wait)
	if storeLink.cut.Load() {
		// Calls over a cut connection get neither a response nor an error.
		<-ctx.Done()
		return oleandervane.StoreChanges{}, ctx.Err()
	}
	return storeChanges, err
}

func (vm *vm) InContact() bool                           { return !vm.link.cut.Load() && !vm.link.refusing.Load() }
func (vm *vm) Self() oleandervane.EntryVM                { return vm.self }
func (vm *vm) EntryVMs() []oleandervane.EntryVM          { return vm.domain.list }
func (vm *vm) StoreUnavailable(error)                    {}
func (vm *vm) StoreRecovered(time.Duration)              {}
func (vm *vm) SourceChanged(bool)                        {}
func (vm *vm) CaughtUp(oleandervane.StoreRevision, bool) { vm.caughtUp.Add(1) }
func (vm *vm) StoreRevision() (oleandervane.StoreRevision, bool) {
	return vm.changeLog.StoreRevision()
}

func (vm *vm) Read(after oleandervane.StoreRevision) ([]oleandervane.StoreChange, bool, oleandervane.StoreRevision) {
	return vm.changeLog.Read(after)
}

func (vm *vm) Replace(entries []oleandervane.StoreEntry, revision oleandervane.StoreRevision) {
	vm.changeLog.Replace(entries, revision)
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	vm.values = map[string]string{}
	for _, entry := range entries {
		vm.values[entry.Key] = string(entry.Value)
	}
}

func (vm *vm) Apply(storeChanges oleandervane.StoreChanges) {
	vm.changeLog.Apply(storeChanges)
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	for _, change := range storeChanges.Changes {
		if change.Removed {
			delete(vm.values, change.Entry.Key)
			continue
		}
		vm.values[change.Entry.Key] = string(change.Entry.Value)
	}
}

func (vm *vm) has(key, value string) func(poll.LogT) poll.Result {
	return func(poll.LogT) poll.Result {
		vm.mutex.Lock()
		defer vm.mutex.Unlock()
		if vm.values[key] == value {
			return poll.Success()
		}
		return poll.Continue("%s: %s is %q, not %q", vm.self.ID, key, vm.values[key], value)
	}
}

// handlerOf returns the handler of a VM for its followers, which fails while the VM is silent or fails calls.
func handlerOf(vm *vm) http.Handler {
	_, handler := relay.NewHandler(vm, nil)
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if vm.silent.Load() || vm.callsFail.Load() {
			http.Error(writer, "the VM does not respond", http.StatusServiceUnavailable)
			return
		}
		handler.ServeHTTP(writer, request)
	})
}

// domain is a failure domain, or several, with its VMs and the store.
type domain struct {
	store *storestandin.Store
	list  []oleandervane.EntryVM
	vms   []*vm
}

// notices implements relay.Notices for a VM as if each VM had just sent one.
type notices struct{ receiver *vm }

func (notices notices) StoreRevision(id oleandervane.VMID, _ time.Duration) (oleandervane.StoreRevision, bool) {
	for _, vm := range notices.receiver.domain.vms {
		if vm.self.ID == id && !vm.silent.Load() && !notices.receiver.unlisted.Load() {
			return vm.changeLog.StoreRevision()
		}
	}
	return oleandervane.StoreRevision{}, false
}

func (notices notices) VMsAhead(revision oleandervane.StoreRevision, maxAge time.Duration) []oleandervane.VMID {
	var ahead []oleandervane.VMID
	for _, vm := range notices.receiver.domain.vms {
		if applied, fresh := notices.StoreRevision(vm.self.ID, maxAge); fresh && applied.Compare(revision) > 0 && vm != notices.receiver {
			ahead = append(ahead, vm.self.ID)
		}
	}
	return ahead
}

func (notices notices) Unheard(time.Duration) []oleandervane.EntryVM {
	var unheard []oleandervane.EntryVM
	for _, vm := range notices.receiver.domain.vms {
		if vm != notices.receiver && (vm.silent.Load() || notices.receiver.unlisted.Load()) {
			unheard = append(unheard, vm.self)
		}
	}
	return unheard
}

func newDomain(t *testing.T, count int) *domain {
	t.Helper()
	return newDomains(t, 1, count, 40*time.Millisecond)
}

func newDomains(t *testing.T, domains, count int, changeLimit time.Duration) *domain {
	t.Helper()
	domain := &domain{store: storestandin.New(timer.System{})}
	for i := range domains * count {
		failureDomain := oleandervane.FailureDomain(fmt.Sprintf("kigali-%d", i%domains))
		vm := &vm{self: oleandervane.EntryVM{ID: oleandervane.VMID(fmt.Sprintf("vm-%d", i)), FailureDomain: failureDomain}, domain: domain, link: &storeLink{Store: domain.store}}
		vm.changeLog = relay.NewChangeLog(vm, vm)
		server := httptest.NewServer(handlerOf(vm))
		t.Cleanup(server.Close)
		vm.self.PeerAddress = netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
		domain.list = append(domain.list, vm.self)
		domain.vms = append(domain.vms, vm)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for _, vm := range domain.vms {
		client := relay.NewClient()
		t.Cleanup(client.Close)
		vm.follower = relay.NewFollower(relay.Settings{TimerService: timer.System{}, Membership: vm, Notices: notices{vm}, Client: client})
		roles := struct {
			*relay.ChangeLog
			*relay.Follower
		}{vm.changeLog, vm.follower}
		watcher := registrywatch.New(vm.link, roles, timer.System{}, vm, changeLimit)
		go watcher.Run(ctx)
		// The lease renewals of a VM without contact fail.
		t.Cleanup(timer.System{}.Every(time.Second, func(time.Time) {
			if vm.interrupts.Load() && !vm.InContact() {
				watcher.Interrupt()
			}
		}))
	}
	return domain
}

func (domain *domain) write(t *testing.T, key, value string) {
	t.Helper()
	_, err := domain.store.Commit(context.Background(), oleandervane.StoreTransaction{Writes: []oleandervane.StoreWrite{{Key: key, Value: []byte(value)}}})
	assert.NilError(t, err)
}

func (domain *domain) waitFor(t *testing.T, key, value string) {
	t.Helper()
	for _, vm := range domain.vms {
		poll.WaitOn(t, vm.has(key, value), poll.WithTimeout(3*time.Second))
	}
}

// divide returns the delegates and the followers.
func (domain *domain) divide() (delegates, followers []*vm) {
	for _, vm := range domain.vms {
		if vm.changeLog.HasFollowers() {
			delegates = append(delegates, vm)
			continue
		}
		followers = append(followers, vm)
	}
	return delegates, followers
}

// Guards against calls to the store that grow with the number of VMs, and against a removal that followers miss.
func TestFollowersDoNotCallTheStore(t *testing.T) {
	domain := newDomain(t, 6)
	domain.write(t, "a", "0")
	domain.waitFor(t, "a", "0")
	_, followers := domain.divide()
	assert.Equal(t, len(followers), 4)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if domain.store.Waiting() == 2 {
			return poll.Success()
		}
		return poll.Continue("%d watches wait", domain.store.Waiting())
	}, poll.WithTimeout(5*time.Second))
	before := calls(followers)
	for i := range 10 {
		domain.write(t, "a", fmt.Sprint(i+1))
		domain.waitFor(t, "a", fmt.Sprint(i+1))
	}
	_, err := domain.store.Commit(context.Background(), oleandervane.StoreTransaction{Removals: []string{"a"}})
	assert.NilError(t, err)
	domain.waitFor(t, "a", "")
	assert.Equal(t, calls(followers), before)
}

func calls(vms []*vm) int64 {
	sum := int64(0)
	for _, vm := range vms {
		sum += vm.link.calls.Load()
	}
	return sum
}

// Both delegates fail and later return. Guards against followers that miss changes although they can reach the store
// themselves.
func TestFollowersWatchTheStoreWhenDelegatesFail(t *testing.T) {
	domain := newDomain(t, 5)
	domain.write(t, "a", "1")
	domain.waitFor(t, "a", "1")
	delegates, followers := domain.divide()
	for _, vm := range delegates {
		vm.silent.Store(true)
	}
	domain.write(t, "a", "2")
	domain.waitFor(t, "a", "2")
	for _, vm := range delegates {
		vm.silent.Store(false)
	}
	domain.write(t, "a", "3")
	domain.waitFor(t, "a", "3")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		before := calls(followers)
		time.Sleep(300 * time.Millisecond)
		if calls(followers) == before && domain.store.Waiting() == 2 {
			return poll.Success()
		}
		return poll.Continue("followers still call the store")
	}, poll.WithTimeout(8*time.Second))
}

// The connections between the store and both delegates are cut without an error. Guards against followers that rely on
// delegates without contact to the store, and against followers that miss the changes made in the meantime.
func TestFollowersDropDelegatesCutOffFromTheStore(t *testing.T) {
	domain := newDomain(t, 5)
	domain.write(t, "a", "1")
	domain.waitFor(t, "a", "1")
	delegates, followers := domain.divide()
	for _, vm := range delegates {
		vm.link.cut.Store(true)
	}
	domain.write(t, "a", "2")
	for _, vm := range followers {
		poll.WaitOn(t, vm.has("a", "2"), poll.WithTimeout(2*time.Second))
	}
}

// Notices of the delegates arrive, but calls to them fail. Guards against followers that call such delegates forever.
func TestFollowersDropDelegatesThatDoNotAnswer(t *testing.T) {
	domain := newDomain(t, 5)
	domain.write(t, "a", "1")
	domain.waitFor(t, "a", "1")
	delegates, _ := domain.divide()
	for _, vm := range delegates {
		vm.callsFail.Store(true)
	}
	domain.write(t, "a", "2")
	domain.waitFor(t, "a", "2")
}

// newDelegateLog returns the change log of the first of three VMs that is a delegate with a follower. It holds one entry, of revision
// 10.
func newDelegateLog(t *testing.T) *relay.ChangeLog {
	t.Helper()
	domain := &domain{}
	for i := range 3 {
		domain.list = append(domain.list, oleandervane.EntryVM{ID: oleandervane.VMID(fmt.Sprint(i)), FailureDomain: "a"})
	}
	for _, self := range domain.list {
		vm := &vm{self: self, domain: domain, link: &storeLink{}}
		changeLog := relay.NewChangeLog(vm, vm)
		changeLog.Replace([]oleandervane.StoreEntry{{Key: "k", Value: []byte("0"), Version: 10}}, oleandervane.StoreRevision{Number: 10})
		if changeLog.HasFollowers() {
			return changeLog
		}
	}
	t.Fatal("no VM is a delegate")
	return nil
}

func applyChange(changeLog *relay.ChangeLog, key, value string, revision uint64) {
	changeLog.Apply(oleandervane.StoreChanges{Revision: oleandervane.StoreRevision{Number: revision}, Changes: []oleandervane.StoreChange{{
		Entry: oleandervane.StoreEntry{Key: key, Value: []byte(value), Version: revision}, Removed: value == "",
	}}})
}

// Guards against a delegate that returns changes although it has dropped the first of them.
func TestChangeLogIsBounded(t *testing.T) {
	changeLog := newDelegateLog(t)
	for revision := uint64(11); revision <= 3000; revision++ {
		applyChange(changeLog, fmt.Sprint("key-", revision), "v", revision)
	}
	for _, readCase := range []struct {
		after   uint64
		full    bool
		changes int
	}{{0, true, 2991}, {10, true, 2991}, {1975, true, 2991}, {1976, false, 1024}, {2999, false, 1}, {3000, false, 0}, {3001, true, 2991}} {
		changes, full, revision := changeLog.Read(oleandervane.StoreRevision{Number: readCase.after})
		assert.Equal(t, full, readCase.full, "%d", readCase.after)
		assert.Equal(t, len(changes), readCase.changes, "%d", readCase.after)
		assert.Equal(t, revision, oleandervane.StoreRevision{Number: 3000})
	}
	for revision := uint64(3001); revision <= 6000; revision++ {
		applyChange(changeLog, strings.Repeat("k", 4096)+fmt.Sprint(revision%2), "v", revision)
	}
	_, full, _ := changeLog.Read(oleandervane.StoreRevision{Number: 5000})
	assert.Assert(t, full, "a thousand keys of 4 KiB are kept")
}

// Guards against a delegate whose memory fills with former values of a key that changes often.
func TestChangeLogKeepsNoFormerValues(t *testing.T) {
	changeLog := newDelegateLog(t)
	heapAfter := func(first, last uint64) float64 {
		for revision := first; revision <= last; revision++ {
			applyChange(changeLog, "op/config", strings.Repeat("x", 977<<10), revision)
		}
		runtime.GC()
		var memory runtime.MemStats
		runtime.ReadMemStats(&memory)
		return float64(memory.HeapAlloc)
	}
	few := heapAfter(11, 60)
	many := heapAfter(61, 1010)
	assert.Assert(t, many < 1.1*few, "%.1f MB after 50 changes, %.1f MB after 1000", few/1e6, many/1e6)
	changes, full, revision := changeLog.Read(oleandervane.StoreRevision{Number: 10})
	assert.Equal(t, revision, oleandervane.StoreRevision{Number: 1010})
	assert.Assert(t, !full && len(changes) == 1 && changes[0].Entry.Version == 1010, "%d changes", len(changes))
}

// Guards against a follower that misses the newest version of a key, or gets a removed one, wherever its revision is.
func TestFollowersGetTheNewestVersionOfEachKey(t *testing.T) {
	changeLog := newDelegateLog(t)
	random := rand.New(rand.NewPCG(31, 3))
	states := map[uint64]map[string]string{10: {"k": "0"}}
	current := map[string]string{"k": "0"}
	for revision := uint64(11); revision <= 2500; revision++ {
		key, value := fmt.Sprint("key-", random.IntN(40)), fmt.Sprint(revision)
		if random.IntN(4) == 0 {
			value = ""
		}
		applyChange(changeLog, key, value, revision)
		if current[key] = value; value == "" {
			delete(current, key)
		}
		states[revision] = maps.Clone(current)
	}
	for after, state := range states {
		changes, full, _ := changeLog.Read(oleandervane.StoreRevision{Number: after})
		if full {
			state = map[string]string{}
		}
		for _, change := range changes {
			if change.Removed {
				delete(state, change.Entry.Key)
				continue
			}
			state[change.Entry.Key] = string(change.Entry.Value)
		}
		assert.Assert(t, maps.Equal(state, current), "after revision %d", after)
	}
}

// Guards against a delegate that reports contact with the store although its renewals are unanswered, or after a suspension.
func TestContactExpires(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	store := storestandin.New(manual)
	observed := relay.Observe(store, store, manual)
	assert.Assert(t, !observed.InContact())
	lease, err := store.GrantLease(context.Background(), 3*time.Second)
	assert.NilError(t, err)
	assert.NilError(t, observed.RenewLease(context.Background(), lease))
	assert.Assert(t, observed.InContact())
	manual.Advance(1100 * time.Millisecond)
	assert.Assert(t, observed.InContact())
	manual.Advance(200 * time.Millisecond)
	assert.Assert(t, !observed.InContact())
}
