// Package trace finds the log lines that explain one request in the logs of all entry VMs.
package trace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// windowBefore and windowAfter limit how long before or after a request a line about its backend servers or its
	// VM counts as related: servers back off for 4 s at most, and the store counts as unavailable after 1 s.
	windowBefore = 10 * time.Second
	windowAfter  = 2 * time.Second
	// maxLineBytes is the maximum length of a log line.
	maxLineBytes = 1 << 20
)

// Event is one log line. It is immutable.
type Event struct {
	At      time.Time `json:"at"`
	VM      string    `json:"vm"`
	Message string    `json:"message"`
	// Fields has the fields of the line except time, VM, message, level, incarnation and failure domain.
	Fields map[string]any `json:"fields"`
}

// Log has the lines of the logs of several VMs.
type Log struct {
	events []Event
}

// Read adds the lines of one log. Text before the JSON of a line, such as the prefix of a log collector, and lines
// without JSON are skipped.
func (log *Log) Read(reader io.Reader) error {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		start := strings.IndexByte(scanner.Text(), '{')
		if start < 0 {
			continue
		}
		if event, isEvent := parse(scanner.Text()[start:]); isEvent {
			log.events = append(log.events, event)
		}
	}
	return eris.Wrap(scanner.Err(), "reading the log")
}

func parse(text string) (Event, bool) {
	var fields map[string]any
	if err := json.Unmarshal([]byte(text), &fields); err != nil {
		return Event{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, field(fields, "time"))
	if err != nil {
		return Event{}, false
	}
	event := Event{At: at, VM: field(fields, "vm"), Message: field(fields, "msg"), Fields: fields}
	for _, name := range []string{"time", "vm", "msg", "level", "incarnation", "failure_domain"} {
		delete(fields, name)
	}
	return event, true
}

func field(fields map[string]any, name string) string {
	text, _ := fields[name].(string)
	return text
}

// RequestEvents returns, in order of time, the lines of a request and the lines near it in which its VM changed the
// state of the servers that the request was sent to, of the store or of the configuration.
func (log *Log) RequestEvents(requestID string) []Event {
	var related, requests []Event
	for _, event := range log.events {
		if field(event.Fields, "request_id") == requestID {
			requests = append(requests, event)
		}
	}
	for _, event := range log.events {
		if slices.ContainsFunc(requests, func(request Event) bool { return isRelated(event, request, requestID) }) {
			related = append(related, event)
		}
	}
	slices.SortStableFunc(related, func(a, b Event) int { return a.At.Compare(b.At) })
	return related
}

func isRelated(event, request Event, requestID string) bool {
	if id, isRequest := event.Fields["request_id"]; isRequest {
		return id == requestID
	}
	if event.VM != request.VM || event.At.Before(request.At.Add(-windowBefore)) || event.At.After(request.At.Add(windowAfter)) {
		return false
	}
	server, concernsServer := event.Fields["server"].(string)
	if !concernsServer {
		return true
	}
	return server == field(request.Fields, "server") || strings.Contains(field(request.Fields, "tries"), server+" ")
}

// Text returns the event as one line.
func (event Event) Text() string {
	names := make([]string, 0, len(event.Fields))
	for name := range event.Fields {
		names = append(names, name)
	}
	slices.Sort(names)
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s %s", event.At.Format("15:04:05.000"), event.VM, event.Message)
	for _, name := range names {
		fmt.Fprintf(&text, " %s=%v", name, event.Fields[name])
	}
	return text.String()
}
