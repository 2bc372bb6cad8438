package gateway

import (
	"strconv"
	"strings"

	"oleandervane.example"
	"oleandervane.example/entry/forward"
)

// observeLoad passes the load that a backend server reported in its response to the observer, and removes the report
// from the response to the caller.
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
	report.MeasuredAt = exchange.gateway.dependencies.TimerService.Now()
	report.Source = exchange.gateway.dependencies.Membership.Self().ID
	exchange.gateway.dependencies.Observer.LoadReported(exchange.service, report)
}

// parseLoad parses a load report such as "in_flight=2 queued=0 leaving=1". A report without in_flight is not valid.
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
