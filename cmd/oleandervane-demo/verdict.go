package main

import (
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"oleandervane.example"
	"oleandervane.example/standin/load"
)

// outcomeRecorder records the outcome that callers received for each non-idempotent request, to compare it with the runs at
// backend servers.
type outcomeRecorder struct {
	mutex    sync.Mutex
	outcomes map[string]oleandervane.Outcome
	// burst is true once the burst has started; from then on requests may be shed.
	burst bool
	// failed contains the idempotent requests that were not answered before the burst.
	failed []string
	// unanswered contains a line of text for each non-idempotent request that was not answered, for the file unanswered.txt.
	unanswered []string
}

func newOutcomeRecorder() *outcomeRecorder {
	return &outcomeRecorder{outcomes: map[string]oleandervane.Outcome{}}
}

func (outcomeRecorder *outcomeRecorder) record(completion load.Completion) {
	outcomeRecorder.mutex.Lock()
	defer outcomeRecorder.mutex.Unlock()
	if completion.Request.Idempotent {
		if completion.Outcome != oleandervane.Answered && !outcomeRecorder.burst {
			outcomeRecorder.failed = append(outcomeRecorder.failed, completion.Request.Identity)
		}
		return
	}
	outcomeRecorder.outcomes[completion.Request.Identity] = completion.Outcome
	if completion.Outcome != oleandervane.Answered {
		outcomeRecorder.unanswered = append(outcomeRecorder.unanswered, fmt.Sprintf("%s %s after %s: %v", time.Now().Format(time.TimeOnly), completion.Request.Identity, seconds(completion.Latency), completion.Err))
	}
}

func (outcomeRecorder *outcomeRecorder) beginBurst() {
	outcomeRecorder.mutex.Lock()
	defer outcomeRecorder.mutex.Unlock()
	outcomeRecorder.burst = true
}

// guarantee is a guarantee to callers and the number of its violations.
type guarantee struct {
	text       string
	violations int
	detail     string
}

// compare checks the runs in the journals of backend servers against the outcomes that callers received.
func (outcomeRecorder *outcomeRecorder) compare(runs map[string]int) []guarantee {
	outcomeRecorder.mutex.Lock()
	defer outcomeRecorder.mutex.Unlock()
	atMostOnce := guarantee{text: "a non-idempotent request runs at most once"}
	notRun := guarantee{text: "a request that was told not run was not run"}
	answered := guarantee{text: "a filing that was told answered was run"}
	for identity, count := range runs {
		if count > 1 {
			atMostOnce.violations++
			atMostOnce.detail = fmt.Sprintf("%s ran %d times", identity, count)
		}
	}
	for identity, outcome := range outcomeRecorder.outcomes {
		count := runs[identity]
		if outcome == oleandervane.NotRun && count > 0 {
			notRun.violations++
			notRun.detail = identity
		}
		if outcome == oleandervane.Answered && count == 0 {
			answered.violations++
			answered.detail = identity
		}
	}
	idempotent := guarantee{text: "before the burst, every idempotent request is answered", violations: len(outcomeRecorder.failed)}
	if len(outcomeRecorder.failed) > 0 {
		idempotent.detail = outcomeRecorder.failed[0]
	}
	return []guarantee{atMostOnce, notRun, answered, idempotent}
}

// journals returns the number of runs of each request, summed over all backend servers. It fails when a server does not respond.
func (scenario *scenario) journals() (map[string]int, error) {
	total := map[string]int{}
	for _, backendServer := range scenario.deployment.backendServers() {
		response, err := httpClient.Get(fmt.Sprintf("http://%s/runs", backendServer.Address))
		if err != nil {
			return nil, err
		}
		var body struct {
			Runs map[string]int `json:"runs"`
		}
		err = json.NewDecoder(response.Body).Decode(&body)
		_ = response.Body.Close()
		if err != nil {
			return nil, err
		}
		for identity, count := range body.Runs {
			total[identity] += count
		}
	}
	return total, nil
}

func writeGuarantees(writer io.Writer, guarantees []guarantee) (violations int) {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	for _, guarantee := range guarantees {
		verdict := "kept"
		if guarantee.violations > 0 {
			verdict = fmt.Sprintf("BROKEN %d times: %s", guarantee.violations, guarantee.detail)
			violations += guarantee.violations
		}
		fmt.Fprintf(table, "%s\t%s\n", guarantee.text, verdict)
	}
	_ = table.Flush()
	return violations
}

func seconds(duration time.Duration) string {
	return fmt.Sprintf("%.2f s", duration.Seconds())
}

func (scenario *scenario) totalRuns(backendServer oleandervane.BackendServer) (int, error) {
	response, err := httpClient.Get(fmt.Sprintf("http://%s/runs", backendServer.Address))
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	var body struct {
		Total int `json:"total"`
	}
	err = json.NewDecoder(response.Body).Decode(&body)
	return body.Total, err
}
