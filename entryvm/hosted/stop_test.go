package hosted

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
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
