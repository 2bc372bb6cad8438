package forward

import (
	"encoding/binary"
	"time"
)

const (
	// answeredPeriod is how long an answer shows that the content of a request does not crash servers. It ends soon, because a
	// content may begin to crash servers when their software or data changes.
	answeredPeriod = 10 * time.Second
	// answeredSlots is the size of the table, 40 bytes each. A VM answers fewer contents in answeredPeriod, or forgets some earlier.
	answeredSlots = 1024
)

// answeredTable has contents that servers answered recently. A newer one replaces another one in the same slot.
type answeredTable [answeredSlots]struct {
	content Fingerprint
	at      time.Time
}

func (answeredTable *answeredTable) add(content Fingerprint, now time.Time) {
	slot := &answeredTable[slotOf(content)]
	slot.content, slot.at = content, now
}

// contains reports whether the content was answered in the last answeredPeriod.
func (answeredTable *answeredTable) contains(content Fingerprint, now time.Time) bool {
	slot := &answeredTable[slotOf(content)]
	return slot.content == content && !slot.at.IsZero() && now.Sub(slot.at) < answeredPeriod
}

func slotOf(content Fingerprint) uint32 {
	return binary.LittleEndian.Uint32(content[:]) % answeredSlots
}
