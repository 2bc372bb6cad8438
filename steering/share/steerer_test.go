package share

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"oleandervane.example"
	"oleandervane.example/timer"
)

// fakeInputs provides fixed inputs to a steerer.
type fakeInputs struct {
	summaries []oleandervane.RegionSummary
	grants    []oleandervane.Grant
	peers     []PeerShares
	snapshot  *Snapshot
	lost      map[oleandervane.Region]bool
}

func (inputs *fakeInputs) Configuration() *oleandervane.Configuration { return configuration() }
func (inputs *fakeInputs) Summaries() []oleandervane.RegionSummary    { return inputs.summaries }
func (inputs *fakeInputs) Grants() []oleandervane.Grant               { return inputs.grants }
func (inputs *fakeInputs) LostRegions() map[oleandervane.Region]bool  { return inputs.lost }
func (inputs *fakeInputs) Peers() []PeerShares                        { return inputs.peers }
func (inputs *fakeInputs) HomePart() float64                          { return 1 }
func (inputs *fakeInputs) Snapshot() (Snapshot, bool) {
	if inputs.snapshot == nil {
		return Snapshot{}, false
	}
	return *inputs.snapshot, true
}

var flow = oleandervane.Flow{Service: "ledger", Home: "kigali"}

func startSteerer(inputs *fakeInputs) (*Steerer, *timer.Manual) {
	manual := timer.NewManual(start)
	steerer := NewSteerer(oleandervane.EntryVM{ID: "kigali-000", Region: "kigali"}, inputs, NewPolicy(nil))
	steerer.Run(manual)
	return steerer, manual
}

func shares(home, away float64) map[oleandervane.Flow]oleandervane.ShareVector {
	return map[oleandervane.Flow]oleandervane.ShareVector{flow: {"kigali": home, "huye": away}}
}

// Guards against a VM without shares that makes its own decisions before it has restored shares, or restores them from
// the wrong source.
func TestRestoreShares(t *testing.T) {
	for name, test := range map[string]struct {
		inputs  fakeInputs
		seconds int
		away    float64
	}{
		"peer of the region": {fakeInputs{peers: []PeerShares{
			{VM: "huye-000", Region: "huye", At: start.Add(2 * time.Second), Shares: shares(0.9, 0.1)},
			{VM: "kigali-001", Region: "kigali", At: start, Shares: shares(0.7, 0.3)},
		}}, 1, 0.3},
		"snapshot": {fakeInputs{snapshot: &Snapshot{At: start, Shares: shares(0.6, 0.4)}}, 4, 0.4},
		"other region, since the snapshot is old": {fakeInputs{
			snapshot: &Snapshot{At: start.Add(-time.Hour), Shares: shares(0.6, 0.4)},
			peers:    []PeerShares{{VM: "huye-000", Region: "huye", At: start, Shares: shares(0.9, 0.1)}},
		}, 4, 0.1},
		"nothing":      {fakeInputs{}, 9, 0},
		"peer too old": {fakeInputs{peers: []PeerShares{{VM: "kigali-001", Region: "kigali", At: start.Add(-time.Minute), Shares: shares(0.7, 0.3)}}}, 9, 0},
	} {
		t.Run(name, func(t *testing.T) {
			test.inputs.grants = []oleandervane.Grant{{Service: "ledger", From: "kigali", To: "huye", PerSecond: 50, ExpiresAt: start.Add(time.Hour)}}
			steerer, manual := startSteerer(&test.inputs)
			manual.Advance(time.Duration(test.seconds-1) * time.Second)
			assert.Assert(t, !steerer.Restored())
			region, err := steerer.ChooseRegion("ledger", "kigali", 0.99)
			assert.NilError(t, err)
			assert.Equal(t, region, oleandervane.Region("kigali"))
			manual.Advance(time.Second)
			assert.Assert(t, steerer.Restored())
			assert.Equal(t, steerer.PeerShares().Shares[flow]["huye"], test.away)
		})
	}
}

// Guards against shares that change while measurements are missing (invariant I4): the last decision stays in force
// until its grants expire, and then shares return home within the cap.
func TestLastDecisionStandsWithoutFigures(t *testing.T) {
	inputs := &fakeInputs{
		peers:  []PeerShares{{VM: "kigali-001", Region: "kigali", At: start, Shares: shares(0.7, 0.3)}},
		grants: []oleandervane.Grant{{Service: "ledger", From: "kigali", To: "huye", PerSecond: 50, ExpiresAt: start.Add(time.Minute)}},
	}
	steerer, manual := startSteerer(inputs)
	manual.Advance(59 * time.Second)
	assert.Equal(t, steerer.PeerShares().Shares[flow]["huye"], 0.3)
	assert.Equal(t, steerer.PeerShares().Shares[flow]["kigali"], 0.7)
	manual.Advance(2 * time.Second)
	vector := steerer.PeerShares().Shares[flow]
	assert.Equal(t, vector["huye"], 0.0)
	assert.Assert(t, vector["kigali"] <= 0.75+tolerance, "the home share returns faster than the cap: %v", vector)
	_, err := steerer.ChooseRegion("ledger", "kigali", 0.9)
	assert.Assert(t, errors.Is(err, oleandervane.ErrNoRegion))
}

// Guards against shedding heavier kinds before lighter ones.
func TestPointByWeight(t *testing.T) {
	service := oleandervane.Service{Kinds: map[oleandervane.KindName]oleandervane.Kind{"filing": {Weight: 9}, "lookup": {Weight: 5}, "bulk": {Weight: 1}}}
	mix := map[oleandervane.KindName]float64{"filing": 0.2, "lookup": 0.5, "bulk": 0.3}
	assert.Equal(t, PointByWeight(service, mix, "filing", 0.5), 0.1)
	assert.Equal(t, PointByWeight(service, mix, "lookup", 0), 0.2)
	assert.Assert(t, PointByWeight(service, mix, "bulk", 0) >= 0.7)
	assert.Assert(t, PointByWeight(service, mix, "bulk", 0.999999999999) < 1)
}

// Guards against a snapshot that decodes to larger shares than were written, and against a reader that accepts damaged
// bytes or reads out of bounds.
func TestSnapshotRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snapshot := Snapshot{At: start, Shares: map[oleandervane.Flow]oleandervane.ShareVector{}, Floors: map[oleandervane.Flow]oleandervane.ShareVector{}}
		for _, home := range regionNames {
			home := oleandervane.Flow{Service: "ledger", Home: home}
			first := rapid.Float64Range(0, 1).Draw(t, "first")
			snapshot.Shares[home] = oleandervane.ShareVector{"huye": first, "kigali": 1 - first}
			snapshot.Floors[home] = oleandervane.ShareVector{"huye": first / 2}
		}
		encoded, err := snapshot.Encode()
		assert.NilError(t, err)
		decoded, err := DecodeSnapshot(encoded)
		assert.NilError(t, err)
		assert.Assert(t, decoded.At.Equal(start))
		for flow, vector := range snapshot.Shares {
			for region, share := range vector {
				assert.Assert(t, decoded.Shares[flow][region] <= share && share-decoded.Shares[flow][region] < 2.0/shareUnits)
				assert.Assert(t, decoded.Floors[flow][region] <= snapshot.Floors[flow][region])
			}
		}
		_, err = DecodeSnapshot(encoded[:rapid.IntRange(0, len(encoded)-1).Draw(t, "cut")])
		assert.Assert(t, errors.Is(err, ErrSnapshotMalformed))
	})
}
