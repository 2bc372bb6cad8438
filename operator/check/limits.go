package check

import (
	"fmt"
	"strconv"
	"time"
)

// Limits is the range of a number, both ends included. It is immutable.
type Limits struct {
	Min, Max float64
}

// Contains reports whether the value is in the range; NaN never is.
func (limits Limits) Contains(value float64) bool {
	return value >= limits.Min && value <= limits.Max
}

// String returns the range in words.
func (limits Limits) String() string {
	return fmt.Sprintf("from %s to %s", number(limits.Min), number(limits.Max))
}

// Span is the range of a duration, both ends included. It is immutable.
type Span struct {
	Min, Max time.Duration
}

// Contains reports whether the duration is in the range.
func (span Span) Contains(duration time.Duration) bool {
	return duration >= span.Min && duration <= span.Max
}

// String returns the range in words.
func (span Span) String() string {
	return fmt.Sprintf("from %s to %s", Duration(span.Min), Duration(span.Max))
}

const day = 24 * time.Hour

// The ranges of settings. They are wide, so that a value outside is a mistake such as a wrong unit.
var (
	SlotsLimits          = Limits{1, 10_000}
	MaxConnectionsLimits = Limits{1, 100_000}
	WeightLimits         = Limits{1, 1_000_000}
	HeadroomLimits       = Limits{0, 0.95}
	ShiftCapLimits       = Limits{0.001, 1}
	RequestBytesLimits   = Limits{1, 1 << 40}
	AvailabilityLimits   = Limits{0.5, 0.999999}
	BytesPerSecondLimits = Limits{1_000, 1e12}
	FactorLimits         = Limits{0.1, 1e6}

	DeadlineSpan    = Span{time.Millisecond, day}
	ServiceTimeSpan = Span{time.Microsecond, day}
	ProbeCostSpan   = Span{0, time.Minute}
	// ShiftWindowSpan starts at 1 s because shares are computed about once a second.
	ShiftWindowSpan     = Span{time.Second, time.Hour}
	LatencySpan         = Span{time.Microsecond, day}
	ObjectiveWindowSpan = Span{time.Hour, 90 * day}
	DelaySpan           = Span{0, 5 * time.Second}
	AlertWindowSpan     = Span{time.Minute, 31 * day}
	// LookupLifetimeSpan ends at one hour because an entry VM that leaves continues to serve for the lifetime.
	LookupLifetimeSpan = Span{time.Second, time.Hour}
)

// Maximum sizes that limit the encoded settings and the tables on entry VMs.
const (
	MaxRegions        = 1_000
	MaxFailureDomains = 10_000
	MaxSites          = 100_000
	MaxServices       = 10_000
	MaxKinds          = 256
	MaxDrains         = 10_000
	MaxAlertRules     = 100
	MaxClientBlocks   = 8_000_000
	maxNameBytes      = 63
)

// IsValidName reports whether the name of a region, service or similar is well formed: lower-case letters, digits,
// "-" and "_", starting with a letter or digit, at most 63 bytes.
func IsValidName(name string) bool {
	if name == "" || len(name) > maxNameBytes || name[0] == '-' || name[0] == '_' {
		return false
	}
	for _, character := range []byte(name) {
		lower := character >= 'a' && character <= 'z'
		digit := character >= '0' && character <= '9'
		if !lower && !digit && character != '-' && character != '_' {
			return false
		}
	}
	return true
}

// Duration formats a duration as operators write it, without units that are zero, such as "10s" or "1h30m".
func Duration(duration time.Duration) string {
	if duration == 0 {
		return "0s"
	}
	text := duration.String()
	if duration%time.Minute == 0 {
		text = text[:len(text)-len("0s")]
	}
	if duration%time.Hour == 0 {
		text = text[:len(text)-len("0m")]
	}
	return text
}

func number(value float64) string {
	return strconv.FormatFloat(value, 'f', -1, 64)
}

// Percent formats a share as a percentage with at most one decimal.
func Percent(share float64) string {
	return strconv.FormatFloat(float64(int64(share*1000+0.5))/10, 'f', -1, 64) + "%"
}
