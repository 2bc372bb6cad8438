package ticket

import (
	"container/list"

	"oleandervane.example"
)

// record is kept of a request that runs, and of one whose response is kept. The ledger's mutex guards it.
type record struct {
	sequence uint64
	done     chan struct{}
	outcome  oleandervane.Outcome
	response Response
	bytes    int
	element  *list.Element
}

func (record *record) answer() Answer {
	if record.outcome == "" {
		return Answer{State: Running, record: record}
	}
	return Answer{State: Recorded, outcome: record.outcome, Response: record.response}
}

// Run is the permission to run the request of one ticket.
type Run struct {
	ledger *Ledger
	record *record
	ticket Ticket
}

// CheckExpiry fails with ErrTicketExpired when the ticket has expired. It is called immediately before the first
// byte is written, because the VM may have been paused since Begin.
func (run *Run) CheckExpiry() error {
	if run.ledger.clock.now() >= run.ticket.ExpiresAfter {
		return ErrTicketExpired
	}
	return nil
}

// Finish records the outcome and the response and wakes those that wait. Only the first call has an effect, so
// that a deferred Finish with Unknown covers a panic.
func (run *Run) Finish(outcome oleandervane.Outcome, response Response) {
	ledger := run.ledger
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	record := run.record
	if record.outcome != "" {
		return
	}
	record.outcome = outcome
	record.response = response
	ledger.marks.set(record.sequence, markOf(outcome))
	ledger.keep(record)
	close(record.done)
}

// keep counts the response against the bound and drops the oldest responses until all fit. A response that is
// larger than the bound itself is not kept.
func (ledger *Ledger) keep(record *record) {
	record.bytes = record.response.size() + responseOverheadBytes
	record.element = ledger.kept.PushBack(record)
	ledger.responseBytes += record.bytes
	for ledger.responseBytes > ledger.settings.MaxResponseBytes {
		ledger.dropOldestResponse()
	}
}

func (ledger *Ledger) dropOldestResponse() {
	oldest := ledger.kept.Remove(ledger.kept.Front()).(*record)
	ledger.responseBytes -= oldest.bytes
	delete(ledger.records, oldest.sequence)
}
