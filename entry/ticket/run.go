package ticket

import (
	"container/list"

	"oleandervane.example"
)

// record is the state of a request that is running or whose response is stored. The mutex of the ledger guards it.
type record struct {
	sequence uint64
	done     chan struct{}
	outcome  oleandervane.Outcome
	response Response
	bytes    int
	element  *list.Element
}

func (record *record) status() Status {
	if record.outcome == "" {
		return Status{State: Running, record: record}
	}
	return Status{State: Recorded, outcome: record.outcome, Response: record.response}
}

// Run is the permission to run the request of one ticket.
type Run struct {
	ledger *Ledger
	record *record
	ticket Ticket
}

// CheckExpiry fails with ErrTicketExpired if the ticket has expired. It must be called immediately before the first
// byte of the request is written, because the VM may have been paused since Begin.
func (run *Run) CheckExpiry() error {
	if run.ledger.clock.now() >= run.ticket.ExpiresAfter {
		return ErrTicketExpired
	}
	return nil
}

// Finish records the outcome and the response and wakes the goroutines in Wait. Only the first call has an effect, so
// that a deferred Finish with Unknown covers panics.
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
	ledger.storeResponse(record)
	close(record.done)
}

// storeResponse adds the response and evicts the oldest responses until the total size is within the bound. A response
// that is larger than the bound itself is not stored.
func (ledger *Ledger) storeResponse(record *record) {
	record.bytes = record.response.size() + responseOverheadBytes
	record.element = ledger.responses.PushBack(record)
	ledger.responseBytes += record.bytes
	for ledger.responseBytes > ledger.settings.MaxResponseBytes {
		ledger.evictOldestResponse()
	}
}

func (ledger *Ledger) evictOldestResponse() {
	oldest := ledger.responses.Remove(ledger.responses.Front()).(*record)
	ledger.responseBytes -= oldest.bytes
	delete(ledger.records, oldest.sequence)
}
