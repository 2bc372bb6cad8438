// Package route finds the route of a request and chooses among the services of a split route.
package route

import (
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"

	"oleandervane.example"
)

// Index finds routes in a route table. It is immutable.
type Index struct {
	table *oleandervane.RouteTable
	// hosts has the routes of each host, longest prefix first.
	hosts map[string][]oleandervane.Route
	// topRanks has the rank of the most urgent routes of each service; a lower rank is more urgent.
	topRanks map[oleandervane.ServiceName]int
}

// NewIndex returns an index of the table.
func NewIndex(table *oleandervane.RouteTable) *Index {
	index := &Index{table: table, hosts: map[string][]oleandervane.Route{}, topRanks: map[oleandervane.ServiceName]int{}}
	for _, route := range table.Routes {
		host := strings.ToLower(route.Host)
		index.hosts[host] = append(index.hosts[host], route)
		for _, part := range route.Split {
			rank, found := index.topRanks[part.Service]
			if !found || route.Rank < rank {
				index.topRanks[part.Service] = route.Rank
			}
		}
	}
	for _, routes := range index.hosts {
		slices.SortStableFunc(routes, func(a, b oleandervane.Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return index
}

// Revision returns the revision of the table.
func (index *Index) Revision() oleandervane.Revision {
	return index.table.Revision
}

// Limits returns the limits of callers in the table.
func (index *Index) Limits() oleandervane.CallerLimits {
	return index.table.Limits
}

// Match returns the route of the host with the longest prefix that the path starts with. It ignores a port in the host.
func (index *Index) Match(host, path string) (oleandervane.Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, route := range index.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return oleandervane.Route{}, false
}

// Urgent reports whether no route of the service has a more urgent rank than the given one.
func (index *Index) Urgent(route oleandervane.Route, serviceName oleandervane.ServiceName) bool {
	return route.Rank <= index.topRanks[serviceName]
}

// goldenRatio is the step of a sequence in [0, 1). The first n members of the sequence divide [0, 1) nearly evenly, for
// every n.
const goldenRatio = 0.6180339887498949

// Splitter distributes the requests of split routes by weight. Unlike independent random choices, it meets the weights
// even for few requests.
type Splitter struct {
	mutex  sync.Mutex
	points map[string]float64
}

// NewSplitter returns a splitter.
func NewSplitter() *Splitter {
	return &Splitter{points: map[string]float64{}}
}

// Choose returns the service for the next request of the route. The sequence of each route starts at a random point, so
// that the VMs do not all start with the same service.
func (splitter *Splitter) Choose(route oleandervane.Route) oleandervane.ServiceName {
	if len(route.Split) == 1 {
		return route.Split[0].Service
	}
	return serviceAt(route.Split, splitter.next(route.Name))
}

func (splitter *Splitter) next(name string) float64 {
	splitter.mutex.Lock()
	defer splitter.mutex.Unlock()
	point, found := splitter.points[name]
	if !found {
		point = rand.Float64()
	}
	point += goldenRatio
	if point >= 1 {
		point--
	}
	splitter.points[name] = point
	return point
}

// serviceAt returns the service whose interval contains the point, where the weights divide [0, 1) into one interval
// per service.
func serviceAt(split []oleandervane.SplitPart, point float64) oleandervane.ServiceName {
	total := 0.0
	for _, splitPart := range split {
		total += splitPart.Weight
	}
	remaining := point * total
	for _, splitPart := range split {
		if remaining < splitPart.Weight {
			return splitPart.Service
		}
		remaining -= splitPart.Weight
	}
	return split[len(split)-1].Service
}
