package installation

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Sent is a request of a caller and its answer.
type Sent struct {
	RequestID string
	VM        string
	At        time.Time
	// Status is 0 if the connection ended without an answer.
	Status     int
	Body       string
	Leaving    bool
	Signed     bool
	AnsweredAt time.Time
}

// Callers send requests and keep what came of them.
type Callers struct {
	record *Record
	client *http.Client
	number atomic.Uint64

	mutex sync.Mutex
	sent  []Sent
}

// NewCallers returns callers that open a connection for each request.
func NewCallers(record *Record) *Callers {
	return &Callers{record: record, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
}

// Send sends a request to a VM and waits for its answer.
func (callers *Callers) Send(vm *VM, method, path, body string, timeLimit time.Duration) Sent {
	return callers.SendBody(vm, method, path, strings.NewReader(body), int64(len(body)), timeLimit)
}

// SendBody does the same with a body of a length that is read while it is sent.
func (callers *Callers) SendBody(vm *VM, method, path string, body io.Reader, length int64, timeLimit time.Duration) Sent {
	sent := Sent{RequestID: fmt.Sprintf("c-%d", callers.number.Add(1)), VM: vm.ID, At: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), timeLimit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+vm.Caller.String()+path, body)
	if err != nil {
		return sent
	}
	request.Host, request.ContentLength = Host, length
	request.Header.Set("X-Request-Id", sent.RequestID)
	request.Header.Set("X-Timeout-Ms", strconv.FormatInt(timeLimit.Milliseconds(), 10))
	callers.record.Add("sent     %s to %s: %s %s", sent.RequestID, vm.ID, method, path)
	response, err := callers.client.Do(request)
	if err == nil {
		text, bodyErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err = bodyErr; err == nil {
			sent.Status, sent.Body = response.StatusCode, string(text)
		}
		sent.Leaving, sent.Signed = response.Header.Get("Server-Leaving") != "", response.Header.Get("X-Response-Signature") != ""
	}
	sent.AnsweredAt = time.Now()
	if err != nil {
		callers.record.Add("broken   %s from %s: %v", sent.RequestID, vm.ID, err)
	} else {
		callers.record.Add("answered %s from %s: %d leaving=%t", sent.RequestID, vm.ID, sent.Status, sent.Leaving)
	}
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	callers.sent = append(callers.sent, sent)
	return sent
}

// All returns a copy of what was sent.
func (callers *Callers) All() []Sent {
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	return append([]Sent(nil), callers.sent...)
}

// Keep sends requests, one in each interval, until the context ends. The returned function waits for the last one.
func (callers *Callers) Keep(ctx context.Context, interval time.Duration, send func()) (wait func()) {
	var pending sync.WaitGroup
	pending.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				pending.Go(send)
			}
		}
	})
	return pending.Wait
}

// Route returns the route of a configuration.
func Route(name, prefix, kind, service string, timeLimit time.Duration) string {
	return fmt.Sprintf(`{"resource_type":"routes","metadata":{"name":%q},"spec":{"host":%q,"prefix":%q,"route_type":%q,"timeout_s":%v,"target_latency_s":0.6,"priority":1,"service":%q,"max_attempts":2,"sticky":false}}`,
		name, Host, prefix, kind, timeLimit.Seconds(), service)
}

// Service returns the service of a configuration.
func Service(name string) string {
	return fmt.Sprintf(`{"resource_type":"services","metadata":{"name":%q},"spec":{"health_path":"/healthz","max_connections":660,"slow_start_s":3,"cold_per_s":2.6}}`, name)
}

// Configuration returns a configuration.
func Configuration(version int, resources ...string) string {
	return fmt.Sprintf(`{"version":"r%d","resources":[%s,{"resource_type":"limits","metadata":{"name":"limits"},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}]}`,
		version, strings.Join(resources, ","))
}
