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

// Limits of the values that a VM holds and sends.
const (
	// MaxTopicEntries and maxTopicBytes bound the memory of values; the ones that expire first go first.
	MaxTopicEntries = 4096
	maxTopicBytes   = 4 << 20
	// MaxTopicLife is the longest time until a value expires.
	MaxTopicLife = time.Hour
	// hotTime and hotSends bound how often a new value is sent to a peer without asking what it holds.
	hotTime  = 1500 * time.Millisecond
	hotSends = 1
	// requestValueBytes and responseValueBytes bound the values in one packet.
	requestValueBytes  = 3 << 10
	responseValueBytes = 12 << 10
)

// Scope says how far a value spreads.
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
	// WrittenAt is when the owner wrote the value, by this VM's clock: the time of arrival less the age that came
	// with it. The time on the wire is not added, so a value is older by at most the sum of the delays on its way.
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
	learnedAt time.Time
	sends     int
}

// topics holds small values: the newest version of each (topic, owner) wins.
type topics struct {
	region  oleandervane.Region
	entries map[topicKey]*topicEntry
	byHash  map[uint64]*topicEntry
	// order has all entries by topic, then owner; it is rebuilt after an entry came or went.
	order []*topicEntry
	bytes int
}

func newTopics(region oleandervane.Region) *topics {
	return &topics{region: region, entries: map[topicKey]*topicEntry{}, byHash: map[uint64]*topicEntry{}}
}

// set takes a value if it is newer than the one held.
func (topics *topics) set(key topicKey, value Value, now time.Time) bool {
	if !value.ExpiresAt.After(now) || (key.region != "" && key.region != string(topics.region)) {
		return false
	}
	held, found := topics.entries[key]
	if found && cmp.Or(cmp.Compare(value.version, held.value.version), bytes.Compare(value.Content, held.value.Content)) <= 0 {
		return false
	}
	if found {
		topics.bytes -= len(held.value.Content)
	} else {
		held = &topicEntry{key: key, hash: key.hash()}
		topics.entries[key] = held
		topics.byHash[held.hash] = held
		topics.order = nil
	}
	held.value = value
	held.learnedAt = now
	held.sends = 0
	topics.bytes += len(value.Content)
	topics.bound()
	return true
}

// bound removes the values that expire first while there are too many.
func (topics *topics) bound() {
	for len(topics.entries) > MaxTopicEntries || topics.bytes > maxTopicBytes {
		var first *topicEntry
		for _, held := range topics.entries {
			if first == nil || held.value.ExpiresAt.Before(first.value.ExpiresAt) {
				first = held
			}
		}
		topics.remove(first)
	}
}

func (topics *topics) remove(held *topicEntry) {
	topics.bytes -= len(held.value.Content)
	delete(topics.entries, held.key)
	delete(topics.byHash, held.hash)
	topics.order = nil
}

func (topics *topics) expire(now time.Time) {
	for _, held := range topics.entries {
		if !held.value.ExpiresAt.After(now) {
			topics.remove(held)
		}
	}
}

func (topics *topics) sorted() []*topicEntry {
	if topics.order == nil {
		for _, held := range topics.entries {
			topics.order = append(topics.order, held)
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
	for _, held := range topics.sorted() {
		if held.key.topic == topic && held.value.ExpiresAt.After(now) {
			result = append(result, held.value)
		}
	}
	return result
}

// versions returns what a peer needs to know to send only what is newer.
func (topics *topics) versions(to oleandervane.Region) []*peer.TopicVersion {
	var result []*peer.TopicVersion
	for _, held := range topics.sorted() {
		if held.spreadsTo(to) && len(result) < peer.MaxTopicVersions {
			result = append(result, &peer.TopicVersion{KeyHash: held.hash, Version: held.value.version})
		}
	}
	return result
}

// hot returns new values to send without being asked.
func (topics *topics) hot(to oleandervane.Region, now time.Time) []*peer.TopicValue {
	return topics.take(now, requestValueBytes, func(held *topicEntry) bool {
		if !held.spreadsTo(to) || held.sends >= hotSends || now.Sub(held.learnedAt) > hotTime {
			return false
		}
		held.sends++
		return true
	})
}

// newerThan returns the values of which a peer holds an older version or none.
func (topics *topics) newerThan(versions []*peer.TopicVersion, to oleandervane.Region, now time.Time) []*peer.TopicValue {
	known := make(map[uint64]uint64, len(versions))
	for _, version := range versions {
		known[version.GetKeyHash()] = version.GetVersion()
	}
	return topics.take(now, responseValueBytes, func(held *topicEntry) bool {
		return held.spreadsTo(to) && held.value.version > known[held.hash]
	})
}

func (topics *topics) take(now time.Time, limit int, chosen func(*topicEntry) bool) []*peer.TopicValue {
	var result []*peer.TopicValue
	size := 0
	order := topics.sorted()
	if len(order) == 0 {
		return nil
	}
	// The start differs from second to second, so that a full packet does not always leave out the same values.
	start := int(now.Unix() % int64(len(order)))
	for index := range order {
		held := order[(start+index)%len(order)]
		if size+len(held.value.Content) > limit || len(result) == peer.MaxTopicValues {
			break
		}
		if held.value.ExpiresAt.After(now) && chosen(held) {
			result = append(result, held.wire(now))
			size += len(held.value.Content)
		}
	}
	return result
}

func (held *topicEntry) spreadsTo(region oleandervane.Region) bool {
	return held.key.region == "" || held.key.region == string(region)
}

func (held *topicEntry) wire(now time.Time) *peer.TopicValue {
	return &peer.TopicValue{
		Topic:      held.key.topic,
		Owner:      held.key.owner,
		Region:     held.key.region,
		Version:    held.value.version,
		AgeMillis:  uint32(max(0, now.Sub(held.value.WrittenAt).Milliseconds())),
		LeftMillis: uint32(max(0, held.value.ExpiresAt.Sub(now).Milliseconds())),
		Value:      held.value.Content,
	}
}

// receive merges values of a peer and returns the keys of those that were new.
func (topics *topics) receive(messages []*peer.TopicValue, now time.Time) []topicKey {
	var changed []topicKey
	for _, message := range messages {
		key := topicKey{topic: message.Topic, owner: message.Owner, region: message.Region}
		scope := RegionScope
		if key.region == "" {
			scope = FleetScope
		}
		left := min(MaxTopicLife, time.Duration(message.LeftMillis)*time.Millisecond)
		value := Value{
			Topic:     message.Topic,
			Owner:     message.Owner,
			Scope:     scope,
			WrittenAt: now.Add(-time.Duration(message.AgeMillis) * time.Millisecond),
			ExpiresAt: now.Add(left),
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
func (topics *topics) publish(topic, owner string, scope Scope, content []byte, life time.Duration, now time.Time) topicKey {
	key := topicKey{topic: topic, owner: owner}
	if scope == RegionScope {
		key.region = string(topics.region)
	}
	// A version from the clock lets an owner that restarted without memory replace its own earlier values.
	version := uint64(max(0, now.UnixMilli()))
	if held, found := topics.entries[key]; found {
		version = max(version, held.value.version+1)
	}
	topics.set(key, Value{
		Topic: topic, Owner: owner, Scope: scope, WrittenAt: now, ExpiresAt: now.Add(min(life, MaxTopicLife)),
		Content: content, version: version,
	}, now)
	return key
}
