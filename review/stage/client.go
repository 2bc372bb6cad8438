package stage

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Result is the outcome of one client attempt.
type Result struct {
	ID, VM, Method, Path string
	// Kept says that the connection had carried a request before.
	Kept         bool
	Sent, Ended  time.Time
	Status       int
	Signature    string
	Err          error
	RequestWhole bool
}

// Complete reports whether a whole answer arrived.
func (result Result) Complete() bool { return result.Err == nil }

// Client sends requests one after the other on one kept connection and never sends one twice.
type Client struct {
	Name, Zone string
	// Stay keeps an open connection although the directory no longer names its address.
	Stay bool
	// NoObject leaves out the cookie that names the object of the requests; otherwise it is the name of the client.
	NoObject bool
	// Fixed is an address that the client uses without asking the directory.
	Fixed string

	stage *Stage
	// Prefer are the VMs whose directory the client asks, nearest first.
	prefer    []*VM
	addresses []string
	validTo   time.Time
	failed    map[string]time.Time
	conn      net.Conn
	reader    *bufio.Reader
	address   string
	used      bool
	number    int
}

// NewClient returns a client that asks the directories of the VMs in the order given.
func (stage *Stage) NewClient(name, zone string, prefer ...*VM) *Client {
	return &Client{Name: name, Zone: zone, stage: stage, prefer: prefer, failed: map[string]time.Time{}}
}

// Close closes the connection.
func (client *Client) Close() {
	if client.conn != nil {
		_ = client.conn.Close()
		client.conn = nil
	}
}

// failedPeriod is how long a client avoids an address that has failed it.
const failedPeriod = 5 * time.Second

// resolve returns a random address among those of the directory that have not failed the client lately.
func (client *Client) resolve() string {
	if client.Fixed != "" {
		return client.Fixed
	}
	if time.Now().After(client.validTo) {
		for _, vm := range client.prefer {
			if found := vm.Resolve(client.stage.Zones[client.Zone], client.Zone); len(found) > 0 {
				client.addresses, client.validTo = found, time.Now().Add(2*time.Second)
				break
			}
		}
	}
	var usable []string
	for _, address := range client.addresses {
		if time.Since(client.failed[address]) > failedPeriod {
			usable = append(usable, address)
		}
	}
	if len(usable) == 0 {
		return ""
	}
	return usable[rand.IntN(len(usable))]
}

// connect opens a connection unless one is open to an address that the directory still names.
func (client *Client) connect() error {
	address := client.resolve()
	if client.conn != nil {
		if client.Stay || slices.Contains(client.addresses, client.address) {
			return nil
		}
		client.Close()
	}
	if address == "" {
		return fmt.Errorf("no address")
	}
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		client.failed[address] = time.Now()
		return err
	}
	client.conn, client.reader, client.address, client.used = conn, bufio.NewReader(conn), address, false
	return nil
}

// Send sends one request and reads its answer. bytesPerSecond limits the rate of the body; zero does not.
func (client *Client) Send(method, path string, body int64, limit time.Duration, bytesPerSecond int64) Result {
	client.number++
	result := Result{ID: fmt.Sprintf("%s-%d", client.Name, client.number), Method: method, Path: path, Sent: time.Now()}
	if err := client.connect(); err != nil {
		result.Err, result.Ended = err, time.Now()
		return result
	}
	result.VM, result.Kept, client.used = client.address, client.used, true
	_ = client.conn.SetDeadline(time.Now().Add(limit + 500*time.Millisecond))
	if method == http.MethodGet {
		body = 0
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Timeout-Ms: %d\r\n", method, path, Host, result.ID, limit.Milliseconds())
	if !client.NoObject {
		head += fmt.Sprintf("Cookie: X-Affinity-Key=%s\r\n", client.Name)
	}
	if method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", body)
	}
	_, err := io.WriteString(client.conn, head+"\r\n")
	if err == nil {
		err = writeBody(client.conn, body, bytesPerSecond)
	}
	result.RequestWhole = err == nil
	var response *http.Response
	if err == nil {
		response, err = http.ReadResponse(client.reader, &http.Request{Method: method})
	}
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		result.Status, result.Signature = response.StatusCode, response.Header.Get("X-Response-Signature")
	}
	result.Err, result.Ended = err, time.Now()
	if err != nil || response.Close {
		client.Close()
	}
	return result
}

func writeBody(writer io.Writer, size, bytesPerSecond int64) error {
	const piece = 256 << 10
	block := []byte(strings.Repeat("x", piece))
	started, sent := time.Now(), int64(0)
	for sent < size {
		count, err := writer.Write(block[:min(piece, size-sent)])
		sent += int64(count)
		if err != nil {
			return err
		}
		if bytesPerSecond > 0 {
			time.Sleep(time.Until(started.Add(time.Duration(float64(sent) / float64(bytesPerSecond) * float64(time.Second)))))
		}
	}
	return nil
}

// Results collects the results of several clients.
type Results struct {
	mutex sync.Mutex
	list  []Result
}

// Add adds a result.
func (results *Results) Add(result Result) {
	results.mutex.Lock()
	defer results.mutex.Unlock()
	results.list = append(results.list, result)
}

// List returns the results so far.
func (results *Results) List() []Result {
	results.mutex.Lock()
	defer results.mutex.Unlock()
	return append([]Result(nil), results.list...)
}

// Loop runs step until stop is set.
func Loop(wait *sync.WaitGroup, stop *atomic.Bool, step func()) {
	wait.Go(func() {
		for !stop.Load() {
			step()
		}
	})
}
