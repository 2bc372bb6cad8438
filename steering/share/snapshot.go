package share

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"oleandervane.example"
)

// MaxSnapshotBytes bounds an encoded snapshot. The store accepts values up to 1 MB; 12 services in 11 regions take
// about 10 KB.
const MaxSnapshotBytes = 256 << 10

// Errors of the snapshot format.
var (
	ErrSnapshotTooLarge  = eris.New("the snapshot is larger than its limit")
	ErrSnapshotMalformed = eris.New("the snapshot is malformed")
)

// snapshotVersion is the first byte of an encoded snapshot.
const snapshotVersion = 1

// shareUnits is the number of units in a share of 1. Shares are rounded down, so that a vector never sums to more.
const shareUnits = math.MaxUint16

// Snapshot has the shares that a VM of a region writes to the store for VMs that have none after a start. It is
// immutable.
type Snapshot struct {
	At     time.Time
	Shares map[oleandervane.Flow]oleandervane.ShareVector
	Floors map[oleandervane.Flow]oleandervane.ShareVector
}

// Snapshot returns the shares in force, and false if the steerer has none yet.
func (steerer *Steerer) Snapshot() (Snapshot, bool) {
	published := steerer.PeerShares()
	if published.At.IsZero() {
		return Snapshot{}, false
	}
	return Snapshot{At: published.At, Shares: published.Shares, Floors: published.Floors}, true
}

// Encode returns the snapshot as bytes: the version, the time, a table of names, and for each flow its service,
// home and regions as indices with share and floor in 16 bits. It fails with ErrSnapshotTooLarge.
func (snapshot Snapshot) Encode() ([]byte, error) {
	names := newNameTable(snapshot.Shares)
	encoded := []byte{snapshotVersion}
	encoded = binary.BigEndian.AppendUint64(encoded, uint64(snapshot.At.UnixNano()))
	encoded = binary.AppendUvarint(encoded, uint64(len(names.names)))
	for _, name := range names.names {
		encoded = binary.AppendUvarint(encoded, uint64(len(name)))
		encoded = append(encoded, name...)
	}
	encoded = binary.AppendUvarint(encoded, uint64(len(snapshot.Shares)))
	for _, flow := range sortedFlows(snapshot.Shares) {
		encoded = snapshot.appendFlow(encoded, names, flow)
	}
	if len(encoded) > MaxSnapshotBytes {
		return nil, eris.Wrapf(ErrSnapshotTooLarge, "encoding %d flows", len(snapshot.Shares))
	}
	return encoded, nil
}

func (snapshot Snapshot) appendFlow(encoded []byte, names *nameTable, flow oleandervane.Flow) []byte {
	vector := snapshot.Shares[flow]
	encoded = names.append(encoded, string(flow.Service))
	encoded = names.append(encoded, string(flow.Home))
	encoded = binary.AppendUvarint(encoded, uint64(len(vector)))
	regions := make([]oleandervane.Region, 0, len(vector))
	for region := range vector {
		regions = append(regions, region)
	}
	slices.Sort(regions)
	for _, region := range regions {
		encoded = names.append(encoded, string(region))
		encoded = binary.BigEndian.AppendUint16(encoded, toShareUnits(vector[region]))
		encoded = binary.BigEndian.AppendUint16(encoded, toShareUnits(snapshot.Floors[flow][region]))
	}
	return encoded
}

func toShareUnits(share float64) uint16 {
	return uint16(math.Floor(min(1, positive(share)) * shareUnits))
}

// DecodeSnapshot decodes the result of Encode. It fails with ErrSnapshotMalformed or ErrSnapshotTooLarge, wrapped.
func DecodeSnapshot(encoded []byte) (Snapshot, error) {
	if len(encoded) > MaxSnapshotBytes {
		return Snapshot{}, eris.Wrapf(ErrSnapshotTooLarge, "decoding %d bytes", len(encoded))
	}
	reader := &snapshotReader{rest: encoded}
	if version := reader.byte(); version != snapshotVersion {
		return Snapshot{}, eris.Wrapf(ErrSnapshotMalformed, "decoding version %d", version)
	}
	snapshot := Snapshot{
		At:     time.Unix(0, int64(reader.uint64())).UTC(),
		Shares: map[oleandervane.Flow]oleandervane.ShareVector{},
		Floors: map[oleandervane.Flow]oleandervane.ShareVector{},
	}
	names := reader.names()
	for range reader.count() {
		flow := oleandervane.Flow{Service: oleandervane.ServiceName(reader.name(names)), Home: oleandervane.Region(reader.name(names))}
		snapshot.Shares[flow], snapshot.Floors[flow] = reader.vectors(names)
	}
	if reader.failed || len(reader.rest) > 0 {
		return Snapshot{}, eris.Wrapf(ErrSnapshotMalformed, "decoding %d bytes", len(encoded))
	}
	return snapshot, nil
}

// nameTable assigns an index to each name of a service or region.
type nameTable struct {
	names []string
	index map[string]uint64
}

func newNameTable(shares map[oleandervane.Flow]oleandervane.ShareVector) *nameTable {
	names := &nameTable{index: map[string]uint64{}}
	for _, flow := range sortedFlows(shares) {
		names.add(string(flow.Service))
		names.add(string(flow.Home))
		for region := range shares[flow] {
			names.add(string(region))
		}
	}
	slices.Sort(names.names)
	for i, name := range names.names {
		names.index[name] = uint64(i)
	}
	return names
}

func (names *nameTable) add(name string) {
	if _, known := names.index[name]; known {
		return
	}
	names.index[name] = 0
	names.names = append(names.names, name)
}

func (names *nameTable) append(encoded []byte, name string) []byte {
	return binary.AppendUvarint(encoded, names.index[name])
}

func sortedFlows(shares map[oleandervane.Flow]oleandervane.ShareVector) []oleandervane.Flow {
	flows := make([]oleandervane.Flow, 0, len(shares))
	for flow := range shares {
		flows = append(flows, flow)
	}
	slices.SortFunc(flows, compareFlows)
	return flows
}

// snapshotReader reads an encoded snapshot. After a failure it returns zero values.
type snapshotReader struct {
	rest   []byte
	failed bool
}

func (reader *snapshotReader) read(size int) []byte {
	if reader.failed || size < 0 || size > len(reader.rest) {
		reader.failed = true
		return nil
	}
	content := reader.rest[:size]
	reader.rest = reader.rest[size:]
	return content
}

func (reader *snapshotReader) byte() byte {
	content := reader.read(1)
	if reader.failed {
		return 0
	}
	return content[0]
}

func (reader *snapshotReader) uint64() uint64 {
	content := reader.read(8)
	if reader.failed {
		return 0
	}
	return binary.BigEndian.Uint64(content)
}

func (reader *snapshotReader) share() float64 {
	content := reader.read(2)
	if reader.failed {
		return 0
	}
	return float64(binary.BigEndian.Uint16(content)) / shareUnits
}

func (reader *snapshotReader) uvarint() uint64 {
	value, size := binary.Uvarint(reader.rest)
	if reader.failed || size <= 0 {
		reader.failed = true
		return 0
	}
	reader.rest = reader.rest[size:]
	return value
}

// count reads a number of items. Each item has at least one byte, so a number above that of the remaining bytes is
// malformed.
func (reader *snapshotReader) count() int {
	value := reader.uvarint()
	if value > uint64(len(reader.rest)) {
		reader.failed = true
		return 0
	}
	return int(value)
}

func (reader *snapshotReader) names() []string {
	names := make([]string, reader.count())
	for i := range names {
		names[i] = string(reader.read(reader.count()))
	}
	return names
}

func (reader *snapshotReader) name(names []string) string {
	index := reader.uvarint()
	if index >= uint64(len(names)) {
		reader.failed = true
		return ""
	}
	return names[index]
}

func (reader *snapshotReader) vectors(names []string) (shares, floors oleandervane.ShareVector) {
	shares, floors = oleandervane.ShareVector{}, oleandervane.ShareVector{}
	sum := 0.0
	for range reader.count() {
		region := oleandervane.Region(reader.name(names))
		shares[region] = reader.share()
		floors[region] = min(shares[region], reader.share())
		sum += shares[region]
	}
	if sum > 1+tolerance {
		reader.failed = true
	}
	return shares, floors
}

func compareFlows(a, b oleandervane.Flow) int {
	if a.Service != b.Service {
		if a.Service < b.Service {
			return -1
		}
		return 1
	}
	if a.Home < b.Home {
		return -1
	}
	if a.Home > b.Home {
		return 1
	}
	return 0
}
