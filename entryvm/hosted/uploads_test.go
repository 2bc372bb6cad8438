package hosted

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// uploadBytes is below max_body_bytes of the configuration.
	uploadBytes = 60 << 20
	// uploadTime bounds the time of one upload, and of all.
	uploadTime = 60 * time.Second
)

// zeros is a reader of zero bytes without end.
type zeros struct{}

func (zeros) Read(buffer []byte) (int, error) {
	clear(buffer)
	return len(buffer), nil
}

// upload sends a body until it is served, and returns when it was told to after each refusal. A chunked one has no length.
func upload(t *testing.T, fixture *fixture, name string, chunked bool) (refusals int) {
	for end := time.Now().Add(uploadTime); time.Now().Before(end); refusals++ {
		request := newRequest(t.Context(), t, http.MethodPost, fixture.settings.CallerAddress.String(), "/pufi/1", fmt.Sprint(name, "-", refusals), "17")
		request.Body, request.ContentLength = io.NopCloser(io.LimitReader(zeros{}, uploadBytes)), uploadBytes
		if chunked {
			request.ContentLength = -1
		}
		request.Header.Set("X-Timeout-Ms", strconv.FormatInt(uploadTime.Milliseconds(), 10))
		response, err := http.DefaultClient.Do(request)
		if !assert.Check(t, err, name) {
			return refusals
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return refusals
		}
		assert.Check(t, response.StatusCode == http.StatusServiceUnavailable, "%s: status %d", name, response.StatusCode)
		seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		assert.Check(t, err)
		time.Sleep(time.Duration(seconds * float64(time.Second)))
	}
	t.Errorf("%s is not served after %d refusals", name, refusals)
	return refusals
}

// ownProcess is set in the environment of a test that runs in a process of its own.
const ownProcess = "OLEANDERVANE_TEST_IN_OWN_PROCESS"

// runInOwnProcess runs the test again in a process of its own, and returns false there. The VMs of other tests run until their process
// ends, and would count as memory of the VM of this test.
func runInOwnProcess(t *testing.T) bool {
	t.Helper()
	if os.Getenv(ownProcess) != "" {
		return false
	}
	command := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^"+t.Name()+"$", "-test.v")
	command.Env = append(os.Environ(), ownProcess+"=1")
	output, err := command.CombinedOutput()
	t.Logf("%s", output)
	assert.NilError(t, err)
	return true
}

// Guards against a VM that exceeds its memory because of request bodies that the configuration allows, with which all requests that it
// has accepted end, and against uploads that are refused forever or run twice.
func TestUploadsDoNotFillMemory(t *testing.T) {
	if runInOwnProcess(t) {
		return
	}
	backend := newBackend(t)
	fixture := newFixture(t, backend)
	var served atomic.Int64
	backend.respondWith(func(writer http.ResponseWriter, request *http.Request) {
		if count, err := io.Copy(io.Discard, request.Body); err == nil && count == uploadBytes {
			served.Add(1)
		}
		writer.Header().Set("X-Response-Signature", "m")
	})
	fixture.allowTime(t)
	bound := uint64(memoryShare * float64(fixture.settings.MemoryMegabytes) * megabyte)
	for _, count := range []int{1, 8} {
		served.Store(0)
		var uploads sync.WaitGroup
		var refusals atomic.Int64
		for number := range count {
			uploads.Go(func() {
				refusals.Add(int64(upload(t, fixture, fmt.Sprintf("upload-%d-%d", count, number), number%4 == 3)))
			})
		}
		ended := make(chan struct{})
		go func() { uploads.Wait(); close(ended) }()
		peak := uint64(0)
		for round, running := 0, true; running; round++ {
			status, _, _ := fixture.send(t, http.MethodGet, "/lohu/1", fmt.Sprint("look-", count, "-", round))
			assert.Check(t, status == http.StatusOK, "status %d of a look-up", status)
			select {
			case <-ended:
				running = false
			case <-time.After(20 * time.Millisecond):
			}
			var memory runtime.MemStats
			runtime.ReadMemStats(&memory)
			peak = max(peak, memory.HeapInuse)
		}
		t.Logf("%d uploads, %d refusals, %d MiB of heap at most", count, refusals.Load(), peak>>20)
		assert.Assert(t, peak < bound, "%d uploads take %d MiB of heap, %d are allowed", count, peak>>20, bound>>20)
		assert.Equal(t, served.Load(), int64(count))
	}
}
