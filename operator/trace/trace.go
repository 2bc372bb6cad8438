// Package trace tells the story of one request from the logs of all entry VMs.
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
	// before and after are the times around a request in which lines about its backend servers and its VM belong to
	// its story: servers rest for 4 s at most, and the store counts as away after 1 s.
	before = 10 * time.Second
	after  = 2 * time.Second
	// maxLineBytes bounds a log line.
	maxLineBytes = 1 << 20
)

// Event is one line of the story. It is immutable.
type Event struct {
	At      time.Time `json:"at"`
	VM      string    `json:"vm"`
	Message string    `json:"message"`
	// Fields has the other fields of the line.
	Fields map[string]any `json:"fields"`
}

// Log is the lines of the logs of several VMs.
type Log struct {
	events []Event
}

// Read adds the lines of one log. Text before the JSON of a line, such as a prefix of a log collector, and lines
// without JSON are passed over.
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

// Story returns, in order of time, the lines about a request and, around it, those in which its VM changed what it
// believed of the servers that the request was sent to, of the store or of the configuration.
func (log *Log) Story(requestID string) []Event {
	var story, requests []Event
	for _, event := range log.events {
		if field(event.Fields, "request_id") == requestID {
			requests = append(requests, event)
		}
	}
	for _, event := range log.events {
		if slices.ContainsFunc(requests, func(request Event) bool { return belongs(event, request, requestID) }) {
			story = append(story, event)
		}
	}
	slices.SortStableFunc(story, func(a, b Event) int { return a.At.Compare(b.At) })
	return story
}

func belongs(event, request Event, requestID string) bool {
	if id, isRequest := event.Fields["request_id"]; isRequest {
		return id == requestID
	}
	if event.VM != request.VM || event.At.Before(request.At.Add(-before)) || event.At.After(request.At.Add(after)) {
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
