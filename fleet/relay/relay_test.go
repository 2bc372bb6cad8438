package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
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
	self   oleandervane.EntryVM
	domain *domain
	board  *relay.Board
	// path is the VM's own path to the store.
	path *path
	// silent says that others hear no notices of this VM and cannot call it, mute that they cannot call it only.
	silent, mute atomic.Bool

	mutex  sync.Mutex
	values map[string]string
}

// path is a way to the store that can be cut and counts calls.
type path struct {
	*storestandin.Store
	cut   atomic.Bool
	calls atomic.Int64
}

func (path *path) List(ctx context.Context, prefix string) ([]oleandervane.StoreEntry, uint64, error) {
	path.calls.Add(1)
	if path.cut.Load() {
		return nil, 0, oleandervane.ErrStoreUnavailable
	}
	return path.Store.List(ctx, prefix)
}

func (path *path) WatchPrefix(ctx context.Context, prefix string, after uint64, wait time.Duration) (oleandervane.StoreChanges, error) {
	path.calls.Add(1)
	storeChanges, err := path.Store.WatchPrefix(ctx, prefix, after, wait)
	if path.cut.Load() {
		// Nothing comes back over a cut path, and nobody tells.
		<-ctx.Done()
		return oleandervane.StoreChanges{}, ctx.Err()
	}
	return storeChanges, err
}

func (vm *vm) InContact() bool                  { return !vm.path.cut.Load() }
func (vm *vm) Self() oleandervane.EntryVM       { return vm.self }
func (vm *vm) EntryVMs() []oleandervane.EntryVM { return vm.domain.list }
func (vm *vm) Lost(error)                       {}
func (vm *vm) Regained(time.Duration)           {}
func (vm *vm) Following(bool)                   {}
func (vm *vm) Read(after uint64) ([]oleandervane.StoreChange, bool, uint64) {
	return vm.board.Read(after)
}

func (vm *vm) Replace(entries []oleandervane.StoreEntry, revision uint64) {
	vm.board.Replace(entries, revision)
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	vm.values = map[string]string{}
	for _, entry := range entries {
		vm.values[entry.Key] = string(entry.Value)
	}
}

func (vm *vm) Apply(storeChanges oleandervane.StoreChanges) {
	vm.board.Apply(storeChanges)
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

// handlerOf serves followers of a VM until it falls silent.
func handlerOf(vm *vm) http.Handler {
	_, handler := relay.NewHandler(vm)
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if vm.silent.Load() || vm.mute.Load() {
			http.Error(writer, "the VM does not answer", http.StatusServiceUnavailable)
			return
		}
		handler.ServeHTTP(writer, request)
	})
}

// domain is the VMs of a failure domain.
type domain struct {
	store *storestandin.Store
	list  []oleandervane.EntryVM
	vms   []*vm
}

// StoreRevision is what the last notice of a VM says; here notices take no time.
func (domain *domain) StoreRevision(id oleandervane.VMID, _ time.Duration) (uint64, bool) {
	for _, vm := range domain.vms {
		if vm.self.ID == id && !vm.silent.Load() {
			return vm.board.StoreRevision()
		}
	}
	return 0, false
}

func newDomain(t *testing.T, count int) *domain {
	t.Helper()
	domain := &domain{store: storestandin.New(timer.System{})}
	for i := range count {
		vm := &vm{self: oleandervane.EntryVM{ID: oleandervane.VMID(fmt.Sprintf("vm-%d", i)), FailureDomain: "kigali-a"}, domain: domain, path: &path{Store: domain.store}}
		vm.board = relay.NewBoard(vm, vm)
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
		follower := relay.NewFollower(relay.Settings{TimerService: timer.System{}, Membership: vm, Notices: domain, Caller: client})
		roles := struct {
			*relay.Board
			*relay.Follower
		}{vm.board, follower}
		go registrywatch.New(vm.path, roles, timer.System{}, vm, 40*time.Millisecond).Run(ctx)
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

// divide returns the VMs that watch the store for others, and those that follow.
func (domain *domain) divide() (delegates, followers []*vm) {
	for _, vm := range domain.vms {
		if vm.board.Followed() {
			delegates = append(delegates, vm)
			continue
		}
		followers = append(followers, vm)
	}
	return delegates, followers
}

// Guards against calls to the store that grow with VMs, and against a removal that followers miss.
func TestFollowersCostTheStoreNothing(t *testing.T) {
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
		sum += vm.path.calls.Load()
	}
	return sum
}

// Replays the death of both VMs that watch the store for a failure domain, and then their return. Guards against
// followers that hear of nothing while they themselves reach the store.
func TestFollowersOutliveTheirDelegates(t *testing.T) {
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

// Replays a cut between the store and the VMs that watch it for the others, which nobody tells them of. Guards against
// followers that believe delegates without contact, and against followers that miss the changes in between.
func TestFollowersLeaveDelegatesThatAreCutOff(t *testing.T) {
	domain := newDomain(t, 5)
	domain.write(t, "a", "1")
	domain.waitFor(t, "a", "1")
	delegates, followers := domain.divide()
	for _, vm := range delegates {
		vm.path.cut.Store(true)
	}
	domain.write(t, "a", "2")
	for _, vm := range followers {
		poll.WaitOn(t, vm.has("a", "2"), poll.WithTimeout(2*time.Second))
	}
}

// Replays delegates whose notices arrive while calls to them fail. Guards against followers that call them for ever.
func TestFollowersLeaveDelegatesThatDoNotAnswer(t *testing.T) {
	domain := newDomain(t, 5)
	domain.write(t, "a", "1")
	domain.waitFor(t, "a", "1")
	delegates, _ := domain.divide()
	for _, vm := range delegates {
		vm.mute.Store(true)
	}
	domain.write(t, "a", "2")
	domain.waitFor(t, "a", "2")
}

// Guards against a delegate that passes on changes of which it has forgotten the first.
func TestBoardKeepsSomeChanges(t *testing.T) {
	domain := &domain{}
	for i := range 3 {
		domain.list = append(domain.list, oleandervane.EntryVM{ID: oleandervane.VMID(fmt.Sprint(i)), FailureDomain: "a"})
	}
	for _, self := range domain.list {
		vm := &vm{self: self, domain: domain, path: &path{}}
		board := relay.NewBoard(vm, vm)
		board.Replace([]oleandervane.StoreEntry{{Key: "k", Value: []byte("0"), Version: 10}}, 10)
		if !board.Followed() {
			_, fresh := board.StoreRevision()
			assert.Assert(t, !fresh)
			continue
		}
		for revision := uint64(11); revision <= 3000; revision++ {
			board.Apply(oleandervane.StoreChanges{Revision: revision, Changes: []oleandervane.StoreChange{{Entry: oleandervane.StoreEntry{Key: "k", Version: revision}}}})
		}
		for _, readCase := range []struct {
			after   uint64
			whole   bool
			changes int
		}{{0, true, 1}, {10, true, 1}, {1975, true, 1}, {1976, false, 1024}, {2999, false, 1}, {3000, false, 0}, {3001, true, 1}} {
			changes, whole, revision := board.Read(readCase.after)
			assert.Equal(t, whole, readCase.whole, "%d", readCase.after)
			assert.Equal(t, len(changes), readCase.changes, "%d", readCase.after)
			assert.Equal(t, revision, uint64(3000))
		}
	}
}

// Guards against a delegate that vouches for the store although its renewals go unanswered, or after a suspension.
func TestContactEnds(t *testing.T) {
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
