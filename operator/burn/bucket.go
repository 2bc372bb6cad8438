// Package burn counts requests against service-level objectives on entry VMs and reports, from the counters of many entry
// VMs, how fast each service uses its error budget (the burn rate).
//
// Counters are kept in buckets of one minute and of one hour, keyed by VM and incarnation. Every request counts
// in one bucket of each width. A sum uses buckets of one width only, and a bucket that is received twice counts once. Entry
// VMs serve their buckets as a Response at GET /v1/burn.
package burn

import (
	"time"

	"github.com/rotisserie/eris"

	"oleandervane.example"
)

// The widths of buckets and how many of each are retained: minutes for short alert windows, hours for the objective's
// window.
const (
	minuteWidth     = time.Minute
	hourWidth       = time.Hour
	retainedMinutes = 2 * 60
	retainedHours   = 31 * 24
	// maxMinuteWindow is the longest window that is summed from minutes; longer windows are summed from hours.
	maxMinuteWindow = retainedMinutes * minuteWidth
)

// Counts has the number of requests by result. It is immutable.
type Counts struct {
	// Good requests were answered within the latency of the objective, Late requests after it.
	Good    uint64 `json:"good,omitempty"`
	Late    uint64 `json:"late,omitempty"`
	NotRun  uint64 `json:"not_run,omitempty"`
	Unknown uint64 `json:"unknown,omitempty"`
}

// Total returns the number of all requests.
func (counts Counts) Total() uint64 {
	return counts.Good + counts.Bad()
}

// Bad returns the number of requests that use error budget.
func (counts Counts) Bad() uint64 {
	return counts.Late + counts.NotRun + counts.Unknown
}

func (counts Counts) plus(other Counts) Counts {
	return Counts{counts.Good + other.Good, counts.Late + other.Late, counts.NotRun + other.NotRun, counts.Unknown + other.Unknown}
}

// maximum returns the larger of each count. The counts of a bucket only grow, so this is the later of two copies of a
// bucket.
func (counts Counts) maximum(other Counts) Counts {
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

// Bucket has the requests that one incarnation of an entry VM counted in one minute or hour. It is immutable.
type Bucket struct {
	Key
	Counts
}

// Event is a change that may explain a high burn rate, such as a revision that came into force.
type Event struct {
	At   time.Time `json:"at"`
	Text string    `json:"text"`
}

// Response is the body of an entry VM's response to GET /v1/burn.
type Response struct {
	VM          oleandervane.VMID        `json:"vm"`
	Incarnation oleandervane.Incarnation `json:"incarnation"`
	// Since is when this incarnation started counting.
	Since   time.Time `json:"since"`
	Buckets []Bucket  `json:"buckets"`
	Events  []Event   `json:"events"`
	// Uncounted is the number of requests of services and kinds without a counter.
	Uncounted uint64 `json:"uncounted"`
}

// maxBuckets is the maximum number of buckets of one response: 128 series with both widths.
const maxBuckets = maxSeries * (retainedMinutes + retainedHours + 2)

// Validate returns an error for a response that a Recorder cannot produce.
func (response Response) Validate() error {
	if len(response.Buckets) > maxBuckets || len(response.Events) > maxEvents {
		return eris.Errorf("burn of %s: there are too many buckets or events", response.VM)
	}
	for _, bucket := range response.Buckets {
		width := bucket.width()
		if width != minuteWidth && width != hourWidth || bucket.StartSeconds%bucket.WidthSeconds != 0 {
			return eris.Errorf("burn of %s: a bucket of %d s that starts at %d is not a whole minute or hour",
				response.VM, bucket.WidthSeconds, bucket.StartSeconds)
		}
	}
	return nil
}
