package ingress

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleandervane.example"
)

// keyDialect reads the key of a request from its header Key.
type keyDialect struct{ headerDialect }

func (keyDialect keyDialect) ReadRequest(request *http.Request) oleandervane.RequestMetadata {
	metadata := keyDialect.headerDialect.ReadRequest(request)
	if key := request.Header.Get("Key"); key != "" {
		metadata.Key, metadata.KeyState = oleandervane.NewKeyDigest(key), oleandervane.KeyPresent
	}
	return metadata
}

// countingLimiter admits requests while it is open, and counts what it is asked and given back.
type countingLimiter struct {
	open               bool
	admitted, returned atomic.Int64
}

func (countingLimiter *countingLimiter) Admit(context.Context, oleandervane.Organisation) oleandervane.RateAdmission {
	if !countingLimiter.open {
		return oleandervane.RateAdmission{RetryAfter: 4 * time.Second, UsePerSecond: 9}
	}
	countingLimiter.admitted.Add(1)
	return oleandervane.RateAdmission{Admitted: true, Cancel: func() { countingLimiter.returned.Add(1) }}
}

// Guards against a request over the rate limit that waits for its body or runs, against one that has not run and keeps its room, and
// against a limiter that is asked for organisations without a limit.
func TestRateLimit(t *testing.T) {
	handler, recorder := newTestHandler(t)
	limiter := &countingLimiter{}
	handler.dependencies.CallerDialect, handler.dependencies.Limiter = keyDialect{}, limiter
	handler.Publish(&oleandervane.RouteTable{
		RequiresKeys: true,
		Organisations: []oleandervane.Organisation{
			{Name: "limited", Keys: []oleandervane.KeyDigest{oleandervane.NewKeyDigest("l")}, RateLimit: oleandervane.RateLimit{PerSecond: 1, Burst: 1}},
			{Name: "free", Keys: []oleandervane.KeyDigest{oleandervane.NewKeyDigest("f")}},
			{Name: "elsewhere", Keys: []oleandervane.KeyDigest{oleandervane.NewKeyDigest("e")}, AllowedRegions: []oleandervane.Region{"b"}},
		},
		Routes: []oleandervane.Route{{
			Name: "lookup", Host: "127.0.0.1", Prefix: "/", TimeLimit: time.Second, Kind: oleandervane.RouteSafe,
			Split: []oleandervane.SplitPart{{Service: "ledger", Weight: 1}}, AllowedRegions: []oleandervane.Region{"a"},
		}},
	})
	server := httptest.NewServer(handler)
	defer server.Close()
	send := func(key, body string) (response *http.Response, completion Completion) {
		request, err := http.NewRequest(http.MethodPost, server.URL+"/x", strings.NewReader(body))
		assert.NilError(t, err)
		request.Header.Set("Key", key)
		response, err = http.DefaultClient.Do(request)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		return response, <-recorder.completions
	}
	for _, size := range []int{0, 10, maxKeptBodyBytes + 1} {
		response, completion := send("l", strings.Repeat("x", size))
		assert.Equal(t, response.StatusCode, http.StatusTooManyRequests)
		assert.Equal(t, completion.Outcome, oleandervane.NotRun)
		assert.Equal(t, completion.UsePerSecond, 9.0)
		seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, seconds >= 4 && seconds <= 6, "%v s", seconds)
		assert.Equal(t, response.Close, size > maxKeptBodyBytes)
	}
	limiter.open = true
	// No server is known, so the request is admitted and has not run.
	response, _ := send("l", "x")
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, limiter.returned.Load(), int64(1))
	_, _ = send("f", "x")
	response, completion := send("e", "x")
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, completion.Reason, reasonNoCommonRegion)
	assert.Equal(t, limiter.admitted.Load(), int64(1))
}

// Guards against a VM without a configuration that refuses a caller as if its key were unknown, which callers do not try again.
func TestVMWithoutConfigurationKnowsNoKeys(t *testing.T) {
	handler, _ := newTestHandler(t)
	handler.index.Store(nil)
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/x", nil))
	assert.Equal(t, recorder.Code, http.StatusServiceUnavailable)
	assert.Assert(t, recorder.Header().Get("Retry-After") != "")
}

// Guards against a request that waits while the regions of its organisation or route change, and runs in a former one.
func TestChangedRegionsApplyToWaitingRequests(t *testing.T) {
	handler, _ := newTestHandler(t)
	handler.dependencies.CallerDialect = keyDialect{}
	publish := func(ofOrganisation, ofRoute oleandervane.Region) {
		handler.Publish(&oleandervane.RouteTable{
			RequiresKeys:  true,
			Organisations: []oleandervane.Organisation{{Name: "o", Keys: []oleandervane.KeyDigest{oleandervane.NewKeyDigest("k")}, AllowedRegions: []oleandervane.Region{"a", ofOrganisation}}},
			Routes:        []oleandervane.Route{{Host: "example.com", Prefix: "/", AllowedRegions: []oleandervane.Region{"a", ofRoute}}},
		})
	}
	for _, changed := range [][2]oleandervane.Region{{"b", "b"}, {"c", "b"}, {"b", "c"}} {
		publish("b", "b")
		index := handler.index.Load()
		request := httptest.NewRequest(http.MethodGet, "/x", nil)
		request.Header.Set("Key", "k")
		call := handler.newCall(httptest.NewRecorder(), request)
		call.completion.Route, _ = index.Match(request.Host, "/x")
		assert.Assert(t, call.identify(index, call.completion.Route) == nil)
		publish(changed[0], changed[1])
		isChanged := changed != [2]oleandervane.Region{"b", "b"}
		assert.Equal(t, errors.Is(call.checkKey(index), refusalChanged), isChanged, "%v", changed)
	}
}
