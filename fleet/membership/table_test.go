package membership

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example"
)

func recordOf(vmID oleandervane.VMID, port uint16, incarnation oleandervane.Incarnation, version uint64, state oleandervane.VMState) Record {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), port)
	return Record{Version: version, VM: oleandervane.EntryVM{
		ID: vmID, Incarnation: incarnation, Region: "huye", FailureDomain: "a", CallerAddress: address, PeerAddress: address, State: state,
	}}
}

// Guards against wrong precedence of records, a dead VM that circulates after other VMs removed it, a replaced VM that
// outlives its replacement at the same address, and digests that depend on the order of changes.
func TestTableMerge(t *testing.T) {
	const alive, suspect, leaving, dead = oleandervane.VMAlive, oleandervane.VMSuspect, oleandervane.VMLeaving, oleandervane.VMDead
	for name, test := range map[string]struct {
		records []Record
		states  map[oleandervane.VMID]oleandervane.VMState
	}{
		"unknown dead VM":                   {[]Record{recordOf("a", 1, 5, 1, dead)}, map[oleandervane.VMID]oleandervane.VMState{}},
		"suspicion of the same version":     {[]Record{recordOf("a", 1, 5, 1, alive), recordOf("a", 1, 5, 1, suspect)}, map[oleandervane.VMID]oleandervane.VMState{"a": suspect}},
		"refuted":                           {[]Record{recordOf("a", 1, 5, 1, dead), recordOf("a", 1, 5, 2, alive), recordOf("a", 1, 5, 1, dead)}, map[oleandervane.VMID]oleandervane.VMState{"a": alive}},
		"leaving wins over suspicion":       {[]Record{recordOf("a", 1, 5, 1, leaving), recordOf("a", 1, 5, 1, suspect)}, map[oleandervane.VMID]oleandervane.VMState{"a": leaving}},
		"later incarnation":                 {[]Record{recordOf("a", 1, 5, 9, alive), recordOf("a", 1, 6, 1, alive), recordOf("a", 1, 5, 10, dead)}, map[oleandervane.VMID]oleandervane.VMState{"a": alive}},
		"replaced at its address":           {[]Record{recordOf("a", 1, 5, 1, alive), recordOf("b", 1, 6, 1, alive)}, map[oleandervane.VMID]oleandervane.VMState{"a": dead, "b": alive}},
		"predecessor reported afterwards":   {[]Record{recordOf("b", 1, 6, 1, alive), recordOf("a", 1, 5, 1, alive)}, map[oleandervane.VMID]oleandervane.VMState{"b": alive}},
		"predecessor refutes its own death": {[]Record{recordOf("a", 1, 5, 1, alive), recordOf("b", 1, 6, 1, alive), recordOf("a", 1, 5, 2, alive)}, map[oleandervane.VMID]oleandervane.VMState{"a": dead, "b": alive}},
	} {
		table := newTable()
		now := time.Unix(0, 0)
		for _, record := range test.records {
			table.merge(record, now)
		}
		states := map[oleandervane.VMID]oleandervane.VMState{}
		digest := uint64(0)
		for vmID, entry := range table.entries {
			states[vmID] = entry.record.VM.State
			digest ^= entry.record.digest()
		}
		assert.DeepEqual(t, states, test.states)
		assert.Equal(t, table.region("huye", now).digest, digest, name)
		table.removeDead(now.Add(deadRetention), deadRetention)
		for vmID := range table.entries {
			assert.Assert(t, states[vmID] != dead, "%s: %s is not removed", name, vmID)
		}
	}
}

// Guards against a choice of delegates, watchers or probers that changes completely when one VM is added or removed.
func TestRankChangesLittle(t *testing.T) {
	var vms []oleandervane.EntryVM
	for index := range 40 {
		vms = append(vms, oleandervane.EntryVM{ID: oleandervane.VMID(string(rune('a'+index%26)) + string(rune('0'+index/26)))})
	}
	before := HighestRanked(vms, "watch", 7, 3)
	for index, vmID := range before {
		assert.Equal(t, Rank(vmID, vms, "watch", 7), index)
	}
	unchanged := 0
	for epoch := range uint64(100) {
		chosen := HighestRanked(vms, "watch", epoch, 2)
		without := HighestRanked(vms[1:], "watch", epoch, 2)
		if chosen[0] == without[0] && chosen[1] == without[1] {
			unchanged++
		}
	}
	assert.Assert(t, unchanged >= 85, "%d of 100 choices are unchanged", unchanged)
}
