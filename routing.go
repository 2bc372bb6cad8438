package oleandervane

import (
	"slices"
	"time"
)

// RouteKind determines whether requests of a route may run more than once.
type RouteKind uint8

// The kinds of routes. Requests of unsafe and upload routes run at most once; the others may run again.
const (
	RouteSafe RouteKind = iota
	RouteUnsafe
	// RouteDownload is for safe requests with large responses.
	RouteDownload
	// RouteUpload is for unsafe requests with large bodies.
	RouteUpload
)

// String returns the kind in lower case, as written to logs.
func (routeKind RouteKind) String() string {
	switch routeKind {
	case RouteSafe:
		return "safe"
	case RouteUnsafe:
		return "unsafe"
	case RouteDownload:
		return "download"
	case RouteUpload:
		return "upload"
	}
	return "unknown"
}

// Route sends the requests of a host whose path begins with Prefix to services. It is immutable.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Split has the services of the route; a route to one service has one part.
	Split []SplitPart
	// MaxAttempts is the largest number of backend servers that may run one request.
	MaxAttempts int
	// TimeLimit is the longest time until the final response.
	TimeLimit time.Duration
	// Objective is the target latency: the longest time until a response that counts as in time.
	Objective time.Duration
	// Rank orders requests when there is no room for all of them; 0 is the most urgent.
	Rank int
	// Sticky is set if requests have cache affinity: a backend server is faster on an object that it handled recently.
	Sticky bool
	// AllowedRegions are the only regions that may run the requests; empty allows all.
	AllowedRegions []Region
	// Public is set if requests need no key of an organisation.
	Public bool
}

// SplitPart is a service of a route and its weight among the parts.
type SplitPart struct {
	Service ServiceName
	Weight  float64
}

// Idempotent reports whether a request of the route may run more than once.
func (route Route) Idempotent() bool {
	return route.Kind != RouteUnsafe && route.Kind != RouteUpload
}

// Allows reports whether a region may run requests of the route.
func (route Route) Allows(region Region) bool {
	return len(route.AllowedRegions) == 0 || slices.Contains(route.AllowedRegions, region)
}

// RoutedService describes a service that routes refer to. It is immutable.
type RoutedService struct {
	Name           ServiceName
	HealthPath     string
	MaxConnections int
	// SlowStart is how long a backend server stays cold after its start.
	SlowStart time.Duration
	// ColdPerSecond is the number of requests a second that a cold backend server tolerates from all VMs together.
	ColdPerSecond float64
}

// CallerLimits bound what a caller may send and how long it may take. A zero value sets no limit.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// RouteTable is a whole routing configuration. It is immutable.
type RouteTable struct {
	Revision Revision
	Routes   []Route
	Services map[ServiceName]RoutedService
	Limits   CallerLimits
	// Organisations are those whose requests are accepted. RequiresKeys is set if requests of routes that are not public need a key,
	// also when no organisation could be read.
	Organisations []Organisation
	RequiresKeys  bool
	// Faults describe the entries that are not in force, or not as they are written, up to a bound; FaultCount is the number of all.
	Faults     []string
	FaultCount int
}
