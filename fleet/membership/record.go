package membership

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"oleandervane.example"
	"oleandervane.example/fleet/peer"
)

// Record is one version of the state of an entry VM. It is immutable.
type Record struct {
	VM oleandervane.EntryVM
	// Version increases each time the VM itself changes its state or refutes a record that other VMs spread about it.
	Version uint64
}

// WithState returns a copy in the given state.
func (record Record) WithState(vmState oleandervane.VMState) Record {
	record.VM = record.VM.WithState(vmState)
	return record
}

// NewerThan reports whether the record takes precedence over another record with the same id.
func (record Record) NewerThan(other Record) bool {
	if record.VM.Incarnation != other.VM.Incarnation {
		return record.VM.Incarnation > other.VM.Incarnation
	}
	if record.Version != other.Version {
		return record.Version > other.Version
	}
	return record.VM.State > other.VM.State
}

// Wire returns the record as a message.
func (record Record) Wire() *peer.VMRecord {
	return &peer.VMRecord{
		Id:            string(record.VM.ID),
		Incarnation:   uint64(record.VM.Incarnation),
		Version:       record.Version,
		State:         uint32(record.VM.State),
		Region:        string(record.VM.Region),
		FailureDomain: string(record.VM.FailureDomain),
		CallerAddress: addressBytes(record.VM.CallerAddress),
		PeerAddress:   addressBytes(record.VM.PeerAddress),
	}
}

// RecordFromWire decodes and validates a record.
func RecordFromWire(message *peer.VMRecord) (Record, error) {
	if err := message.Check(); err != nil {
		return Record{}, eris.Wrap(err, "reading a VM record")
	}
	record := Record{
		Version: message.Version,
		VM: oleandervane.EntryVM{
			ID:            oleandervane.VMID(message.Id),
			Incarnation:   oleandervane.Incarnation(message.Incarnation),
			Region:        oleandervane.Region(message.Region),
			FailureDomain: oleandervane.FailureDomain(message.FailureDomain),
			State:         oleandervane.VMState(message.State),
		},
	}
	// Check has already decoded both addresses.
	_ = record.VM.CallerAddress.UnmarshalBinary(message.CallerAddress)
	_ = record.VM.PeerAddress.UnmarshalBinary(message.PeerAddress)
	return record, nil
}

// digest returns the record's part of its region's digest. A suspicion does not count, because only the VM's own region
// spreads it; dead VMs do not count, because VMs remove them at different times.
func (record Record) digest() uint64 {
	state := record.VM.State
	if state == oleandervane.VMDead {
		return 0
	}
	if state == oleandervane.VMSuspect {
		state = oleandervane.VMAlive
	}
	var content [17]byte
	binary.LittleEndian.PutUint64(content[:], uint64(record.VM.Incarnation))
	binary.LittleEndian.PutUint64(content[8:], record.Version)
	content[16] = byte(state)
	return mix(xxhash.Sum64String(string(record.VM.ID)) ^ mix(xxhash.Sum64(content[:])))
}

func addressBytes(address netip.AddrPort) []byte {
	// MarshalBinary of an AddrPort returns no error.
	content, _ := address.MarshalBinary()
	return content
}

// mix is the finalizer of splitmix64; it makes each bit of the result depend on all bits of the hash.
func mix(hash uint64) uint64 {
	hash ^= hash >> 30
	hash *= 0xbf58476d1ce4e5b9
	hash ^= hash >> 27
	hash *= 0x94d049bb133111eb
	return hash ^ hash>>31
}
