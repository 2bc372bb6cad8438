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
