package backendstandin

import "time"

// Faults are the faults that a backend server shows. The zero value is a healthy server. It is immutable.
type Faults struct {
	// Shed refuses every request without running it.
	Shed bool `json:"shed"`
	// Drain reports the server as leaving; it still serves.
	Drain bool `json:"drain"`
	// SilenceConnections makes the connections that are open now take requests and never answer.
	SilenceConnections bool `json:"silence_connections"`
	// Slowdown multiplies the service time when above 1.
	Slowdown float64 `json:"slowdown"`
	// ColdFor is how long after now requests take ColdFactor times as long.
	ColdFor time.Duration `json:"cold_for"`
	// LoadLag freezes the load report for this long at a time.
	LoadLag time.Duration `json:"load_lag"`
	// UnderstateLoad reports an idle server whatever its load is.
	UnderstateLoad bool `json:"understate_load"`
	// StopLoadReports answers load requests with status 503.
	StopLoadReports bool `json:"stop_load_reports"`
	// CrashOn crashes the server when a request's path contains the text; empty never.
	CrashOn string `json:"crash_on"`
	// TruncateResponses closes the connection in the middle of each response body.
	TruncateResponses bool `json:"truncate_responses"`
	// FailFast answers every request with status 500 at once.
	FailFast bool `json:"fail_fast"`
}

// coldFactor is how much longer a request takes on a cold server.
const coldFactor = 4
