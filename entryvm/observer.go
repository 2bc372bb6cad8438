package entryvm

import (
	"fmt"
	"io"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"oleandervane.example"
	"oleandervane.example/entry/gateway"
)

// observer records the events of the gateway as metrics. Series are created on first use and found without a lock after
// that.
type observer struct {
	set      *metrics.Set
	lookups  sync.Map // oleandervane.ServiceName to *metrics.Counter
	arrivals sync.Map // oleandervane.Flow to *metrics.Counter
	requests sync.Map // requestSeries to *requestMetrics
	next     []gateway.Observer
}

// requestSeries identifies the metrics of requests with the same labels.
type requestSeries struct {
	service oleandervane.ServiceName
	kind    oleandervane.KindName
	outcome oleandervane.Outcome
	reason  string
	relayed bool
}

type requestMetrics struct {
	count    *metrics.Counter
	attempts *metrics.Counter
	seconds  *metrics.Histogram
}

// newObserver returns an observer that also passes each event to the next observers.
func newObserver(set *metrics.Set, next ...gateway.Observer) *observer {
	return &observer{set: set, next: next}
}

// LookupServed counts a look-up.
func (observer *observer) LookupServed(serviceName oleandervane.ServiceName) {
	cached(&observer.lookups, serviceName, func() *metrics.Counter {
		return observer.set.GetOrCreateCounter(fmt.Sprintf("oleandervane_lookups_total{service=%q}", serviceName))
	}).Inc()
	for _, next := range observer.next {
		next.LookupServed(serviceName)
	}
}

// Arrived counts a request of a caller.
func (observer *observer) Arrived(serviceName oleandervane.ServiceName, kind oleandervane.Kind, home oleandervane.Region) {
	flow := oleandervane.Flow{Service: serviceName, Home: home}
	cached(&observer.arrivals, flow, func() *metrics.Counter {
		return observer.set.GetOrCreateCounter(fmt.Sprintf("oleandervane_arrivals_total{service=%q,home=%q}", serviceName, home))
	}).Inc()
	for _, next := range observer.next {
		next.Arrived(serviceName, kind, home)
	}
}

// Finished records the outcome, attempts and latency of a request.
func (observer *observer) Finished(completion gateway.Completion) {
	series := requestSeries{
		service: completion.Service,
		kind:    completion.Kind.Name,
		outcome: completion.Outcome,
		reason:  string(completion.Reason),
		relayed: completion.Relayed,
	}
	requestMetrics := cached(&observer.requests, series, func() *requestMetrics { return observer.newRequestMetrics(series) })
	requestMetrics.count.Inc()
	requestMetrics.attempts.Add(completion.Attempts)
	requestMetrics.seconds.Update(completion.Latency.Seconds())
	for _, next := range observer.next {
		next.Finished(completion)
	}
}

// LoadReported passes the load that a backend server reported to the next observers.
func (observer *observer) LoadReported(serviceName oleandervane.ServiceName, report oleandervane.LoadReport) {
	for _, next := range observer.next {
		next.LoadReported(serviceName, report)
	}
}

func (observer *observer) newRequestMetrics(series requestSeries) *requestMetrics {
	labels := fmt.Sprintf("{service=%q,kind=%q,outcome=%q,reason=%q,relayed=\"%t\"}",
		series.service, series.kind, series.outcome, series.reason, series.relayed)
	return &requestMetrics{
		count:    observer.set.GetOrCreateCounter("oleandervane_requests_total" + labels),
		attempts: observer.set.GetOrCreateCounter("oleandervane_attempts_total" + labels),
		seconds:  observer.set.GetOrCreateHistogram("oleandervane_request_seconds" + labels),
	}
}

// Write writes all metrics in the Prometheus text format.
func (observer *observer) Write(writer io.Writer) {
	observer.set.WritePrometheus(writer)
	metrics.WriteProcessMetrics(writer)
}

// cached returns the value of a key and creates it on first use. create may run more than once for a key, so it must
// return the same series each time.
func cached[Key comparable, Value any](values *sync.Map, key Key, create func() *Value) *Value {
	if value, found := values.Load(key); found {
		return value.(*Value)
	}
	value, _ := values.LoadOrStore(key, create())
	return value.(*Value)
}
