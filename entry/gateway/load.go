package gateway

import (
	"strconv"
	"strings"

	"oleandervane.example"
	"oleandervane.example/entry/forward"
)

// observeLoad tells the observer of the load that a backend server reported with its response, and keeps the report
// from the caller.
func (exchange *exchange) observeLoad(result forward.Result) {
	if result.Response == nil || result.Target.Relay {
		return
	}
	text := result.Response.Header.Get(oleandervane.HeaderLoad)
	result.Response.Header.Del(oleandervane.HeaderLoad)
	report, ok := parseLoad(text)
	if !ok {
		return
	}
	report.BackendServer = oleandervane.BackendServerID(result.Target.ID)
	report.MeasuredAt = exchange.gateway.parts.TimerService.Now()
	report.Source = exchange.gateway.parts.Membership.Self().ID
	exchange.gateway.parts.Observer.LoadReported(exchange.service, report)
}

// parseLoad reads a load such as "in_flight=2 queued=0 leaving=1". Without a count of requests in flight it is none.
func parseLoad(text string) (report oleandervane.LoadReport, ok bool) {
	for field := range strings.FieldsSeq(text) {
		name, value, _ := strings.Cut(field, "=")
		number, err := strconv.Atoi(value)
		if err != nil || number < 0 {
			return oleandervane.LoadReport{}, false
		}
		switch name {
		case "in_flight":
			report.InFlight, ok = number, true
		case "queued":
			report.Queued = number
		case "leaving":
			report.Leaving = number > 0
		case "cold":
			report.Cold = number > 0
		}
	}
	return report, ok
}
