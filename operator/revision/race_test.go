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

// turnStore makes every call wait for its turn, so that a seed decides the interleaving of several publishers.
type turnStore struct {
	*storestandin.Store
	calls  chan<- turn
	number int
	dead   bool
}

// turn is a call that waits. The scheduler answers how it meets the store.
type turn struct {
	owner *turnStore
	write bool
	fate  chan fate
	done  chan struct{}
}

type fate uint8

const (
	served fate = iota
	answerLost
	requestLost
	died
)

func (turnStore *turnStore) take(write bool, call func()) error {
	if turnStore.dead {
		return oleandervane.ErrStoreUnavailable
	}
	turn := turn{owner: turnStore, write: write, fate: make(chan fate), done: make(chan struct{})}
	turnStore.calls <- turn
	fate := <-turn.fate
	defer close(turn.done)
	turnStore.dead = fate == died
	if fate == served || fate == answerLost {
		call()
	}
	if fate != served {
		return oleandervane.ErrStoreUnavailable
	}
	return nil
}

func (turnStore *turnStore) Get(ctx context.Context, key string) (entry oleandervane.StoreEntry, err error) {
	lost := turnStore.take(false, func() { entry, err = turnStore.Store.Get(ctx, key) })
	return entry, errors.Join(err, lost)
}

func (turnStore *turnStore) CompareAndSwap(ctx context.Context, key string, version uint64, value []byte) (entry oleandervane.StoreEntry, err error) {
	lost := turnStore.take(true, func() { entry, err = turnStore.Store.CompareAndSwap(ctx, key, version, value) })
	if lost != nil {
		return oleandervane.StoreEntry{}, lost
	}
	return entry, err
}

// attemptedChange is what one attempt of a publisher changes.
type attemptedChange struct {
	attempt, file, content string
	// base is the revision that the publisher's copy was taken from.
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
	told          map[string]int
}

// publishers runs the desks, each on a goroutine of its own, one call at a time in the order that the seed gives.
func (interleaving *interleaving) publishers(work []func(store *turnStore) func()) {
	calls, finished := make(chan turn), make(chan func())
	running := 0
	for number, run := range work {
		running++
		go func() { finished <- run(&turnStore{Store: interleaving.store, calls: calls, number: number}) }()
	}
	var waiting []turn
	for running > 0 {
		for len(waiting) < running {
			select {
			case turn := <-calls:
				waiting = append(waiting, turn)
			case record := <-finished:
				running--
				record()
			}
		}
		if running == 0 {
			return
		}
		// Arrival order depends on the machine; the owners are told apart by a stable order.
		slices.SortFunc(waiting, func(a, b turn) int { return a.owner.number - b.owner.number })
		index := interleaving.random.IntN(len(waiting))
		next := waiting[index]
		waiting = slices.Delete(waiting, index, index+1)
		next.fate <- interleaving.fate(next.write)
		<-next.done
	}
}

// fate draws what happens to a call: most are served.
func (interleaving *interleaving) fate(write bool) fate {
	switch draw := interleaving.random.IntN(1000); {
	case draw < 5:
		return died
	case draw < 15:
		return requestLost
	case draw < 75 && write:
		return answerLost
	}
	return served
}

var names = []string{"a.toml", "b.toml", "c.toml"}

// configured returns the configuration that belongs to files: each combination of contents has its own.
func configured(configuration oleandervane.Configuration, files map[string]string) oleandervane.Configuration {
	number := 1
	for index, name := range names {
		value, _ := strconv.Atoi(files[name])
		number += value << (3 * index)
	}
	return withLifetime(configuration, number)
}

// operator changes one file and publishes, up to three times; after a conflict it takes over the files in force.
func (interleaving *interleaving) operator(name string, seed uint64, base map[oleandervane.Revision]map[string]string, heads []revision.Head) func(store *turnStore) func() {
	random := rand.New(rand.NewPCG(seed, interleaving.seed))
	stale := heads[random.IntN(len(heads))]
	file, content := names[random.IntN(len(names))], strconv.Itoa(2+random.IntN(6))
	return func(store *turnStore) func() {
		manual := timer.NewManual(start)
		desk := newDesk(name, store, instant{manual})
		desk.publisher = desk.publisher.WithParallel(1)
		desk.files = maps.Clone(base[stale.Revision])
		desk.base = stale.AsBase()
		result := "gave_up"
		var tried []attemptedChange
		accepted := ""
		for range 3 {
			desk.files[file] = content
			proposal := desk.proposal(configured(interleaving.configuration, desk.files))
			tried = append(tried, attemptedChange{proposal.Attempt, file, content, desk.base.Revision})
			publication, err := desk.publisher.Publish(context.Background(), proposal)
			var conflict *revision.ConflictError
			var undecided *revision.UnknownOutcomeError
			switch {
			case err == nil && !publication.Unchanged:
				result = "accepted"
				accepted = proposal.Attempt
			case err == nil:
				result = "unchanged"
			case errors.As(err, &undecided):
				result = "undecided"
			case errors.As(err, &conflict):
				result = "conflict"
				if desk.takeOver(store) {
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
			interleaving.told[result]++
		}
	}
}

// takeOver makes the desk's copy that of the revision in force. The digest tells the content, as there are few.
func (desk *desk) takeOver(store oleandervane.Store) bool {
	head, _, err := revision.ReadHead(context.Background(), store)
	if err != nil {
		return false
	}
	files, err := revision.ReadFiles(context.Background(), store, head)
	if err != nil {
		return false
	}
	desk.files = contents(files)
	desk.base = head.AsBase()
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

// instant is a timer service on which pauses end at once, so that waiting for an answer takes no turn.
type instant struct{ *timer.Manual }

func (instant instant) After(_ time.Duration, fire func(now time.Time)) (cancel func()) {
	fire(instant.Now())
	return func() {}
}

// run returns how many accepted changes are lost or undone, and what the publishers were told.
func (interleaving *interleaving) run(t *testing.T) (lost int) {
	t.Helper()
	configuration := interleaving.configuration
	first := newDesk("first", interleaving.store, timer.NewManual(start))
	base := map[oleandervane.Revision]map[string]string{}
	var heads []revision.Head
	for round := range 2 + interleaving.random.IntN(2) {
		first.files["a.toml"] = strconv.Itoa(round + 1)
		publication, err := first.publish(t, configured(configuration, first.files))
		assert.NilError(t, err)
		heads = append(heads, publication.Head)
		base[publication.Head.Revision] = maps.Clone(first.files)
	}
	var work []func(store *turnStore) func()
	for number := range 2 + interleaving.random.IntN(3) {
		work = append(work, interleaving.operator(fmt.Sprintf("desk-%d", number), uint64(number), base, heads))
	}
	work = append(work, func(store *turnStore) func() {
		publisher := revision.NewPublisher(store, instant{timer.NewManual(start.Add(time.Hour))}).WithParallel(1)
		_, _ = publisher.Collect(context.Background(), 0)
		return func() {}
	})
	interleaving.publishers(work)
	return interleaving.lost(t)
}

// lost counts accepted changes that are neither in force nor replaced by someone whose base included them.
func (interleaving *interleaving) lost(t *testing.T) int {
	ctx := context.Background()
	head, _, err := revision.ReadHead(ctx, interleaving.store)
	assert.NilError(t, err)
	files, err := revision.ReadFiles(ctx, interleaving.store, head)
	assert.NilError(t, err)
	inForce := contents(files)
	loaded, err := revision.Load(ctx, interleaving.store, head, nil)
	assert.NilError(t, err, "the revision in force must be whole")
	assert.Equal(t, loaded.LookupLifetime, configured(interleaving.configuration, inForce).LookupLifetime, "files and configuration differ")
	history, err := revision.ReadHistory(ctx, interleaving.store)
	assert.NilError(t, err)
	landed := map[string]oleandervane.Revision{}
	for _, entry := range history.Entries {
		landed[entry.Attempt] = entry.Revision
	}
	lost := 0
	for _, change := range interleaving.tried {
		if !interleaving.accepted[change.attempt] {
			continue
		}
		at, kept := landed[change.attempt]
		kept = kept && (inForce[change.file] == change.content || interleaving.replaced(change, at, landed))
		if !kept {
			lost++
			t.Logf("seed %d: %+v is lost; in force: %v", interleaving.seed, change, inForce)
		}
	}
	return lost
}

// replaced says whether someone whose copy included a change has changed the same file since.
func (interleaving *interleaving) replaced(change attemptedChange, at oleandervane.Revision, landed map[string]oleandervane.Revision) bool {
	return slices.ContainsFunc(interleaving.tried, func(other attemptedChange) bool {
		return other.file == change.file && landed[other.attempt] > at && other.base >= at
	})
}

// interleavings is the number of seeded races; the target is none lost in at least 500.
const interleavings = 600

// Guards against a publish that is reported as accepted and is lost, or that undoes another one, under any order of the
// store calls of two to four publishers and a collector, with lost requests and answers, deaths and stale copies.
func TestFigureRaces(t *testing.T) {
	told, lost := map[string]int{}, 0
	configuration := association(t)
	for seed := range uint64(interleavings) {
		interleaving := &interleaving{
			seed: seed, random: rand.New(rand.NewPCG(seed, 7)), store: storestandin.New(timer.NewManual(start)),
			configuration: configuration, told: told, accepted: map[string]bool{},
		}
		lost += interleaving.run(t)
	}
	t.Logf("told: %v", told)
	assert.Assert(t, told["accepted"] > interleavings/2 && told["conflict"] > 0, "the races must reach both ends: %v", told)
	figure.Require(t, figure.Figure{Name: "operator_lost_publishes", Value: float64(lost), Unit: "publishes", Bound: 0})
	figure.Require(t, figure.Figure{Name: "operator_publish_races", Value: interleavings, Unit: "races", Direction: figure.AtLeast, Bound: 500})
}
