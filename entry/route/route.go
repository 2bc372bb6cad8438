// Package route finds the route of a request and chooses among the services of a split route.
package route

import (
	"cmp"
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
	// topRanks has the most urgent rank of the requests of each service.
	topRanks map[oleandervane.ServiceName]Rank
	// topRoutes has the most urgent rank of the routes of each service.
	topRoutes map[oleandervane.ServiceName]int
	// organisations has the organisation of each key.
	organisations map[oleandervane.KeyDigest]*oleandervane.Organisation
}

// Rank orders requests: by the rank of the organisation, then by that of the route. Without a rank of the organisation, that of the
// route takes its place. A lower rank is more urgent.
type Rank struct {
	Organisation int
	Route        int
}

// RankOf returns the rank of a request. The organisation may be nil.
func RankOf(route oleandervane.Route, organisation *oleandervane.Organisation) Rank {
	if organisation != nil && organisation.Ranked {
		return Rank{Organisation: organisation.Rank, Route: route.Rank}
	}
	return Rank{Organisation: route.Rank, Route: route.Rank}
}

// Compare returns a negative number if rank is more urgent than other, and zero if they are equal.
func (rank Rank) Compare(other Rank) int {
	return cmp.Or(cmp.Compare(rank.Organisation, other.Organisation), cmp.Compare(rank.Route, other.Route))
}

// NewIndex returns an index of the table.
func NewIndex(table *oleandervane.RouteTable) *Index {
	index := &Index{
		table: table, hosts: map[string][]oleandervane.Route{}, topRanks: map[oleandervane.ServiceName]Rank{},
		topRoutes: map[oleandervane.ServiceName]int{}, organisations: map[oleandervane.KeyDigest]*oleandervane.Organisation{},
	}
	for i := range table.Organisations {
		for _, key := range table.Organisations[i].Keys {
			index.organisations[key] = &table.Organisations[i]
		}
	}
	top := topOrganisation(table.Organisations)
	for _, route := range table.Routes {
		host := strings.ToLower(route.Host)
		index.hosts[host] = append(index.hosts[host], route)
		for _, part := range route.Split {
			rank, found := index.topRanks[part.Service]
			if highest := highestRank(route, table.Organisations, top); !found || highest.Compare(rank) < 0 {
				index.topRanks[part.Service] = highest
			}
			if topRoute, found := index.topRoutes[part.Service]; !found || route.Rank < topRoute {
				index.topRoutes[part.Service] = route.Rank
			}
		}
	}
	for _, routes := range index.hosts {
		slices.SortStableFunc(routes, func(a, b oleandervane.Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return index
}

// topOrganisation returns the most urgent one of the organisations that have a rank, or nil.
func topOrganisation(organisations []oleandervane.Organisation) *oleandervane.Organisation {
	var top *oleandervane.Organisation
	for i := range organisations {
		if organisations[i].Ranked && (top == nil || organisations[i].Rank < top.Rank) {
			top = &organisations[i]
		}
	}
	return top
}

// highestRank returns the most urgent rank that a request of the route can have. top is the result of topOrganisation.
func highestRank(route oleandervane.Route, organisations []oleandervane.Organisation, top *oleandervane.Organisation) Rank {
	own := RankOf(route, nil)
	if top == nil {
		return own
	}
	highest := RankOf(route, top)
	unranked := slices.ContainsFunc(organisations, func(organisation oleandervane.Organisation) bool { return !organisation.Ranked })
	if (route.Public || unranked) && own.Compare(highest) < 0 {
		return own
	}
	return highest
}

// RequiresKeys reports whether requests of routes that are not public need a key.
func (index *Index) RequiresKeys() bool {
	return index.table.RequiresKeys
}

// Organisation returns the organisation of a key, or nil. The time that it takes depends on the digest only, of which callers cannot
// choose a part.
func (index *Index) Organisation(key oleandervane.KeyDigest) *oleandervane.Organisation {
	return index.organisations[key]
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

// Urgent reports whether no request of the service can have a more urgent rank than one of the route and the organisation, which may be
// nil.
func (index *Index) Urgent(route oleandervane.Route, organisation *oleandervane.Organisation, serviceName oleandervane.ServiceName) bool {
	return RankOf(route, organisation).Compare(index.topRanks[serviceName]) <= 0
}

// UrgentRoute reports whether no route of the service has a more urgent rank than the given one.
func (index *Index) UrgentRoute(route oleandervane.Route, serviceName oleandervane.ServiceName) bool {
	return route.Rank <= index.topRoutes[serviceName]
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
