package hosted

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"

	"oleandervane.example/entryvm/settingsfile"
)

// stopLoad is a group of callers that send requests to a VM until it accepts no more connections.
type stopLoad struct {
	address string
	pause   time.Duration
	group   sync.WaitGroup
	// answered counts complete responses, unanswered counts requests that were sent completely and got none.
	answered, unanswered atomic.Int64
	// connected counts connections, reset counts those that were reset before any response.
	connected, reset atomic.Int64
	// closedBeforeRead counts requests on a reused connection that was closed before the VM read them.
	closedBeforeRead atomic.Int64
	faults           sync.Map
}

// call runs one caller, which sends the given number of requests at a time.
func (load *stopLoad) call(number, pipelined int) {
	for round := 0; ; round++ {
		conn, err := net.Dial("tcp", load.address)
		if err != nil {
			return
		}
		load.connected.Add(1)
		load.use(conn, fmt.Sprintf("%d-%d", number, round), pipelined)
		_ = conn.Close()
	}
}

// use sends requests on a connection until the VM closes it.
func (load *stopLoad) use(conn net.Conn, name string, pipelined int) {
	reader := bufio.NewReader(conn)
	for batch := 0; ; batch++ {
		text := ""
		for position := range pipelined {
			text += fmt.Sprintf("GET /lohu/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %s-%d-%d\r\nX-Timeout-Ms: 3000\r\n\r\n", name, batch, position)
		}
		if _, err := io.WriteString(conn, text); err != nil {
			// The first write fails when the connection was reset before the VM accepted it.
			if batch == 0 {
				load.reset.Add(1)
			} else {
				load.closedBeforeRead.Add(1)
			}
			return
		}
		for position := range pipelined {
			response, err := http.ReadResponse(reader, nil)
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
			}
			if err != nil {
				// Requests after a response that closes the connection count as not read.
				if batch == 0 && position == 0 && errors.Is(err, syscall.ECONNRESET) {
					load.reset.Add(1)
				} else if batch > 0 && position == 0 && (errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)) {
					load.closedBeforeRead.Add(1)
				} else {
					load.unanswered.Add(1)
					load.faults.Store(err.Error(), fmt.Sprintf("batch %d, request %d", batch, position))
				}
				return
			}
			load.answered.Add(1)
			if response.Close {
				return
			}
		}
		time.Sleep(load.pause)
	}
}

// maxReset is the number of callers that may connect just when the listener closes: a tenth of them.
const maxReset = 2

// A planned stop under load: callers open connections, keep them and send several requests at a time while the VM drains.
// Guards against accepted requests that get no response.
func TestPlannedStopAnswersAcceptedRequests(t *testing.T) {
	backends := []*backend{newBackend(t), newBackend(t), newBackend(t)}
	fixture := newFixture(t, backends...)
	for _, backend := range backends {
		backend.respondWith(func(writer http.ResponseWriter, _ *http.Request) {
			time.Sleep(2 * time.Millisecond)
			writer.Header().Set("X-Response-Signature", "m")
			_, _ = io.WriteString(writer, "answer")
		})
	}
	load := &stopLoad{address: fixture.settings.CallerAddress.String(), pause: 0}
	for number := range 24 {
		load.group.Go(func() { load.call(number, 1+number%3) })
	}
	time.Sleep(500 * time.Millisecond)
	before := load.answered.Load()
	assert.Assert(t, before > 50, "%d responses before the stop", before)
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	load.group.Wait()
	load.faults.Range(func(fault, where any) bool { t.Log(fault, where); return true })
	t.Logf("%d responses, %d of them while the VM drained, %d requests were not read before their connection was closed", load.answered.Load(), load.answered.Load()-before, load.closedBeforeRead.Load())
	assert.Assert(t, load.answered.Load() > 2*before, "the VM did not serve while it drained")
	assert.Equal(t, load.unanswered.Load(), int64(0))
	// The operating system resets connections that arrive while the listener is closed. The VM never accepted them.
	accepted := fixture.entryVM.callerListener.Load().Accepted()
	assert.Equal(t, load.connected.Load()-accepted, load.reset.Load(), "%d of %d connections were accepted", accepted, load.connected.Load())
	assert.Assert(t, load.reset.Load() <= maxReset, "%d connections were reset", load.reset.Load())
}

// lateCase is a case of testdata/requests-during-a-stop.toml, which explains the fields.
type lateCase struct {
	Name   string                `toml:"name"`
	Method string                `toml:"method"`
	Path   string                `toml:"path"`
	Sent   settingsfile.Duration `toml:"sent"`
	Run    settingsfile.Duration `toml:"run"`
	WarmUp bool                  `toml:"warm_up"`
	Status int                   `toml:"status"`
	Runs   int64                 `toml:"runs"`
}

// warmUpRounds is how often the request of warm_up is sent.
const warmUpRounds = 2

// allowTime gives the requests of all routes 20 s.
func (fixture *fixture) allowTime(t *testing.T) {
	configuration, err := os.ReadFile("testdata/configuration.json")
	assert.NilError(t, err)
	text := strings.NewReplacer(`"r7"`, `"r8"`, `"timeout_s": 2,`, `"timeout_s": 20,`, `"timeout_s": 1.5,`, `"timeout_s": 20,`).Replace(string(configuration))
	fixture.write(t, "op/config", text)
	time.Sleep(time.Second)
}

// newFixture starts a VM with a server, and has it serve the requests of warm_up.
func (lateCase lateCase) newFixture(t *testing.T) (*fixture, *backend) {
	backend := newBackend(t)
	backend.respondWith(func(writer http.ResponseWriter, request *http.Request) {
		backend.runs.Add(1)
		select {
		case <-time.After(time.Duration(lateCase.Run)):
		case <-request.Context().Done():
		}
		writer.Header().Set("X-Response-Signature", "m")
	})
	fixture := newFixture(t, backend)
	fixture.allowTime(t)
	if lateCase.WarmUp {
		for round := range warmUpRounds {
			status, _ := lateCase.send(t, fixture, fmt.Sprint("warm-", round))
			assert.Equal(t, status, http.StatusOK)
		}
	}
	backend.runs.Store(0)
	return fixture, backend
}

// send sends the request and returns the status of the response, or 0 if there was no complete one, and how long it took.
func (lateCase lateCase) send(t *testing.T, fixture *fixture, id string) (status int, took time.Duration) {
	request := newRequest(t.Context(), t, lateCase.Method, fixture.settings.CallerAddress.String(), lateCase.Path, id, "17")
	request.Header.Set("X-Timeout-Ms", "20000")
	request.Close = true
	startedAt := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Log(lateCase.Name, err)
		return 0, time.Since(startedAt)
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	assert.Check(t, err)
	return response.StatusCode, time.Since(startedAt)
}

// Guards against requests of a planned stop that are cut without a response when the process ends, and against late ones that are sent to
// a server although the VM ends before they can be answered.
func TestRequestsDuringAStopAreAnsweredOrRefused(t *testing.T) {
	text, err := os.ReadFile("testdata/requests-during-a-stop.toml")
	assert.NilError(t, err)
	var table struct {
		Cases []lateCase `toml:"case"`
	}
	assert.NilError(t, toml.Unmarshal(text, &table))
	var prepared, sent sync.WaitGroup
	stopAt := make(chan struct{})
	var signalAt time.Time
	for _, lateCase := range table.Cases {
		prepared.Add(1)
		sent.Go(func() {
			fixture, backend := lateCase.newFixture(t)
			prepared.Done()
			<-stopAt
			time.Sleep(time.Until(signalAt.Add(time.Duration(lateCase.Sent))))
			status, took := lateCase.send(t, fixture, lateCase.Name)
			assert.Check(t, status == lateCase.Status, "%s: status %d after %v", lateCase.Name, status, took)
			ended := time.Since(signalAt)
			assert.Check(t, ended < time.Duration(fixture.settings.StopLimit), "%s: response %v after the signal", lateCase.Name, ended)
			assert.Check(t, backend.runs.Load() == lateCase.Runs, "%s: %d runs", lateCase.Name, backend.runs.Load())
			if lateCase.Status == http.StatusServiceUnavailable {
				assert.Check(t, took < time.Second, "%s: refused after %v", lateCase.Name, took)
			}
		})
	}
	prepared.Wait()
	signalAt = time.Now().Add(time.Second)
	close(stopAt)
	time.Sleep(time.Until(signalAt))
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	sent.Wait()
}
