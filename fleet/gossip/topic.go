package gossip

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleandervane.example"
	"oleandervane.example/fleet/peer"
)

// Limits of the values that a VM stores and sends.
const (
	// MaxTopicEntries and maxTopicBytes bound the memory of values; the values that expire first are evicted first.
	MaxTopicEntries = 4096
	maxTopicBytes   = 4 << 20
	// MaxTopicLifetime is the longest time until a value expires.
	MaxTopicLifetime = time.Hour
	// newValueTime and newValueSends bound for how long and how often a new value is sent to peers that did not report
	// which version they have.
	newValueTime  = 1500 * time.Millisecond
	newValueSends = 1
	// requestValueBytes and responseValueBytes bound the values in one packet.
	requestValueBytes  = 3 << 10
	responseValueBytes = 12 << 10
)

// Scope is the set of VMs that a value spreads to.
type Scope uint8

// The scopes of a value.
const (
	RegionScope Scope = iota
	FleetScope
)

// Value is the newest known value of a topic and owner. It is immutable; Content must not be changed.
type Value struct {
	Topic string
	Owner string
	Scope Scope
	// WrittenAt is the time at which the owner wrote the value, by this VM's clock: the time of arrival minus the age
	// in the message. Network delays are not added, so a value is older than it seems by at most the sum of the delays
	// on its way.
	WrittenAt time.Time
	ExpiresAt time.Time
	Content   []byte
	version   uint64
}

type topicKey struct {
	topic  string
	owner  string
	region string
}

func (key topicKey) hash() uint64 {
	return xxhash.Sum64String(key.topic + "\x00" + key.owner + "\x00" + key.region)
}

type topicEntry struct {
	key       topicKey
	hash      uint64
	value     Value
	changedAt time.Time
	sends     int
}

// topics stores small values: the newest version of each (topic, owner) wins.
type topics struct {
	region  oleandervane.Region
	entries map[topicKey]*topicEntry
	byHash  map[uint64]*topicEntry
	// order has all entries by topic, then owner; it is rebuilt after an entry was added or removed.
	order []*topicEntry
	bytes int
}

func newTopics(region oleandervane.Region) *topics {
	return &topics{region: region, entries: map[topicKey]*topicEntry{}, byHash: map[uint64]*topicEntry{}}
}

// set stores a value if it is newer than the existing one.
func (topics *topics) set(key topicKey, value Value, now time.Time) bool {
	if !value.ExpiresAt.After(now) || (key.region != "" && key.region != string(topics.region)) {
		return false
	}
	entry, found := topics.entries[key]
	if found && cmp.Or(cmp.Compare(value.version, entry.value.version), bytes.Compare(value.Content, entry.value.Content)) <= 0 {
		return false
	}
	if found {
		topics.bytes -= len(entry.value.Content)
	} else {
		entry = &topicEntry{key: key, hash: key.hash()}
		topics.entries[key] = entry
		topics.byHash[entry.hash] = entry
		topics.order = nil
	}
	entry.value = value
	entry.changedAt = now
	entry.sends = 0
	topics.bytes += len(value.Content)
	topics.evict()
	return true
}

// evict removes the values that expire first while there are too many.
func (topics *topics) evict() {
	for len(topics.entries) > MaxTopicEntries || topics.bytes > maxTopicBytes {
		var first *topicEntry
		for _, entry := range topics.entries {
			if first == nil || entry.value.ExpiresAt.Before(first.value.ExpiresAt) {
				first = entry
			}
		}
		topics.remove(first)
	}
}

func (topics *topics) remove(entry *topicEntry) {
	topics.bytes -= len(entry.value.Content)
	delete(topics.entries, entry.key)
	delete(topics.byHash, entry.hash)
	topics.order = nil
}

func (topics *topics) expire(now time.Time) {
	for _, entry := range topics.entries {
		if !entry.value.ExpiresAt.After(now) {
			topics.remove(entry)
		}
	}
}

func (topics *topics) sorted() []*topicEntry {
	if topics.order == nil {
		for _, entry := range topics.entries {
			topics.order = append(topics.order, entry)
		}
		slices.SortFunc(topics.order, func(a, b *topicEntry) int {
			return cmp.Or(cmp.Compare(a.key.topic, b.key.topic), cmp.Compare(a.key.owner, b.key.owner), cmp.Compare(a.key.region, b.key.region))
		})
	}
	return topics.order
}

// values returns the values of a topic that have not expired.
func (topics *topics) values(topic string, now time.Time) []Value {
	var result []Value
	for _, entry := range topics.sorted() {
		if entry.key.topic == topic && entry.value.ExpiresAt.After(now) {
			result = append(result, entry.value)
		}
	}
	return result
}

// versions returns the versions of all values in the scope of a peer, so that it responds only with newer ones.
func (topics *topics) versions(to oleandervane.Region) []*peer.TopicVersion {
	var result []*peer.TopicVersion
	for _, entry := range topics.sorted() {
		if entry.spreadsTo(to) && len(result) < peer.MaxTopicVersions {
			result = append(result, &peer.TopicVersion{KeyHash: entry.hash, Version: entry.value.version})
		}
	}
	return result
}

// newValues returns values that changed a short time ago, to send to a peer that did not report its versions.
func (topics *topics) newValues(to oleandervane.Region, now time.Time) []*peer.TopicValue {
	return topics.collect(now, requestValueBytes, func(entry *topicEntry) bool {
		if !entry.spreadsTo(to) || entry.sends >= newValueSends || now.Sub(entry.changedAt) > newValueTime {
			return false
		}
		entry.sends++
		return true
	})
}

// newerThan returns the values of which a peer has an older version or none.
func (topics *topics) newerThan(versions []*peer.TopicVersion, to oleandervane.Region, now time.Time) []*peer.TopicValue {
	known := make(map[uint64]uint64, len(versions))
	for _, version := range versions {
		known[version.GetKeyHash()] = version.GetVersion()
	}
	return topics.collect(now, responseValueBytes, func(entry *topicEntry) bool {
		return entry.spreadsTo(to) && entry.value.version > known[entry.hash]
	})
}

func (topics *topics) collect(now time.Time, limit int, include func(*topicEntry) bool) []*peer.TopicValue {
	var result []*peer.TopicValue
	size := 0
	order := topics.sorted()
	if len(order) == 0 {
		return nil
	}
	// The start differs from second to second, so that a full packet does not always leave out the same values.
	start := int(now.Unix() % int64(len(order)))
	for index := range order {
		entry := order[(start+index)%len(order)]
		if size+len(entry.value.Content) > limit || len(result) == peer.MaxTopicValues {
			break
		}
		if entry.value.ExpiresAt.After(now) && include(entry) {
			result = append(result, entry.wire(now))
			size += len(entry.value.Content)
		}
	}
	return result
}

func (topicEntry *topicEntry) spreadsTo(region oleandervane.Region) bool {
	return topicEntry.key.region == "" || topicEntry.key.region == string(region)
}

func (topicEntry *topicEntry) wire(now time.Time) *peer.TopicValue {
	return &peer.TopicValue{
		Topic:      topicEntry.key.topic,
		Owner:      topicEntry.key.owner,
		Region:     topicEntry.key.region,
		Version:    topicEntry.value.version,
		AgeMillis:  uint32(max(0, now.Sub(topicEntry.value.WrittenAt).Milliseconds())),
		LeftMillis: uint32(max(0, topicEntry.value.ExpiresAt.Sub(now).Milliseconds())),
		Value:      topicEntry.value.Content,
	}
}

// merge merges values from a peer and returns the keys of those that changed.
func (topics *topics) merge(messages []*peer.TopicValue, now time.Time) []topicKey {
	var changed []topicKey
	for _, message := range messages {
		key := topicKey{topic: message.Topic, owner: message.Owner, region: message.Region}
		scope := RegionScope
		if key.region == "" {
			scope = FleetScope
		}
		remaining := min(MaxTopicLifetime, time.Duration(message.LeftMillis)*time.Millisecond)
		value := Value{
			Topic:     message.Topic,
			Owner:     message.Owner,
			Scope:     scope,
			WrittenAt: now.Add(-time.Duration(message.AgeMillis) * time.Millisecond),
			ExpiresAt: now.Add(remaining),
			Content:   message.Value,
			version:   message.Version,
		}
		if topics.set(key, value, now) {
			changed = append(changed, key)
		}
	}
	return changed
}

// publish writes a value of this VM or of its region.
func (topics *topics) publish(topic, owner string, scope Scope, content []byte, lifetime time.Duration, now time.Time) topicKey {
	key := topicKey{topic: topic, owner: owner}
	if scope == RegionScope {
		key.region = string(topics.region)
	}
	// A version from the clock lets an owner that restarted without memory replace its own earlier values.
	version := uint64(max(0, now.UnixMilli()))
	if entry, found := topics.entries[key]; found {
		version = max(version, entry.value.version+1)
	}
	topics.set(key, Value{
		Topic: topic, Owner: owner, Scope: scope, WrittenAt: now, ExpiresAt: now.Add(min(lifetime, MaxTopicLifetime)),
		Content: content, version: version,
	}, now)
	return key
}
