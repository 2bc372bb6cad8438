package hosted

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

const (
	// endlessCallers is the number of callers whose requests reach the faulty server at the same time.
	endlessCallers = 300
	// endlessGrowth is half of the memory of the smallest VM.
	endlessGrowth = 103 << 20
	// pieceBytes is the size of one write of the faulty server.
	pieceBytes = 32 << 10
)

// newEndlessServer returns the address of a server that sends bytes without end, and the number of its open connections.
func newEndlessServer(t *testing.T, first, rest string) (address string, open *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	open = &atomic.Int64{}
	piece := []byte(strings.Repeat(rest, pieceBytes/len(rest)))
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			open.Add(1)
			go func() {
				defer open.Add(-1)
				defer conn.Close()
				if _, err := bufio.NewReader(conn).ReadByte(); err != nil {
					return
				}
				_, err := conn.Write([]byte(first))
				for err == nil {
					_, err = conn.Write(piece)
				}
			}()
		}
	}()
	return listener.Addr().String(), open
}

// Guards against a VM that keeps what a faulty server sends without end, whose memory fills, and with which the requests of other
// callers end. The callers of the endless responses read nothing.
func TestEndlessBytesOfServersDoNotFillMemory(t *testing.T) {
	text, err := os.ReadFile("testdata/endless-bytes.toml")
	assert.NilError(t, err)
	var table struct {
		Cases []struct{ Name, First, Rest string } `toml:"case"`
	}
	assert.NilError(t, toml.Unmarshal(text, &table))
	for _, endlessCase := range table.Cases {
		t.Run(endlessCase.Name, func(t *testing.T) {
			fixture := newFixture(t, newBackend(t))
			address, open := newEndlessServer(t, endlessCase.First, endlessCase.Rest)
			fixture.write(t, "servers/faulty", fmt.Sprintf(`{"service":"reports","address":%q,"zone":"kigali-a","concurrency_limit":1000,"state":"ready"}`, address))
			configuration, err := os.ReadFile("testdata/configuration.json")
			assert.NilError(t, err)
			fixture.write(t, "op/config", strings.NewReplacer(`"r7"`, `"r8"`, `{"service": "ledger", "weight": 50}, `, "").Replace(string(configuration)))
			time.Sleep(time.Second)
			runtime.GC()
			var memory runtime.MemStats
			runtime.ReadMemStats(&memory)
			before, peak := memory.HeapInuse, uint64(0)
			var callers sync.WaitGroup
			for number := range endlessCallers {
				callers.Go(func() { sendWithoutReading(t, fixture, fmt.Sprint("endless-", number)) })
			}
			for round := range 30 {
				startedAt := time.Now()
				status, _, _ := fixture.send(t, http.MethodGet, "/lohu/1", fmt.Sprint("other-", round))
				assert.Check(t, status == http.StatusOK, "status %d of another caller after %v", status, time.Since(startedAt))
				runtime.ReadMemStats(&memory)
				peak = max(peak, memory.HeapInuse)
				time.Sleep(50 * time.Millisecond)
			}
			callers.Wait()
			t.Logf("the heap grew by %d KiB at most", (max(peak, before)-before)>>10)
			assert.Check(t, peak < before+endlessGrowth, "the heap grew by %d bytes", peak-before)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if count := open.Load(); count > 0 {
					return poll.Continue("%d connections are open", count)
				}
				return poll.Success()
			})
		})
	}
}

// sendWithoutReading sends a request and closes the connection without having read any of the response.
func sendWithoutReading(t *testing.T, fixture *fixture, id string) {
	conn, err := net.Dial("tcp", fixture.settings.CallerAddress.String())
	if !assert.Check(t, err) {
		return
	}
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /parted/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %s\r\nX-Timeout-Ms: 2000\r\nContent-Length: 0\r\n\r\n", id)
	assert.Check(t, err)
	time.Sleep(1500 * time.Millisecond)
}
