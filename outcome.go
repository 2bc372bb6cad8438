package oleandervane

// Outcome is the outcome of a request that is reported to its caller.
type Outcome string

// The outcomes of a request. NotRun is reported only if it is proven that no backend server ran the request.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "not_run"
	Unknown  Outcome = "unknown"
)

// Names of the headers that pass between callers, entry VMs and backend servers.
const (
	// HeaderOutcome carries an Outcome in a response to a caller or a relaying entry VM.
	HeaderOutcome = "Oleandervane-Outcome"
	// HeaderReason carries a short reason in lower snake case when the outcome is not Answered.
	HeaderReason = "Oleandervane-Reason"
	// HeaderTicket carries the ticket of a non-idempotent request.
	HeaderTicket = "Oleandervane-Ticket"
	// HeaderDeadlineMillis carries the time left for the request, in milliseconds.
	HeaderDeadlineMillis = "Oleandervane-Deadline-Ms"
	// HeaderServedBy names the entry VM that responded.
	HeaderServedBy = "Oleandervane-Served-By"
	// HeaderServedIn names the region whose backend server responded.
	HeaderServedIn = "Oleandervane-Served-In"
	// HeaderRequestID carries the id of one attempt; a backend server echoes it.
	HeaderRequestID = "Oleandervane-Request-Id"
	// HeaderHomeRegion carries the home region of the caller on relayed requests.
	HeaderHomeRegion = "Oleandervane-Home-Region"
	// HeaderLoad carries in a response of a backend server its in-flight count and queue, as "in_flight=2 queued=0".
	HeaderLoad = "Oleandervane-Load"
	// HeaderShed is set to "1" by a backend server that refused a request without running it.
	HeaderShed = "Oleandervane-Shed"
)
