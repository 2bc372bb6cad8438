package ratelimit_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/fleet/peer"
	"oleandervane.example/fleet/ratelimit"
	"oleandervane.example/timer"
)

func ExampleBucket() {
	bucket := ratelimit.NewBucket(oleandervane.RateLimit{PerSecond: 2, Burst: 5}).WithFilled(10)
	bucket, taken := bucket.WithTaken(3)
	fmt.Println(taken, bucket.Tokens())
	bucket, taken = bucket.WithFilled(0.25).WithTaken(5)
	fmt.Println(taken, bucket.Tokens())
	fmt.Println(bucket.WithFilled(10).WithLimit(oleandervane.RateLimit{PerSecond: 2, Burst: 1}).Tokens())
	// Output:
	// 3 2
	// 2 0.5
	// 1
}

// pair is an owner that hears of a second VM, which the test plays.
type pair struct {
	manual   *timer.Manual
	self     oleandervane.EntryVM
	vms      []oleandervane.EntryVM
	limiter  *ratelimit.Limiter
	sent     []*peer.TokenMessage
	ignored  []string
	decision ratelimit.Decision
}

func (pair *pair) Self() oleandervane.EntryVM { return pair.self }

func (pair *pair) EntryVMs() []oleandervane.EntryVM { return pair.vms }

func (pair *pair) SendTokens(_ oleandervane.EntryVM, message *peer.TokenMessage) {
	pair.sent = append(pair.sent, message)
}

func (pair *pair) TokenMessageIgnored(reason string) { pair.ignored = append(pair.ignored, reason) }

func (pair *pair) RateDecided(_ oleandervane.OrganisationName, _ oleandervane.RateLimit, decision ratelimit.Decision) {
	pair.decision = decision
}

var organisation = oleandervane.Organisation{Name: "a", RateLimit: oleandervane.RateLimit{PerSecond: 10, Burst: 10}}

// newPair returns a VM and another one, of which the first owns the organisation if isOwner is set.
func newPair(isOwner bool) *pair {
	pair := &pair{manual: timer.NewManual(time.Unix(1000, 0)), vms: []oleandervane.EntryVM{{ID: "vm-0", Incarnation: 1}, {ID: "vm-1", Incarnation: 1}}}
	for _, self := range pair.vms {
		pair.self, pair.sent = self, nil
		pair.limiter = ratelimit.New(ratelimit.Settings{
			TimerService: pair.manual, Membership: pair, Settled: func() bool { return true }, HeardCapacity: func() float64 { return 2 },
			Sender: pair, Observer: pair, Window: window, Overage: overage, Slack: slack,
		})
		pair.limiter.Update(&oleandervane.RouteTable{Revision: 1, Organisations: []oleandervane.Organisation{organisation}})
		pair.limiter.Run()
		pair.manual.Advance(5 * time.Second)
		pair.limiter.Decide("a", func(oleandervane.RateAdmission) {})
		pair.manual.Advance(time.Second)
		if isOwner == (len(pair.sent) == 0) {
			break
		}
	}
	pair.sent, pair.ignored = nil, nil
	return pair
}

// query makes the owner answer a query of the other VM.
func (pair *pair) query(query *peer.TokenQuery) *peer.TokenGrant {
	other := pair.vms[0]
	if other.ID == pair.self.ID {
		other = pair.vms[1]
	}
	pair.limiter.Receive(other.ID, 1, &peer.TokenMessage{Queries: []*peer.TokenQuery{query}})
	return pair.sent[len(pair.sent)-1].GetGrants()[0]
}

func newQuery(sequence uint64, waiting uint32) *peer.TokenQuery {
	return &peer.TokenQuery{Organisation: xxhash.Sum64String("a"), Sequence: sequence, Waiting: waiting, Revision: 1, Rate: 10, Burst: 10}
}

// Guards against a query that was sent twice and is granted twice, queries of an earlier incarnation, of unknown VMs and without a
// valid limit that are granted, and an older limit that replaces a newer one.
func TestOwnerAnswersQueries(t *testing.T) {
	pair := newPair(true)
	first := pair.query(newQuery(1, 2))
	assert.Equal(t, first.GetTokens(), uint32(2))
	assert.Assert(t, proto.Equal(pair.query(newQuery(1, 2)), first))
	drained := pair.query(newQuery(2, 1000))
	// The bucket is deeper than the burst by 0.3 of the permitted error of 26 requests.
	assert.Assert(t, drained.GetTokens() <= 10+8-2 && drained.GetPauseMillis() > 0 && drained.GetRetryMillis() > 0, "%v", drained)
	assert.Equal(t, pair.query(newQuery(3, 1)).GetTokens(), uint32(0))
	pair.query(newQuery(1, 1))
	invalid := newQuery(4, 1)
	invalid.Rate = -1
	assert.Assert(t, !pair.query(invalid).GetGranted())
	pair.limiter.Receive("vm-9", 1, &peer.TokenMessage{Queries: []*peer.TokenQuery{newQuery(5, 1)}})
	pair.limiter.Receive(pair.vms[0].ID, 0, &peer.TokenMessage{Queries: []*peer.TokenQuery{newQuery(5, 1)}})
	pair.limiter.Receive(pair.vms[1].ID, 0, &peer.TokenMessage{Queries: []*peer.TokenQuery{newQuery(5, 1)}})
	assert.DeepEqual(t, pair.ignored, []string{"sequence", "limit", "sender", "sender", "sender"})
	newer := newQuery(6, 1000)
	newer.Revision, newer.Burst, newer.Rate = 2, 1, 1
	pair.manual.Advance(10 * time.Second)
	assert.Assert(t, pair.query(newer).GetTokens() <= 1+7)
	pair.manual.Advance(5 * time.Second)
	assert.Assert(t, pair.query(newQuery(7, 1000)).GetTokens() <= 5, "an older limit applies again")
	pair.limiter.Update(&oleandervane.RouteTable{Revision: 3})
	assert.Assert(t, pair.query(newQuery(8, 1)).GetUnlimited())
}

// Guards against a request that waits longer than it may, and against tokens of requests that have not run which are lost, or for
// each of which the owner keeps memory.
func TestClientWithoutAnswer(t *testing.T) {
	pair := newPair(false)
	decided := 0
	pair.limiter.Decide("a", func(admission oleandervane.RateAdmission) {
		decided++
		assert.Assert(t, !admission.Admitted && admission.RetryAfter > 0)
	})
	pair.manual.Advance(ratelimit.AnswerTime - time.Millisecond)
	assert.Equal(t, decided, 0)
	assert.Equal(t, len(pair.sent), 2)
	pair.manual.Advance(time.Millisecond)
	assert.Equal(t, decided, 1)
	assert.Equal(t, pair.decision.Source, ratelimit.SourceFallback)

	owner := newPair(true)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range 20_000 {
		admission := owner.limiter.Admit(context.Background(), organisation)
		assert.Assert(t, admission.Admitted)
		admission.Cancel()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	assert.Assert(t, after.HeapAlloc < before.HeapAlloc+200<<10, "%d bytes before, %d after", before.HeapAlloc, after.HeapAlloc)
	for range 10 {
		assert.Assert(t, owner.limiter.Admit(context.Background(), organisation).Admitted)
	}
}

// Guards against tokens that outlive their lease because requests give them back, and against an owner that asks its deputy because of
// them.
func TestLeaseOfTokenGivenBack(t *testing.T) {
	pair := newPair(false)
	pair.limiter.Decide("a", func(oleandervane.RateAdmission) {})
	pair.manual.Advance(5 * time.Millisecond)
	query := pair.sent[len(pair.sent)-1].GetQueries()[0]
	grant := &peer.TokenGrant{Organisation: query.GetOrganisation(), Sequence: query.GetSequence(), Granted: true, Tokens: query.GetWaiting() + 1}
	for _, vm := range pair.vms {
		pair.limiter.Receive(vm.ID, 1, &peer.TokenMessage{Grants: []*peer.TokenGrant{grant}})
	}
	pair.manual.Advance(2900 * time.Millisecond)
	pair.limiter.Admit(context.Background(), organisation).Cancel()
	assert.Equal(t, pair.decision.Source, ratelimit.SourceLease)
	pair.manual.Advance(time.Second)
	pair.limiter.Decide("a", func(oleandervane.RateAdmission) {})
	pair.manual.Advance(ratelimit.AnswerTime)
	assert.Assert(t, pair.decision.Source != ratelimit.SourceLease)

	owner := newPair(true)
	first, second := owner.limiter.Admit(context.Background(), organisation), owner.limiter.Admit(context.Background(), organisation)
	first.Cancel()
	second.Cancel()
	owner.manual.Advance(3500 * time.Millisecond)
	assert.Equal(t, len(owner.sent), 0)
}

// Guards against a VM without others that delays refusals, or that admits requests before the list of VMs has settled.
func TestSingleVM(t *testing.T) {
	pair := newPair(true)
	pair.vms = []oleandervane.EntryVM{pair.self}
	settled := false
	limiter := ratelimit.New(ratelimit.Settings{
		TimerService: pair.manual, Membership: pair, Settled: func() bool { return settled }, HeardCapacity: func() float64 { return 1 },
		Sender: pair, Observer: pair, Window: window, Overage: overage, Slack: slack,
	})
	limiter.Update(&oleandervane.RouteTable{Revision: 1, Organisations: []oleandervane.Organisation{organisation}})
	limiter.Run()
	pair.manual.Advance(5 * time.Second)
	assert.Assert(t, !limiter.Admit(context.Background(), organisation).Admitted)
	settled = true
	pair.manual.Advance(time.Second)
	assert.Assert(t, limiter.Admit(context.Background(), organisation).Admitted)
	assert.Equal(t, len(pair.sent), 0)
}

// Guards against limits at the ends of the range whose tokens or times overflow: a very high one that refuses requests, and a very low one
// whose callers are told to return at once.
func TestExtremeLimits(t *testing.T) {
	pair := newPair(true)
	for i, limit := range []oleandervane.RateLimit{{PerSecond: 1e19, Burst: 1e20}, {PerSecond: 1e308, Burst: 1e308}, {PerSecond: 1e-12}} {
		extreme := oleandervane.Organisation{Name: "a", RateLimit: limit}
		pair.limiter.Update(&oleandervane.RouteTable{Revision: oleandervane.Revision(i + 2), Organisations: []oleandervane.Organisation{extreme}})
		pair.manual.Advance(5 * time.Second)
		for range 100 {
			pair.limiter.Admit(context.Background(), extreme)
		}
		assert.Assert(t, pair.decision.Admitted || pair.decision.RetryAfter >= 5*time.Second, "%v %v", limit, pair.decision)
	}
}

// Guards against a datagram that crashes the process.
func FuzzReceive(f *testing.F) {
	for _, message := range []*peer.TokenMessage{
		{Queries: []*peer.TokenQuery{newQuery(1, 1)}},
		{Grants: []*peer.TokenGrant{{Organisation: newQuery(1, 1).GetOrganisation(), Sequence: 2, Granted: true, Tokens: 3}}},
	} {
		datagram, err := proto.Marshal(message)
		assert.NilError(f, err)
		f.Add(datagram, true)
		f.Add(datagram, false)
	}
	f.Fuzz(func(_ *testing.T, datagram []byte, isOwner bool) {
		message, pair := &peer.TokenMessage{}, newPair(isOwner)
		if proto.Unmarshal(datagram, message) == nil {
			pair.limiter.Receive("vm-0", 1, message)
			pair.limiter.Receive("vm-1", 1, message)
			pair.manual.Advance(time.Second)
		}
	})
}
