package ticket

import (
	"container/list"
	"context"
	"crypto/hmac"
	"crypto/rand"
	"errors"
	"sync"
	"time"

	"oleandervane.example"
)

const (
	// DefaultLifetime covers the time in which a caller prepares its request, plus the longest deadline of a kind.
	DefaultLifetime = 2 * time.Minute
	// DefaultRetention is how long the mark of an expired ticket is kept, so that late queries can still return an
	// outcome other than unknown.
	DefaultRetention = 10 * time.Minute
	// DefaultMaxResponseBytes bounds the total size of all stored responses.
	DefaultMaxResponseBytes = 64 << 20
	// DefaultMaxTickets bounds the number of sequence numbers with a mark. With two bits each, 16 Mi of them use 4 MiB.
	DefaultMaxTickets = 16 << 20
	// responseOverheadBytes is the size of a record without its response, which counts toward the bound as well.
	responseOverheadBytes = 256
)

var (
	// ErrTooManyTickets means that the ledger has reached its limit of marks. It issues no tickets until some of them
	// expire.
	ErrTooManyTickets = errors.New("too many tickets have not expired")
	// ErrTicketExpired means that a ticket expired after its request was admitted and before the request was written.
	ErrTicketExpired = errors.New("the ticket expired before the request was written")
)

// Settings are the settings of a Ledger. Defaults apply to zero values.
type Settings struct {
	VM               oleandervane.VMID
	Incarnation      oleandervane.Incarnation
	Lifetime         time.Duration
	Retention        time.Duration
	MaxResponseBytes int
	MaxTickets       uint64
}

func (settings Settings) withDefaults() Settings {
	if settings.Lifetime == 0 {
		settings.Lifetime = DefaultLifetime
	}
	if settings.Retention == 0 {
		settings.Retention = DefaultRetention
	}
	if settings.MaxResponseBytes == 0 {
		settings.MaxResponseBytes = DefaultMaxResponseBytes
	}
	if settings.MaxTickets == 0 {
		settings.MaxTickets = DefaultMaxTickets
	}
	return settings
}

// Ledger issues the tickets of one incarnation and records the outcomes of their requests. Its key and its records are
// only in memory and are lost when the process ends. It is safe for concurrent use.
type Ledger struct {
	settings Settings
	key      []byte
	clock    interface{ now() time.Duration }

	mutex         sync.Mutex
	next          uint64
	marks         markTable
	records       map[uint64]*record
	responses     *list.List // of *record, with the oldest response first
	responseBytes int
}

// NewLedger returns a ledger with a new random key.
func NewLedger(settings Settings, timerService oleandervane.TimerService) *Ledger {
	return &Ledger{
		settings:  settings.withDefaults(),
		key:       []byte(rand.Text()),
		clock:     newClock(timerService),
		marks:     newMarkTable(),
		records:   map[uint64]*record{},
		responses: list.New(),
	}
}

// Issue returns the text of a new ticket. It fails with ErrTooManyTickets or ErrNameTooLong.
func (ledger *Ledger) Issue(serviceName oleandervane.ServiceName, kindName oleandervane.KindName) (string, error) {
	if max(len(ledger.settings.VM), len(serviceName), len(kindName)) > maxNameBytes {
		return "", ErrNameTooLong
	}
	sequence, expiresAfter, err := ledger.nextSequence()
	if err != nil {
		return "", err
	}
	ticket := Ticket{
		VM:           ledger.settings.VM,
		Incarnation:  ledger.settings.Incarnation,
		Sequence:     sequence,
		Service:      serviceName,
		Kind:         kindName,
		ExpiresAfter: expiresAfter,
	}
	return ticket.encode(ledger.key), nil
}

func (ledger *Ledger) nextSequence() (sequence uint64, expiresAfter time.Duration, err error) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	now := ledger.clock.now()
	ledger.marks.evictExpired(now-ledger.settings.Retention, ledger.next)
	if ledger.next-ledger.marks.floor >= ledger.settings.MaxTickets {
		return 0, 0, ErrTooManyTickets
	}
	sequence = ledger.next
	ledger.next++
	expiresAfter = now + ledger.settings.Lifetime
	ledger.marks.recordIssued(sequence, expiresAfter)
	return sequence, expiresAfter, nil
}

// Begin requests permission to run the request of a ticket. With the status Fresh, it returns a run, and the sequence
// number is marked as used. With any other status, the run is nil and the request must not run.
func (ledger *Ledger) Begin(text string, serviceName oleandervane.ServiceName, kindName oleandervane.KindName) (Status, *Run) {
	ticket, state := ledger.verify(text)
	if state != Unused {
		return Status{State: state}, nil
	}
	if ticket.Service != serviceName || ticket.Kind != kindName {
		return Status{State: Foreign}, nil
	}
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	status := ledger.lookUp(ticket)
	if status.State != Unused {
		return status, nil
	}
	ledger.marks.set(ticket.Sequence, markUsed)
	record := &record{sequence: ticket.Sequence, done: make(chan struct{})}
	ledger.records[ticket.Sequence] = record
	return Status{State: Fresh}, &Run{ledger: ledger, record: record, ticket: ticket}
}

// Query returns the state of a ticket without changing it.
func (ledger *Ledger) Query(text string) Status {
	ticket, state := ledger.verify(text)
	if state != Unused {
		return Status{State: state}
	}
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	return ledger.lookUp(ticket)
}

// Revoke makes an unused ticket unusable and records the outcome NotRun for it. It does not change a ticket that was
// used before, and returns its state.
func (ledger *Ledger) Revoke(text string) Status {
	ticket, state := ledger.verify(text)
	if state != Unused {
		return Status{State: state}
	}
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	status := ledger.lookUp(ticket)
	if status.State != Unused {
		return status
	}
	ledger.marks.set(ticket.Sequence, markNotRun)
	return Status{State: Recorded, outcome: oleandervane.NotRun}
}

// Wait waits until the request of a Running status has an outcome, or until ctx ends, and returns the status at that
// time. It returns other statuses unchanged.
func (ledger *Ledger) Wait(ctx context.Context, status Status) Status {
	if status.State != Running {
		return status
	}
	select {
	case <-ctx.Done():
		return status
	case <-status.record.done:
	}
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	return status.record.status()
}

// verify returns the ticket and Unused if this incarnation issued it. A ticket of this incarnation with a different MAC
// is Foreign, not Malformed, because a predecessor with the same incarnation number may have issued it and run its
// request.
func (ledger *Ledger) verify(text string) (Ticket, State) {
	ticket, body, code, err := decode(text)
	if err != nil {
		return Ticket{}, Malformed
	}
	if ticket.VM != ledger.settings.VM || ticket.Incarnation != ledger.settings.Incarnation {
		return Ticket{}, Foreign
	}
	if !hmac.Equal(code, authenticationCode(ledger.key, body)) {
		return Ticket{}, Foreign
	}
	return ticket, Unused
}

// lookUp returns the state of a verified ticket. The mutex must be locked. The clock is read with the mutex locked, so
// that no other goroutine evicts the mark between reading the clock and looking up the mark.
func (ledger *Ledger) lookUp(ticket Ticket) Status {
	if record := ledger.records[ticket.Sequence]; record != nil {
		return record.status()
	}
	if ticket.Sequence < ledger.marks.floor {
		return Status{State: Forgotten}
	}
	if mark := ledger.marks.get(ticket.Sequence); mark != markUnused {
		return Status{State: Recorded, outcome: mark.outcome()}
	}
	if ledger.clock.now() >= ticket.ExpiresAfter {
		return Status{State: Expired}
	}
	return Status{State: Unused}
}
