package ticket

import (
	"time"

	"oleandervane.example"
)

// mark is the state of a sequence number that is kept after its response was evicted.
type mark uint8

const (
	markUnused mark = iota
	// markUsed means that the request has started. Without a record, its outcome is unknown.
	markUsed
	markAnswered
	markNotRun
)

func markOf(outcome oleandervane.Outcome) mark {
	switch outcome {
	case oleandervane.Answered:
		return markAnswered
	case oleandervane.NotRun:
		return markNotRun
	}
	return markUsed
}

func (mark mark) outcome() oleandervane.Outcome {
	switch mark {
	case markAnswered:
		return oleandervane.Answered
	case markNotRun:
		return oleandervane.NotRun
	}
	return oleandervane.Unknown
}

const (
	marksPerByte = 4
	// segmentMarks is the number of consecutive sequence numbers whose marks are evicted together.
	segmentMarks = 4096
)

// segment contains the marks of consecutive sequence numbers, with two bits each.
type segment [segmentMarks / marksPerByte]byte

func (segment *segment) get(index uint64) mark {
	shift := 2 * (index % marksPerByte)
	return mark(segment[index/marksPerByte] >> shift & 3)
}

func (segment *segment) set(index uint64, mark mark) {
	shift := 2 * (index % marksPerByte)
	cell := &segment[index/marksPerByte]
	*cell = *cell&^(3<<shift) | byte(mark)<<shift
}

// markTable contains the marks of all sequence numbers from floor on. Segments in which no request has started use no
// memory.
type markTable struct {
	segments map[uint64]*segment
	// floor is the lowest sequence number with a mark.
	floor uint64
	// lastExpiries has for each segment the time at which its last ticket expires.
	lastExpiries map[uint64]time.Duration
}

func newMarkTable() markTable {
	return markTable{segments: map[uint64]*segment{}, lastExpiries: map[uint64]time.Duration{}}
}

func (table *markTable) recordIssued(sequence uint64, expiresAfter time.Duration) {
	number := sequence / segmentMarks
	table.lastExpiries[number] = max(table.lastExpiries[number], expiresAfter)
}

func (table *markTable) get(sequence uint64) mark {
	segment := table.segments[sequence/segmentMarks]
	if segment == nil {
		return markUnused
	}
	return segment.get(sequence % segmentMarks)
}

func (table *markTable) set(sequence uint64, mark mark) {
	if sequence < table.floor {
		return
	}
	number := sequence / segmentMarks
	if table.segments[number] == nil {
		table.segments[number] = &segment{}
	}
	table.segments[number].set(sequence%segmentMarks, mark)
}

// evictExpired removes the segments before next whose last ticket expired before the given time.
func (table *markTable) evictExpired(before time.Duration, next uint64) {
	for {
		number := table.floor / segmentMarks
		if number >= next/segmentMarks {
			return
		}
		if table.lastExpiries[number] >= before {
			return
		}
		delete(table.segments, number)
		delete(table.lastExpiries, number)
		table.floor = (number + 1) * segmentMarks
	}
}
