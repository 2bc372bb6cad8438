package burn

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"oleandervane.example"
)

// Collection merges the buckets of many entry VMs. Adding a bucket again, or an older copy of it, changes nothing, so that
// VMs may forward each other's buckets. The zero value is empty.
type Collection struct {
	buckets map[Key]Counts
}

// Add merges buckets into the collection.
func (collection *Collection) Add(buckets []Bucket) {
	if collection.buckets == nil {
		collection.buckets = map[Key]Counts{}
	}
	for _, bucket := range buckets {
		collection.buckets[bucket.Key] = collection.buckets[bucket.Key].maximum(bucket.Counts)
	}
}

// Buckets returns the merged buckets in no particular order.
func (collection *Collection) Buckets() []Bucket {
	buckets := make([]Bucket, 0, len(collection.buckets))
	for key, counts := range collection.buckets {
		buckets = append(buckets, Bucket{key, counts})
	}
	return buckets
}

// Trim removes the oldest buckets until at most limit buckets are left, minutes before hours of the same age, and returns
// how many it removed. It limits the memory for the buckets that an entry VM stores for its peers.
func (collection *Collection) Trim(limit int) int {
	excess := len(collection.buckets) - limit
	if excess <= 0 {
		return 0
	}
	keys := slices.SortedFunc(maps.Keys(collection.buckets), func(a, b Key) int {
		return cmp.Or(cmp.Compare(a.StartSeconds, b.StartSeconds), cmp.Compare(a.WidthSeconds, b.WidthSeconds),
			cmp.Compare(a.VM, b.VM), cmp.Compare(a.Incarnation, b.Incarnation),
			cmp.Compare(a.Service, b.Service), cmp.Compare(a.Kind, b.Kind))
	})
	for _, key := range keys[:excess] {
		delete(collection.buckets, key)
	}
	return excess
}

// Window returns the counts of a kind in the window that ends now. Windows of up to two hours are summed from
// minutes, longer windows from hours. A bucket that starts before the window and ends inside it counts in full.
func (collection *Collection) Window(service oleandervane.ServiceName, kind oleandervane.KindName, now time.Time, window time.Duration) Counts {
	width := minuteWidth
	if window > maxMinuteWindow {
		width = hourWidth
	}
	var sum Counts
	for key, counts := range collection.buckets {
		if key.Service == service && key.Kind == kind && key.width() == width && key.start().Add(width).After(now.Add(-window)) {
			sum = sum.plus(counts)
		}
	}
	return sum
}

// minutes returns the counts of a kind by the start of the minute in Unix seconds.
func (collection *Collection) minutes(service oleandervane.ServiceName, kind oleandervane.KindName) map[int64]Counts {
	minutes := map[int64]Counts{}
	for key, counts := range collection.buckets {
		if key.Service == service && key.Kind == kind && key.width() == minuteWidth {
			minutes[key.StartSeconds] = minutes[key.StartSeconds].plus(counts)
		}
	}
	return minutes
}
