package backendstandin

import "time"

// Faults are the fault switches of a backend server. The zero value is a healthy server. It is immutable.
type Faults struct {
	// Shed refuses every request without running it.
	Shed bool `json:"shed"`
	// Drain reports the server as leaving; it still serves requests.
	Drain bool `json:"drain"`
	// SilenceConnections makes the connections that are open when it is set accept requests but never respond.
	SilenceConnections bool `json:"silence_connections"`
	// Slowdown multiplies the service time when above 1.
	Slowdown float64 `json:"slowdown"`
	// ColdFor is the time, from when it is set, for which requests take coldFactor times as long.
	ColdFor time.Duration `json:"cold_for"`
	// LoadLag is the interval at which the load report is refreshed; in between, the last one is returned.
	LoadLag time.Duration `json:"load_lag"`
	// UnderstateLoad reports no requests in flight or queued, whatever the load is.
	UnderstateLoad bool `json:"understate_load"`
	// StopLoadReports makes the server respond to load requests with status 503.
	StopLoadReports bool `json:"stop_load_reports"`
	// CrashOn crashes the server when the path of a request contains this text; empty for never.
	CrashOn string `json:"crash_on"`
	// TruncateResponses closes the connection in the middle of each response body.
	TruncateResponses bool `json:"truncate_responses"`
	// FailFast makes the server respond to every request with status 500 at once, without running it.
	FailFast bool `json:"fail_fast"`
}

// coldFactor is how many times as long a request takes on a cold server.
const coldFactor = 4
