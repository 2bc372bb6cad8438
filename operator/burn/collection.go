package burn

import (
	"time"

	"oleandervane.example"
)

// Collection joins buckets of many entry VMs. Adding a bucket again, or an older copy of it, changes nothing, so that
// VMs may pass on each other's buckets. The zero value is empty.
type Collection struct {
	buckets map[Key]Counts
}

// Add joins buckets.
func (collection *Collection) Add(buckets []Bucket) {
	if collection.buckets == nil {
		collection.buckets = map[Key]Counts{}
	}
	for _, bucket := range buckets {
		collection.buckets[bucket.Key] = collection.buckets[bucket.Key].largest(bucket.Counts)
	}
}

// Buckets returns the joined buckets in no order.
func (collection *Collection) Buckets() []Bucket {
	buckets := make([]Bucket, 0, len(collection.buckets))
	for key, counts := range collection.buckets {
		buckets = append(buckets, Bucket{key, counts})
	}
	return buckets
}

// Window returns the counts of a kind in the window that ends now. Windows of up to two hours are made of minutes and
// longer ones of hours; a bucket that the window cuts counts in full.
func (collection *Collection) Window(service oleandervane.ServiceName, kind oleandervane.KindName, now time.Time, window time.Duration) Counts {
	width := minuteWidth
	if window > minuteReach {
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

// minutes returns the counts of a kind by minute.
func (collection *Collection) minutes(service oleandervane.ServiceName, kind oleandervane.KindName) map[int64]Counts {
	minutes := map[int64]Counts{}
	for key, counts := range collection.buckets {
		if key.Service == service && key.Kind == kind && key.width() == minuteWidth {
			minutes[key.StartSeconds] = minutes[key.StartSeconds].plus(counts)
		}
	}
	return minutes
}
