// Package burn counts requests against service-level objectives on entry VMs and reports, from the counters of many of
// them, how fast each service uses its error budget.
//
// Counters are kept in buckets of one minute and of one hour, keyed by VM and incarnation. Both widths count every
// request and are never mixed, and a bucket that is received twice counts once. Entry VMs serve theirs as a Response at
// GET /v1/burn.
package burn

import (
	"time"

	"github.com/rotisserie/eris"

	"oleandervane.example"
)

// The widths of buckets and how many are kept: minutes for fast alert windows, hours for the objective's window.
const (
	minuteWidth = time.Minute
	hourWidth   = time.Hour
	keptMinutes = 2 * 60
	keptHours   = 31 * 24
	// minuteReach is the longest window that minutes answer; longer ones take hours.
	minuteReach = keptMinutes * minuteWidth
)

// Counts are requests by what became of them. It is immutable.
type Counts struct {
	// Good were answered within the latency of the objective, Late were answered after it.
	Good    uint64 `json:"good,omitempty"`
	Late    uint64 `json:"late,omitempty"`
	NotRun  uint64 `json:"not_run,omitempty"`
	Unknown uint64 `json:"unknown,omitempty"`
}

// Total returns all requests.
func (counts Counts) Total() uint64 {
	return counts.Good + counts.Bad()
}

// Bad returns the requests that use error budget.
func (counts Counts) Bad() uint64 {
	return counts.Late + counts.NotRun + counts.Unknown
}

func (counts Counts) plus(other Counts) Counts {
	return Counts{counts.Good + other.Good, counts.Late + other.Late, counts.NotRun + other.NotRun, counts.Unknown + other.Unknown}
}

// largest takes the larger of each count: of two copies of a bucket that only grows, the later one.
func (counts Counts) largest(other Counts) Counts {
	return Counts{
		max(counts.Good, other.Good), max(counts.Late, other.Late), max(counts.NotRun, other.NotRun), max(counts.Unknown, other.Unknown),
	}
}

// Key identifies a bucket.
type Key struct {
	VM           oleandervane.VMID        `json:"vm"`
	Incarnation  oleandervane.Incarnation `json:"incarnation"`
	Service      oleandervane.ServiceName `json:"service"`
	Kind         oleandervane.KindName    `json:"kind"`
	StartSeconds int64                    `json:"start_seconds"`
	WidthSeconds int64                    `json:"width_seconds"`
}

func (key Key) start() time.Time {
	return time.Unix(key.StartSeconds, 0).UTC()
}

func (key Key) width() time.Duration {
	return time.Duration(key.WidthSeconds) * time.Second
}

// Bucket is what one incarnation of an entry VM counted in one span of time. It is immutable.
type Bucket struct {
	Key
	Counts
}

// Event is something that burn may coincide with, such as a revision that came into force.
type Event struct {
	At   time.Time `json:"at"`
	Text string    `json:"text"`
}

// Response is what an entry VM answers at GET /v1/burn.
type Response struct {
	VM          oleandervane.VMID        `json:"vm"`
	Incarnation oleandervane.Incarnation `json:"incarnation"`
	// Since is when this incarnation began to count.
	Since   time.Time `json:"since"`
	Buckets []Bucket  `json:"buckets"`
	Events  []Event   `json:"events"`
	// Uncounted are requests of services and kinds without a counter.
	Uncounted uint64 `json:"uncounted"`
}

// maxBuckets bounds the buckets of one response: 128 series with both widths.
const maxBuckets = maxSeries * (keptMinutes + keptHours + 2)

// Valid refuses a response that no recorder gives.
func (response Response) Valid() error {
	if len(response.Buckets) > maxBuckets || len(response.Events) > maxEvents {
		return eris.Errorf("burn of %s: there are too many buckets or events", response.VM)
	}
	for _, bucket := range response.Buckets {
		width := bucket.width()
		if width != minuteWidth && width != hourWidth || bucket.StartSeconds%bucket.WidthSeconds != 0 {
			return eris.Errorf("burn of %s: a bucket of %d s that starts at %d is not one of a minute or an hour",
				response.VM, bucket.WidthSeconds, bucket.StartSeconds)
		}
	}
	return nil
}
