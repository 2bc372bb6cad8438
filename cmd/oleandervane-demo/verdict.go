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

// ledger keeps what callers were told of each filing, to compare it with what backend servers ran.
type ledger struct {
	mutex    sync.Mutex
	outcomes map[string]oleandervane.Outcome
	// burst says that the burst has begun, in which requests may be shed.
	burst bool
	// failed are the idempotent requests that were not answered before the burst.
	failed []string
	// unanswered describes the filings that were not answered, for the log.
	unanswered []string
}

func newLedger() *ledger {
	return &ledger{outcomes: map[string]oleandervane.Outcome{}}
}

func (ledger *ledger) record(completion load.Completion) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if completion.Request.Idempotent {
		if completion.Outcome != oleandervane.Answered && !ledger.burst {
			ledger.failed = append(ledger.failed, completion.Request.Identity)
		}
		return
	}
	ledger.outcomes[completion.Request.Identity] = completion.Outcome
	if completion.Outcome != oleandervane.Answered {
		ledger.unanswered = append(ledger.unanswered, fmt.Sprintf("%s %s after %s: %v", time.Now().Format(time.TimeOnly), completion.Request.Identity, seconds(completion.Latency), completion.Err))
	}
}

func (ledger *ledger) beginBurst() {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.burst = true
}

// promise is a promise to callers, and how often it was broken.
type promise struct {
	text   string
	broken int
	detail string
}

// compare checks the runs in the journals of backend servers against the outcomes that callers were told.
func (ledger *ledger) compare(runs map[string]int) []promise {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	atMostOnce := promise{text: "a non-idempotent request runs at most once"}
	notRun := promise{text: "a request that was told not run was not run"}
	answered := promise{text: "a filing that was told answered was run"}
	for identity, count := range runs {
		if count > 1 {
			atMostOnce.broken++
			atMostOnce.detail = fmt.Sprintf("%s ran %d times", identity, count)
		}
	}
	for identity, outcome := range ledger.outcomes {
		count := runs[identity]
		if outcome == oleandervane.NotRun && count > 0 {
			notRun.broken++
			notRun.detail = identity
		}
		if outcome == oleandervane.Answered && count == 0 {
			answered.broken++
			answered.detail = identity
		}
	}
	idempotent := promise{text: "before the burst, every idempotent request is answered", broken: len(ledger.failed)}
	if len(ledger.failed) > 0 {
		idempotent.detail = ledger.failed[0]
	}
	return []promise{atMostOnce, notRun, answered, idempotent}
}

// journals adds up the runs of all backend servers that still live.
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

func writePromises(writer io.Writer, promises []promise) (broken int) {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	for _, promise := range promises {
		verdict := "kept"
		if promise.broken > 0 {
			verdict = fmt.Sprintf("BROKEN %d times: %s", promise.broken, promise.detail)
			broken += promise.broken
		}
		fmt.Fprintf(table, "%s\t%s\n", promise.text, verdict)
	}
	_ = table.Flush()
	return broken
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
