package hosted

import (
	"encoding/hex"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"oleandervane.example"
	"oleandervane.example/entry/account"
	"oleandervane.example/entry/forward"
	"oleandervane.example/entry/ingress"
	"oleandervane.example/entry/placement"
	"oleandervane.example/fleet/ratelimit"
)

// observer writes a log line and updates metrics for each decision.
type observer struct {
	log *logrus.Entry
	set *metrics.Set
	// organisations counts requests by organisation.
	organisations *organisationCounters
	// replica provides the age of the VM's replica of the store.
	replica *replica
	// storeFailed is called when the VM's entry in the store could not be written or renewed. It may be nil.
	storeFailed func()
	// rateRefusalsLoggedAt is in Unix nanoseconds; rateRefusals counts the refusals since then.
	rateRefusalsLoggedAt, rateRefusals atomic.Int64
	// invalidHeadersLoggedAt and callersLoggedAt are in Unix nanoseconds, callersNotLogged counts decisions since the latter.
	invalidHeadersLoggedAt, callersLoggedAt, callersNotLogged atomic.Int64
}

// invalidHeaderLogPeriod is the least time between two log lines about invalid headers.
const invalidHeaderLogPeriod = 10 * time.Second

// rateRefusalLogPeriod is the least time between two log lines about requests beyond rate limits.
const rateRefusalLogPeriod = time.Second

// maxLoggedQuery bounds the bytes of a query in a log line.
const maxLoggedQuery = 256

// Finished logs the end of a request with the decisions behind its outcome.
func (observer *observer) Finished(completion ingress.Completion) {
	labels := fmt.Sprintf("{route=%q,outcome=%q,reason=%q,status=\"%d\"}",
		completion.Route.Name, completion.Outcome, completion.Reason, completion.Status)
	observer.set.GetOrCreateCounter("oleandervane_requests_total" + labels).Inc()
	observer.set.GetOrCreateHistogram(fmt.Sprintf("oleandervane_request_seconds{route=%q}", completion.Route.Name)).Update(completion.Duration.Seconds())
	fields := logrus.Fields{
		"request_id": completion.Metadata.RequestID,
		"route":      completion.Route.Name,
		"revision":   completion.Revision,
		"service":    completion.Service,
		"server":     completion.Target.ID,
		"choice":     completion.Decision.Reason,
		"cold":       completion.Decision.Cold,
		"run":        completion.Target.Run,
		"pressure":   math.Round(completion.Decision.Pressure*100) / 100,
		"sound":      completion.Decision.EligibleServers,
		"limited":    completion.Decision.LimitedServers,
		"refusing":   completion.Decision.RefusingServers,
		"leaving":    completion.Decision.LeavingServers,
		"load_from":  loadSource(completion.Decision.PeerCountsKnown),
		"attempts":   completion.Attempts,
		"outcome":    completion.Outcome,
		"status":     completion.Status,
		"took_ms":    completion.Duration.Milliseconds(),
		"checks":     completion.Decision.StateChecks,
		"store_age":  observer.replica.age().Round(time.Millisecond).String(),
	}
	observer.addOrganisation(fields, completion)
	if completion.Metadata.Object != "" {
		fields["object"] = completion.Metadata.Object
	}
	if completion.Reason != "" {
		fields["reason"] = completion.Reason
		fields["method"] = completion.Method
		fields["path"] = completion.Path
		fields["query"] = completion.RawQuery[:min(len(completion.RawQuery), maxLoggedQuery)]
		fields["body_bytes"] = completion.BodyBytes
		fields["caller"] = completion.CallerAddress
	}
	if completion.Reason != "" && completion.Identity != (forward.Identity{}) {
		fields["fingerprint"] = formatFingerprint(completion.Identity.Full)
		fields["content"] = formatFingerprint(completion.Identity.Content)
	}
	if completion.Attempts > 1 || completion.Reason != "" {
		fields["tries"] = formatAttempts(completion.AttemptSummaries)
	}
	if completion.Err != nil {
		fields["error"] = completion.Err.Error()
	}
	observer.log.WithFields(fields).Info("request ended")
}

// addOrganisation counts a request by its organisation and adds to the log line whose it is, and for a refusal the limit and the share
// with their use.
func (observer *observer) addOrganisation(fields logrus.Fields, completion ingress.Completion) {
	organisation := completion.Organisation
	if organisation == nil {
		return
	}
	result := string(completion.Outcome)
	if completion.Status == http.StatusTooManyRequests {
		result = "over_limit"
	}
	observer.organisations.record(organisation.Name, result, observer.replica.timerService.Now())
	fields["organisation"] = organisation.Name
	if completion.Outcome != oleandervane.NotRun {
		return
	}
	if organisation.RateLimit.Limited() {
		fields["limit_per_s"], fields["limit_burst"] = organisation.RateLimit.PerSecond, organisation.RateLimit.Burst
		fields["limit_use_per_s"] = completion.UsePerSecond
	}
	if claim := completion.Decision.Claim; claim.Scarce {
		fields["share_use_per_s"] = claim.UsePerSecond
		fields["entitled"] = claim.Entitled
		if !math.IsInf(claim.SharePerSecond, 0) {
			fields["share_per_s"] = claim.SharePerSecond
		}
	}
}

// formatAttempts formats attempts as "i-1 after 0s: unknown connection_broken; i-2 after 12ms: answered".
func formatAttempts(attempts []forward.AttemptSummary) string {
	parts := make([]string, 0, len(attempts))
	for _, attempt := range attempts {
		text := fmt.Sprintf("%s after %v: %s %s", attempt.Target, attempt.SentAfter.Round(time.Millisecond), attempt.Outcome, attempt.Reason)
		parts = append(parts, strings.TrimSpace(text))
	}
	return strings.Join(parts, "; ")
}

// BackoffStarted logs that a backend server gets no requests for the backoff after failures.
func (observer *observer) BackoffStarted(id oleandervane.BackendServerID, attemptResult oleandervane.AttemptResult, backoff time.Duration) {
	observer.set.GetOrCreateCounter("oleandervane_server_rests_total").Inc()
	observer.log.WithFields(logrus.Fields{"server": id, "result": attemptResult.String(), "rest": backoff.String()}).
		Warn("backend server failed and gets no requests for a while")
}

// DirectiveChanged logs what a backend server asks for: a rate limit, or no more requests because it leaves.
func (observer *observer) DirectiveChanged(id oleandervane.BackendServerID, rateLimit float64, leaving bool) {
	observer.set.GetOrCreateCounter("oleandervane_server_directive_changes_total").Inc()
	entry := observer.log.WithFields(logrus.Fields{"server": id, "rate_limit": rateLimit, "leaving": leaving})
	switch {
	case leaving:
		entry.Info("backend server leaves; it gets no more requests")
	case rateLimit > 0:
		entry.Info("backend server limits its requests")
	default:
		entry.Info("backend server no longer limits its requests or leaves")
	}
}

// ColdStarted logs that a backend server counts as cold and gets few requests.
func (observer *observer) ColdStarted(id oleandervane.BackendServerID, cause placement.ColdCause, duration time.Duration) {
	observer.set.GetOrCreateCounter(fmt.Sprintf("oleandervane_server_cold_starts_total{cause=%q}", cause)).Inc()
	observer.log.WithFields(logrus.Fields{"server": id, "cause": cause, "cold_for": duration.String()}).Info("backend server counts as cold")
}

// ServerChecked logs the check of a backend server whose connections broke.
func (observer *observer) ServerChecked(id oleandervane.BackendServerID, checkResult placement.CheckResult) {
	observer.set.GetOrCreateCounter(fmt.Sprintf("oleandervane_server_checks_total{result=%q}", checkResult)).Inc()
	observer.log.WithFields(logrus.Fields{"server": id, "result": checkResult}).Info("backend server was checked because its connections broke")
}

// InvalidHeaders counts headers of a backend server that are ignored. It logs one in invalidHeaderLogPeriod.
func (observer *observer) InvalidHeaders(id oleandervane.BackendServerID, names []string) {
	for _, name := range names {
		observer.set.GetOrCreateCounter(fmt.Sprintf("oleandervane_invalid_response_headers_total{header=%q}", name)).Inc()
	}
	now := observer.replica.timerService.Now().UnixNano()
	last := observer.invalidHeadersLoggedAt.Load()
	if now-last < int64(invalidHeaderLogPeriod) || !observer.invalidHeadersLoggedAt.CompareAndSwap(last, now) {
		return
	}
	observer.log.WithFields(logrus.Fields{"server": id, "headers": names}).Warn("response of a backend server has headers whose values make no sense; they are ignored")
}

// RateDecided counts decisions on requests of organisations with a rate limit. It logs one refusal in rateRefusalLogPeriod.
func (observer *observer) RateDecided(organisation oleandervane.OrganisationName, limit oleandervane.RateLimit, decision ratelimit.Decision) {
	observer.set.GetOrCreateCounter(fmt.Sprintf("oleandervane_rate_limit_decisions_total{admitted=\"%t\",source=%q}", decision.Admitted, decision.Source)).Inc()
	if decision.Admitted {
		return
	}
	refusals := observer.rateRefusals.Add(1)
	now := observer.replica.timerService.Now().UnixNano()
	last := observer.rateRefusalsLoggedAt.Load()
	if now-last < int64(rateRefusalLogPeriod) || !observer.rateRefusalsLoggedAt.CompareAndSwap(last, now) {
		return
	}
	observer.rateRefusals.Add(-refusals)
	observer.log.WithFields(logrus.Fields{
		"organisation": organisation, "limit_per_second": limit.PerSecond, "burst": limit.Burst, "source": decision.Source,
		"requests_per_second_here": math.Round(decision.Load*100) / 100, "retry_after": decision.RetryAfter.Round(time.Millisecond).String(),
		"refusals_since_last_line": refusals,
	}).Info("request is refused because of the rate limit of its organisation")
}

// TokenMessageIgnored counts messages about rate limits that are invalid or outdated.
func (observer *observer) TokenMessageIgnored(reason string) {
	observer.set.GetOrCreateCounter(fmt.Sprintf("oleandervane_rate_limit_messages_ignored_total{reason=%q}", reason)).Inc()
}

// callerLogPeriod is the least time between two log lines about callers that were refused or closed.
const callerLogPeriod = time.Second

// Refused counts a connection or request of a caller for which there is no room. It logs one decision in callerLogPeriod.
func (observer *observer) Refused(listener account.Listener, address netip.Addr, cause account.Cause) {
	observer.set.GetOrCreateCounter(fmt.Sprintf("oleandervane_callers_refused_total{listener=%q,cause=%q}", listener, cause)).Inc()
	observer.logCaller(logrus.Fields{"listener": listener.String(), "caller": address, "cause": cause}, "caller is refused because the VM has no room for what it sends")
}

// Closed counts a connection that was closed in favour of others. It logs one decision in callerLogPeriod.
func (observer *observer) Closed(closed account.Closed, cause account.Cause) {
	observer.set.GetOrCreateCounter(fmt.Sprintf("oleandervane_callers_closed_total{listener=%q,cause=%q}", closed.Listener, cause)).Inc()
	observer.logCaller(logrus.Fields{
		"listener": closed.Listener.String(), "caller": closed.Address, "cause": cause, "bytes": closed.Bytes, "waited_ms": closed.Stalled.Milliseconds(),
	}, "connection of a caller is closed because others need its room")
}

func (observer *observer) logCaller(fields logrus.Fields, message string) {
	now := observer.replica.timerService.Now().UnixNano()
	last := observer.callersLoggedAt.Load()
	if now-last < int64(callerLogPeriod) || !observer.callersLoggedAt.CompareAndSwap(last, now) {
		observer.callersNotLogged.Add(1)
		return
	}
	fields["not_logged"] = observer.callersNotLogged.Swap(0)
	observer.log.WithFields(fields).Warn(message)
}

// RequestSuspected logs that a request may have crashed a backend server. What other VMs report is counted and logged only
// at debug level, because they log it themselves.
func (observer *observer) RequestSuspected(fingerprint [16]byte, run uint32, source oleandervane.SuspectSource) {
	observer.countSuspicion("oleandervane_suspect_requests_total", source)
	entry := observer.log.WithFields(logrus.Fields{"fingerprint": formatFingerprint(fingerprint), "server_run": run, "source": source})
	if source == oleandervane.SuspectFromPeer {
		entry.Debug("request may crash backend servers")
		return
	}
	entry.Info("request may crash backend servers")
}

// RequestQuarantined logs that a request is refused because it crashed backend servers.
func (observer *observer) RequestQuarantined(fingerprint [16]byte, duration time.Duration, source oleandervane.SuspectSource) {
	observer.countSuspicion("oleandervane_quarantined_requests_total", source)
	observer.log.WithFields(logrus.Fields{"fingerprint": formatFingerprint(fingerprint), "duration": duration.String(), "source": source}).
		Warn("request is refused for a while because backend servers ended while they ran it")
}

// TrialBegan logs that this VM sends a request once after its quarantine.
func (observer *observer) TrialBegan(fingerprint [16]byte) {
	observer.set.GetOrCreateCounter("oleandervane_request_trials_total").Inc()
	observer.log.WithField("fingerprint", formatFingerprint(fingerprint)).Info("request is sent once to see whether it still crashes backend servers")
}

// SuspicionCleared logs that a request that was suspected was answered.
func (observer *observer) SuspicionCleared(fingerprint [16]byte) {
	observer.set.GetOrCreateCounter("oleandervane_suspicions_cleared_total").Inc()
	observer.log.WithField("fingerprint", formatFingerprint(fingerprint)).Debug("request is no longer suspected; a backend server answered it")
}

func (observer *observer) countSuspicion(name string, source oleandervane.SuspectSource) {
	observer.set.GetOrCreateCounter(fmt.Sprintf("%s{source=%q}", name, source)).Inc()
}

// formatFingerprint returns the part of a fingerprint that log lines show.
func formatFingerprint(fingerprint [16]byte) string {
	return hex.EncodeToString(fingerprint[:6])
}

// PeerCoverageChanged logs whether loads are known from the notices of other VMs or only from the reports of servers.
func (observer *observer) PeerCoverageChanged(known bool, covered, others int) {
	entry := observer.log.WithFields(logrus.Fields{"told_by": covered, "others": others, "load_from": loadSource(known)})
	if known {
		entry.Info("enough other VMs report their requests in flight")
		return
	}
	entry.Warn("too few other VMs tell what they have in flight; loads are known from reports of servers")
}

// loadSource names the source of the loads in a decision.
func loadSource(countsKnown bool) string {
	if countsKnown {
		return "entry_vms"
	}
	return "server_reports"
}

// Registered logs that the VM is registered in the store.
func (observer *observer) Registered(lease oleandervane.LeaseID) {
	observer.log.WithField("lease", lease.Number).Info("entry VM is registered in the store")
}

// RegistrationFailed logs that the VM's entry could not be written or renewed.
func (observer *observer) RegistrationFailed(err error) {
	observer.set.GetOrCreateCounter("oleandervane_registration_failures_total").Inc()
	observer.log.WithError(err).Warn("entry of this VM in the store could not be renewed")
	if observer.storeFailed != nil {
		observer.storeFailed()
	}
}

// Write writes all metrics in the Prometheus text format.
func (observer *observer) Write(writer io.Writer) {
	observer.set.WritePrometheus(writer)
	observer.organisations.write(writer)
	metrics.WriteProcessMetrics(writer)
}
