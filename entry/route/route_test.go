package route_test

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/entry/route"
)

func toService(name oleandervane.ServiceName) []oleandervane.SplitPart {
	return []oleandervane.SplitPart{{Service: name, Weight: 1}}
}

// Guards against matching a request to another route of the same host, so that it runs on a wrong service.
func TestMatch(t *testing.T) {
	index := route.NewIndex(&oleandervane.RouteTable{Routes: []oleandervane.Route{
		{Name: "short", Host: "a.example", Prefix: "/x/", Split: toService("s")},
		{Name: "long", Host: "a.example", Prefix: "/x/y/", Split: toService("s")},
		{Name: "other", Host: "b.example", Prefix: "/", Split: toService("s")},
	}})
	cases := []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"a.example", "/x/y", "short"},
		{"A.example:8080", "/x/y/", "long"},
		{"a.example", "/x", ""},
		{"a.example", "/", ""},
		{"b.example", "/x/y/", "other"},
		{"c.example", "/x/y/", ""},
	}
	for _, matchCase := range cases {
		matched, found := index.Match(matchCase.host, matchCase.path)
		assert.Equal(t, found, matchCase.want != "", "%s%s", matchCase.host, matchCase.path)
		assert.Equal(t, matched.Name, matchCase.want, "%s%s", matchCase.host, matchCase.path)
	}
}

// Guards against shares that deviate from the weights for the few requests that one VM receives.
func TestSplitMeetsWeightsWithFewRequests(t *testing.T) {
	splitter := route.NewSplitter()
	split := oleandervane.Route{Name: "r", Split: []oleandervane.SplitPart{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	const requests = 50
	counts := map[oleandervane.ServiceName]int{}
	for range requests {
		counts[splitter.Choose(split)]++
	}
	assert.Assert(t, math.Abs(float64(counts["b"])/requests-0.1) < 0.05, "%v", counts)
}

// Guards against a wrong service for a route that is not split.
func TestSplitWithOneService(t *testing.T) {
	assert.Equal(t, route.NewSplitter().Choose(oleandervane.Route{Split: toService("a")}), oleandervane.ServiceName("a"))
}

// Guards against a rank of a route that counts before that of an organisation, and against ranks of organisations that no request of
// the service can have.
func TestUrgent(t *testing.T) {
	first := oleandervane.Route{Name: "first", Host: "a", Prefix: "/1/", Rank: 1, Split: toService("s")}
	second := oleandervane.Route{Name: "second", Host: "a", Prefix: "/2/", Rank: 2, Split: toService("s")}
	ranked := func(rank int) *oleandervane.Organisation { return &oleandervane.Organisation{Rank: rank, Ranked: true} }
	unranked := &oleandervane.Organisation{}
	routes := []oleandervane.Route{first, second}
	for _, testCase := range []struct {
		name          string
		organisations []oleandervane.Organisation
		route         oleandervane.Route
		organisation  *oleandervane.Organisation
		want          bool
	}{
		{"none, first route", nil, first, nil, true},
		{"none, second route", nil, second, nil, false},
		{"top", []oleandervane.Organisation{*ranked(0), *ranked(3)}, first, ranked(0), true},
		{"top on the second route", []oleandervane.Organisation{*ranked(0), *ranked(3)}, second, ranked(0), false},
		{"low on the first route", []oleandervane.Organisation{*ranked(0), *ranked(3)}, first, ranked(3), false},
		{"only low ones", []oleandervane.Organisation{*ranked(3)}, first, ranked(3), true},
		{"without a rank before low ones", []oleandervane.Organisation{*ranked(3), *unranked}, first, unranked, true},
		{"low behind one without a rank", []oleandervane.Organisation{*ranked(3), *unranked}, first, ranked(3), false},
		{"without ranks", []oleandervane.Organisation{*unranked}, second, unranked, false},
	} {
		index := route.NewIndex(&oleandervane.RouteTable{Routes: routes, Organisations: testCase.organisations})
		assert.Equal(t, index.Urgent(testCase.route, testCase.organisation, "s"), testCase.want, testCase.name)
	}
}
