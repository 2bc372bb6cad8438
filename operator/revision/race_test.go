package revision_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/figure"
	"oleandervane.example/operator/revision"
	"oleandervane.example/standin/storestandin"
	"oleandervane.example/timer"
)

// scheduledStore delays every call until the scheduler runs it, so that a seed decides the interleaving of several
// publishers.
type scheduledStore struct {
	*storestandin.Store
	calls  chan<- pendingCall
	number int
	failed bool
}

// pendingCall is a call that waits for the scheduler, which sends its result to the caller.
type pendingCall struct {
	owner      *scheduledStore
	write      bool
	callResult chan callResult
	done       chan struct{}
}

type callResult uint8

const (
	served callResult = iota
	responseLost
	requestLost
	publisherFailed
)

func (scheduledStore *scheduledStore) schedule(write bool, call func()) error {
	if scheduledStore.failed {
		return oleandervane.ErrStoreUnavailable
	}
	pendingCall := pendingCall{owner: scheduledStore, write: write, callResult: make(chan callResult), done: make(chan struct{})}
	scheduledStore.calls <- pendingCall
	callResult := <-pendingCall.callResult
	defer close(pendingCall.done)
	scheduledStore.failed = callResult == publisherFailed
	if callResult == served || callResult == responseLost {
		call()
	}
	if callResult != served {
		return oleandervane.ErrStoreUnavailable
	}
	return nil
}

func (scheduledStore *scheduledStore) Get(ctx context.Context, key string) (entry oleandervane.StoreEntry, err error) {
	lost := scheduledStore.schedule(false, func() { entry, err = scheduledStore.Store.Get(ctx, key) })
	return entry, errors.Join(err, lost)
}

func (scheduledStore *scheduledStore) CompareAndSwap(ctx context.Context, key string, version uint64, value []byte) (entry oleandervane.StoreEntry, err error) {
	lost := scheduledStore.schedule(true, func() { entry, err = scheduledStore.Store.CompareAndSwap(ctx, key, version, value) })
	if lost != nil {
		return oleandervane.StoreEntry{}, lost
	}
	return entry, err
}

// attemptedChange is the file that one attempt of a publisher changes and its new content.
type attemptedChange struct {
	attempt, file, content string
	// base is the revision from which the publisher's copy was taken.
	base oleandervane.Revision
}

// interleaving is one run of several publishers and a collector under a seed.
type interleaving struct {
	seed          uint64
	random        *rand.Rand
	store         *storestandin.Store
	configuration oleandervane.Configuration
	tried         []attemptedChange
	accepted      map[string]bool
	results       map[string]int
}

// publishers runs each function of work in a goroutine, one store call at a time in an order that depends on the seed.
func (interleaving *interleaving) publishers(work []func(store *scheduledStore) func()) {
	calls, finished := make(chan pendingCall), make(chan func())
	running := 0
	for number, run := range work {
		running++
		go func() { finished <- run(&scheduledStore{Store: interleaving.store, calls: calls, number: number}) }()
	}
	var waiting []pendingCall
	for running > 0 {
		for len(waiting) < running {
			select {
			case pendingCall := <-calls:
				waiting = append(waiting, pendingCall)
			case record := <-finished:
				running--
				record()
			}
		}
		if running == 0 {
			return
		}
		// The order of arrival depends on the machine, so the calls are sorted by the number of their owner.
		slices.SortFunc(waiting, func(a, b pendingCall) int { return a.owner.number - b.owner.number })
		index := interleaving.random.IntN(len(waiting))
		next := waiting[index]
		waiting = slices.Delete(waiting, index, index+1)
		next.callResult <- interleaving.callResult(next.write)
		<-next.done
	}
}

// callResult draws the result of a call; most calls are served.
func (interleaving *interleaving) callResult(write bool) callResult {
	switch draw := interleaving.random.IntN(1000); {
	case draw < 5:
		return publisherFailed
	case draw < 15:
		return requestLost
	case draw < 75 && write:
		return responseLost
	}
	return served
}

var names = []string{"a.toml", "b.toml", "c.toml"}

// configured returns the configuration for files; each combination of contents has a different configuration.
func configured(configuration oleandervane.Configuration, files map[string]string) oleandervane.Configuration {
	number := 1
	for index, name := range names {
		value, _ := strconv.Atoi(files[name])
		number += value << (3 * index)
	}
	return withLifetime(configuration, number)
}

// operator returns a function that changes one file and publishes it, up to three times; after a conflict it replaces its
// copy by the files in force.
func (interleaving *interleaving) operator(name string, seed uint64, base map[oleandervane.Revision]map[string]string, heads []revision.Head) func(store *scheduledStore) func() {
	random := rand.New(rand.NewPCG(seed, interleaving.seed))
	stale := heads[random.IntN(len(heads))]
	file, content := names[random.IntN(len(names))], strconv.Itoa(2+random.IntN(6))
	return func(store *scheduledStore) func() {
		manual := timer.NewManual(start)
		editor := newEditor(name, store, immediateTimer{manual})
		editor.publisher = editor.publisher.WithParallel(1)
		editor.files = maps.Clone(base[stale.Revision])
		editor.base = stale.AsBase()
		result := "gave_up"
		var tried []attemptedChange
		accepted := ""
		for range 3 {
			editor.files[file] = content
			proposal := editor.proposal(configured(interleaving.configuration, editor.files))
			tried = append(tried, attemptedChange{proposal.Attempt, file, content, editor.base.Revision})
			publication, err := editor.publisher.Publish(context.Background(), proposal)
			var conflict *revision.ConflictError
			var unknownOutcome *revision.UnknownOutcomeError
			switch {
			case err == nil && !publication.Unchanged:
				result = "accepted"
				accepted = proposal.Attempt
			case err == nil:
				result = "unchanged"
			case errors.As(err, &unknownOutcome):
				result = "undecided"
			case errors.As(err, &conflict):
				result = "conflict"
				if editor.updateToHead(store) {
					continue
				}
			default:
				result = "unreachable"
			}
			break
		}
		return func() {
			interleaving.tried = append(interleaving.tried, tried...)
			interleaving.accepted[accepted] = true
			interleaving.results[result]++
		}
	}
}

// updateToHead replaces the editor's copy by the files in force. There are few contents, so the digest identifies each.
func (editor *editor) updateToHead(store oleandervane.Store) bool {
	head, _, err := revision.ReadHead(context.Background(), store)
	if err != nil {
		return false
	}
	files, err := revision.ReadFiles(context.Background(), store, head)
	if err != nil {
		return false
	}
	editor.files = contents(files)
	editor.base = head.AsBase()
	return true
}

func contents(files []revision.File) map[string]string {
	found := map[string]string{}
	for _, file := range files {
		for number := range 10 {
			if revision.DigestOf([]byte(strconv.Itoa(number))) == file.Digest {
				found[file.Name] = strconv.Itoa(number)
			}
		}
	}
	return found
}

// immediateTimer is a timer service whose timers fire at once, so that a publisher that waits does not block the scheduler.
type immediateTimer struct{ *timer.Manual }

func (immediateTimer immediateTimer) After(_ time.Duration, fire func(now time.Time)) (cancel func()) {
	fire(immediateTimer.Now())
	return func() {}
}

// run returns how many accepted changes are lost or undone, and adds the publishers' results to interleaving.results.
func (interleaving *interleaving) run(t *testing.T) (lost int) {
	t.Helper()
	configuration := interleaving.configuration
	first := newEditor("first", interleaving.store, timer.NewManual(start))
	base := map[oleandervane.Revision]map[string]string{}
	var heads []revision.Head
	for round := range 2 + interleaving.random.IntN(2) {
		first.files["a.toml"] = strconv.Itoa(round + 1)
		publication, err := first.publish(t, configured(configuration, first.files))
		assert.NilError(t, err)
		heads = append(heads, publication.Head)
		base[publication.Head.Revision] = maps.Clone(first.files)
	}
	var work []func(store *scheduledStore) func()
	for number := range 2 + interleaving.random.IntN(3) {
		work = append(work, interleaving.operator(fmt.Sprintf("desk-%d", number), uint64(number), base, heads))
	}
	work = append(work, func(store *scheduledStore) func() {
		publisher := revision.NewPublisher(store, immediateTimer{timer.NewManual(start.Add(time.Hour))}).WithParallel(1)
		_, _ = publisher.Collect(context.Background(), 0)
		return func() {}
	})
	interleaving.publishers(work)
	return interleaving.lost(t)
}

// lost counts accepted changes that are neither in force nor replaced by a publisher whose base included them.
func (interleaving *interleaving) lost(t *testing.T) int {
	ctx := context.Background()
	head, _, err := revision.ReadHead(ctx, interleaving.store)
	assert.NilError(t, err)
	files, err := revision.ReadFiles(ctx, interleaving.store, head)
	assert.NilError(t, err)
	inForce := contents(files)
	loaded, err := revision.Load(ctx, interleaving.store, head, nil)
	assert.NilError(t, err, "the revision in force must be complete")
	assert.Equal(t, loaded.LookupLifetime, configured(interleaving.configuration, inForce).LookupLifetime, "files and configuration differ")
	history, err := revision.ReadHistory(ctx, interleaving.store)
	assert.NilError(t, err)
	acceptedRevisions := map[string]oleandervane.Revision{}
	for _, entry := range history.Entries {
		acceptedRevisions[entry.Attempt] = entry.Revision
	}
	lost := 0
	for _, change := range interleaving.tried {
		if !interleaving.accepted[change.attempt] {
			continue
		}
		at, survived := acceptedRevisions[change.attempt]
		survived = survived && (inForce[change.file] == change.content || interleaving.replaced(change, at, acceptedRevisions))
		if !survived {
			lost++
			t.Logf("seed %d: %+v is lost; in force: %v", interleaving.seed, change, inForce)
		}
	}
	return lost
}

// replaced reports whether a publisher whose copy included a change has changed the same file since.
func (interleaving *interleaving) replaced(change attemptedChange, at oleandervane.Revision, acceptedRevisions map[string]oleandervane.Revision) bool {
	return slices.ContainsFunc(interleaving.tried, func(other attemptedChange) bool {
		return other.file == change.file && acceptedRevisions[other.attempt] > at && other.base >= at
	})
}

// interleavings is the number of seeded races; the target is no lost change in at least 500 races.
const interleavings = 600

// Guards against a publish that is reported as accepted but lost, or that undoes another publish, under any order of the
// store calls of two to four publishers and a collector, with lost requests and responses, failed publishers and stale
// copies.
func TestFigureRaces(t *testing.T) {
	results, lost := map[string]int{}, 0
	configuration := association(t)
	for seed := range uint64(interleavings) {
		interleaving := &interleaving{
			seed: seed, random: rand.New(rand.NewPCG(seed, 7)), store: storestandin.New(timer.NewManual(start)),
			configuration: configuration, results: results, accepted: map[string]bool{},
		}
		lost += interleaving.run(t)
	}
	t.Logf("results: %v", results)
	assert.Assert(t, results["accepted"] > interleavings/2 && results["conflict"] > 0, "the races must include accepted and conflicting publishes: %v", results)
	figure.Require(t, figure.Figure{Name: "operator_lost_publishes", Value: float64(lost), Unit: "publishes", Bound: 0})
	figure.Require(t, figure.Figure{Name: "operator_publish_races", Value: interleavings, Unit: "races", Direction: figure.AtLeast, Bound: 500})
}
