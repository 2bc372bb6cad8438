// Command mixer is a search, not a case: servers that misbehave in the ways of the pages, odd callers and signals to VMs, all at random.
package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"oleandervane.example/review/stage"
)

func main() { stage.Main(run, map[string]string{"kigali-a": "kigali"}) }

type book struct {
	mutex    sync.Mutex
	runs     map[string]int
	statuses map[string][]int
	bodies   map[string][]string
	sent     map[string]string
	broken   []string
	counts   map[string]int
}

func (book *book) fail(format string, arguments ...any) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	book.broken = append(book.broken, fmt.Sprintf(format, arguments...))
}

func (book *book) count(what string) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	book.counts[what]++
}

func digest(parts ...string) string {
	sum := sha256.Sum256([]byte(strings.Join(parts, "\x00")))
	return hex.EncodeToString(sum[:8])
}

type instance struct {
	id   string
	book *book
	calm *atomic.Bool
}

func (instance *instance) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go instance.handle(conn.(*net.TCPConn))
	}
}

func (instance *instance) handle(conn *net.TCPConn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		request, err := http.ReadRequest(reader)
		if err != nil {
			if err != io.EOF && !strings.Contains(err.Error(), "timeout") && !strings.Contains(err.Error(), "reset") && !strings.Contains(err.Error(), "unexpected EOF") {
				instance.book.fail("instance %s got bytes that are no request: %v", instance.id, err)
			}
			return
		}
		_ = conn.SetReadDeadline(time.Time{})
		if !instance.one(conn, request) {
			return
		}
	}
}

func (instance *instance) one(conn *net.TCPConn, request *http.Request) bool {
	book := instance.book
	id := request.Header.Get("X-Request-Id")
	head := func(status int, extra string) string {
		return fmt.Sprintf("HTTP/1.1 %d X\r\nX-Request-Id: %s\r\n%s", status, id, extra)
	}
	if request.Header.Get("X-Target-Instance") != instance.id {
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, head(421, "X-Served-By: "+instance.id+"\r\nContent-Length: 0\r\n\r\n"))
		return true
	}
	mode := rand.IntN(60)
	if instance.calm.Load() {
		mode = 59
	}
	if mode == 0 || mode == 1 && request.ContentLength > 20000 {
		_, _ = io.WriteString(conn, head(503, "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"))
		_, _ = io.Copy(io.Discard, request.Body)
		return true
	}
	early := mode == 2 && request.Method == http.MethodPost
	var body []byte
	if !early {
		var err error
		if body, err = io.ReadAll(request.Body); err != nil {
			return false
		}
	}
	book.mutex.Lock()
	book.runs[id]++
	sent, known := book.sent[id]
	book.mutex.Unlock()
	want := digest(request.Method, request.RequestURI, string(body))
	if !known {
		book.fail("UNASKED: %s ran unknown id %q %s %s", instance.id, id, request.Method, request.RequestURI)
	} else if !early && sent != want {
		book.fail("UNASKED: %s ran %s changed: %s %s %d bytes", instance.id, id, request.Method, request.RequestURI, len(body))
	}
	time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
	size := 20 + rand.IntN(400)
	if rand.IntN(6) == 0 {
		size = 200000 + rand.IntN(300000)
	}
	text := id + "|" + instance.id + "|" + strings.Repeat("abcdefgh", size/8)
	status := 200
	if mode == 3 {
		status = 500
	}
	signature := "X-Response-Signature: " + digest(id, strconv.Itoa(status), text) + "\r\n"
	book.mutex.Lock()
	book.statuses[id] = append(book.statuses[id], status)
	book.bodies[id] = append(book.bodies[id], digest(text))
	book.mutex.Unlock()
	if request.Method == http.MethodHead {
		_, _ = io.WriteString(conn, head(status, signature+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(text))))
		return true
	}
	framed := head(status, signature+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(text))) + text
	switch mode {
	case 4: // answer lost
		_ = conn.SetLinger(0)
		return false
	case 5, 6: // truncated
		_, _ = io.WriteString(conn, framed[:len(framed)-1-rand.IntN(len(text)-1)])
		return false
	case 7: // chunked and truncated
		_, _ = io.WriteString(conn, head(status, signature+"Transfer-Encoding: chunked\r\n\r\n")+fmt.Sprintf("%x\r\n%s\r\n", len(text)/2, text[:len(text)/2]))
		return false
	case 8, 9, 10: // chunked
		half := len(text) / 2
		_, _ = io.WriteString(conn, head(status, signature+"Transfer-Encoding: chunked\r\n\r\n")+fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", half, text[:half], len(text)-half, text[half:]))
		return true
	case 11, 12: // unframed
		_, _ = io.WriteString(conn, head(status, signature+"Connection: close\r\n\r\n")+text)
		return false
	case 13: // unframed and reset
		_, _ = io.WriteString(conn, head(status, signature+"Connection: close\r\n\r\n")+text[:len(text)/2])
		time.Sleep(20 * time.Millisecond)
		_ = conn.SetLinger(0)
		return false
	case 14, 15, 16: // a second answer, late
		_, _ = io.WriteString(conn, framed)
		time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
		_, _ = io.WriteString(conn, framed)
		return true
	case 17: // garbage
		_, _ = io.WriteString(conn, "garbage garbage\r\n\r\n"+strings.Repeat("x", 3000))
		return false
	case 18: // interim answers
		_, _ = io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"+framed)
		return true
	case 19: // in pieces
		for i := 0; i < len(framed); i += 1 + len(framed)/7 {
			_, _ = io.WriteString(conn, framed[i:min(len(framed), i+1+len(framed)/7)])
			time.Sleep(5 * time.Millisecond)
		}
		return true
	case 20: // closes after the answer without a notice
		_, _ = io.WriteString(conn, framed)
		return false
	case 21: // trailing bytes
		_, _ = io.WriteString(conn, framed+"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc")
		return true
	}
	_, err := io.WriteString(conn, framed)
	if early {
		rest, _ := io.ReadAll(request.Body)
		if len(rest) > 0 && strings.Trim(string(rest), "xyz") != "" {
			book.fail("UNASKED: %s got other bytes as the rest of the body of %s", instance.id, id)
		}
	}
	return err == nil
}

func run(installation *stage.Stage, trouble bool) (int, error) {
	book := &book{runs: map[string]int{}, statuses: map[string][]int{}, bodies: map[string][]string{}, sent: map[string]string{}, counts: map[string]int{}}
	err := installation.Configure(1, 3, 2.6, []string{"ledger"},
		stage.Route{Name: "r-look", Prefix: "/look/", Kind: "safe", Service: "ledger", Timeout: 1.5, Attempts: 3},
		stage.Route{Name: "r-file", Prefix: "/file/", Kind: "unsafe", Service: "ledger", Timeout: 2, Attempts: 3})
	if err != nil {
		return 0, err
	}
	var calm atomic.Bool
	calm.Store(!trouble)
	for i := range 10 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 0, err
		}
		instance := &instance{id: fmt.Sprintf("i-%d", i), book: book, calm: &calm}
		go instance.serve(listener)
		entry := map[string]any{
			"service": "ledger", "address": listener.Addr().String(), "zone": "kigali-a", "version": "v1", "concurrency_limit": 9,
			"state": "ready", "warmup_left_s": 0, "sequence": 1, "born": 1774429256000,
		}
		if err := installation.Write("servers/"+instance.id, entry); err != nil {
			return 0, err
		}
	}
	for i := range 3 {
		if _, err := installation.AddVM(fmt.Sprintf("edge-kigali-a-%d", i+1), "kigali-a", true); err != nil {
			return 0, err
		}
	}
	if err := installation.WaitReady(20 * time.Second); err != nil {
		return 0, err
	}
	var wait sync.WaitGroup
	var stop atomic.Bool
	for number := range 60 {
		caller := &caller{book: book, vms: installation.VMs(), name: fmt.Sprintf("c%d", number)}
		stage.Loop(&wait, &stop, caller.step)
	}
	end := time.Now().Add(80 * time.Second)
	for time.Now().Before(end) {
		vm := installation.VMs()[rand.IntN(3)]
		switch pick := rand.IntN(5); {
		case os.Getenv("SIGNALS") == "0":
		case pick == 0:
			vm.Signal(syscall.SIGTERM, true)
		case pick == 1:
			vm.Signal(syscall.SIGKILL, true)
		case pick == 2:
			vm.Signal(syscall.SIGSTOP, false)
			time.Sleep(time.Duration(200+rand.IntN(2500)) * time.Millisecond)
			vm.Signal(syscall.SIGCONT, false)
		case pick == 3:
			vm.Signal(syscall.SIGHUP, false)
		}
		time.Sleep(time.Duration(500+rand.IntN(3000)) * time.Millisecond)
	}
	stop.Store(true)
	wait.Wait()
	time.Sleep(3 * time.Second)
	for id, runs := range book.runs {
		if strings.Contains(id, "-u") && runs > 1 {
			book.fail("TWICE: %s ran %d times", id, runs)
		}
	}
	for id := range book.sent {
		if refused := book.counts["refused "+id]; refused > 0 && book.runs[id] > 0 && strings.Contains(id, "-u") {
			book.fail("REFUSED: %s was refused and ran", id)
		}
	}
	for what, count := range book.counts {
		if !strings.HasPrefix(what, "refused ") {
			installation.Log("%s: %d", what, count)
		}
	}
	for _, text := range book.broken {
		installation.Log("%s", text)
	}
	for _, vm := range installation.VMs() {
		all, memory := vm.OwnExits()
		installation.Log("%s: starts %d, own exits %d, memory %d, peak %d", vm.ID, vm.Starts(), all, memory, vm.PeakMegabytes())
	}
	return installation.Verdict(len(book.broken) > 0, "%d findings", len(book.broken)), nil
}

type caller struct {
	book   *book
	vms    []*stage.VM
	name   string
	number int
	conn   net.Conn
	reader *bufio.Reader
}

func (caller *caller) close() {
	if caller.conn != nil {
		_ = caller.conn.Close()
		caller.conn = nil
	}
}

type pending struct {
	id, method string
}

func (caller *caller) request(method string) (text string, sent pending) {
	caller.number++
	kind, path := "s", "/look/"+strconv.Itoa(rand.IntN(20))
	var body string
	if method == http.MethodPost {
		kind, path = "u", "/file/"+strconv.Itoa(rand.IntN(20))+"%2Fx?q=1;2&r=%20|"
		if rand.IntN(2) == 0 {
			path = "/look/p?q=1"
			kind = "s"
		}
		body = strings.Repeat("xyz", rand.IntN(200))
		if rand.IntN(4) == 0 {
			body = strings.Repeat("xyz", rand.IntN(200000))
		}
	}
	id := fmt.Sprintf("%s-%s%d", caller.name, kind, caller.number)
	caller.book.mutex.Lock()
	caller.book.sent[id] = digest(method, path, body)
	caller.book.mutex.Unlock()
	text = fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Timeout-Ms: 3000\r\nCookie: X-Affinity-Key=%d\r\n", method, path, stage.Host, id, rand.IntN(20))
	switch {
	case method != http.MethodPost:
		text += "\r\n"
	case rand.IntN(2) == 0:
		text += "Transfer-Encoding: chunked\r\n\r\n"
		for len(body) > 0 {
			count := min(len(body), 1+rand.IntN(9000))
			text += fmt.Sprintf("%x\r\n%s\r\n", count, body[:count])
			body = body[count:]
		}
		text += "0\r\n\r\n"
	default:
		text += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	return text, pending{id, method}
}

func (caller *caller) step() {
	defer time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
	if caller.conn == nil {
		conn, err := net.DialTimeout("tcp", caller.vms[rand.IntN(len(caller.vms))].Front, time.Second)
		if err != nil {
			caller.book.count("connection refused")
			time.Sleep(100 * time.Millisecond)
			return
		}
		caller.conn, caller.reader = conn, bufio.NewReader(conn)
	}
	_ = caller.conn.SetDeadline(time.Now().Add(8 * time.Second))
	var batch []pending
	text := ""
	count := 1
	if rand.IntN(5) == 0 {
		count = 2 + rand.IntN(4)
	}
	for range count {
		method := []string{"GET", "GET", "POST", "POST", "HEAD"}[rand.IntN(5)]
		if count > 1 && method == "POST" {
			method = "GET"
		}
		one, sent := caller.request(method)
		text += one
		batch = append(batch, sent)
	}
	if rand.IntN(4) == 0 {
		cut := rand.IntN(len(text))
		_, _ = io.WriteString(caller.conn, text[:cut])
		time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
		text = text[cut:]
	}
	if rand.IntN(40) == 0 { // breaks off while sending
		_, _ = io.WriteString(caller.conn, text[:rand.IntN(len(text)+1)])
		caller.close()
		return
	}
	if _, err := io.WriteString(caller.conn, text); err != nil {
		caller.book.count("write failed")
		caller.close()
		return
	}
	if rand.IntN(25) == 0 { // gives up
		time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
		caller.close()
		return
	}
	for _, sent := range batch {
		if !caller.receive(sent) {
			caller.close()
			return
		}
	}
}

func (caller *caller) receive(sent pending) bool {
	book := caller.book
	response, err := http.ReadResponse(caller.reader, &http.Request{Method: sent.method})
	if err != nil {
		book.count("no answer: " + strings.Split(err.Error(), "127.0.0.1")[0])
		if strings.Contains(err.Error(), "timeout") {
			book.fail("no answer to %s in 8 s", sent.id)
		}
		if strings.Contains(err.Error(), "malformed") {
			book.fail("MIXED: bytes that are no answer for %s: %v", sent.id, err)
		}
		return false
	}
	body, err := io.ReadAll(response.Body)
	book.count("status " + strconv.Itoa(response.StatusCode))
	signature := response.Header.Get("X-Response-Signature")
	book.mutex.Lock()
	statuses, bodies := append([]int(nil), book.statuses[sent.id]...), append([]string(nil), book.bodies[sent.id]...)
	switch response.StatusCode {
	case 503, 429, 408, 421:
		book.counts["refused "+sent.id]++
	}
	book.mutex.Unlock()
	if signature != "" {
		found := false
		for _, status := range statuses {
			found = found || status == response.StatusCode
		}
		if !found {
			book.fail("MIXED: %s got signed status %d, servers gave %v", sent.id, response.StatusCode, statuses)
		}
	}
	if err != nil {
		book.count("broken off")
		return false
	}
	if response.StatusCode/100 == 2 {
		if signature == "" {
			book.fail("MIXED: %s got a success without a signature", sent.id)
		}
		found := sent.method == http.MethodHead
		for _, known := range bodies {
			found = found || known == digest(string(body))
		}
		if !found {
			book.fail("MIXED: %s got a body of %d bytes that no server gave whole: %.60q", sent.id, len(body), body)
		}
	} else if response.StatusCode >= 300 && response.StatusCode < 500 && response.StatusCode != 408 && response.StatusCode != 429 {
		book.fail("DENIED: %s got %d", sent.id, response.StatusCode)
	}
	return !response.Close
}
