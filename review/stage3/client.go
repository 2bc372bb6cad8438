package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// head returns the head of a request about an object of its own, as clients send it.
func head(method, target, id string, timeLimit time.Duration, bodyBytes int) string {
	return headAbout(id, method, target, id, timeLimit, bodyBytes)
}

func headAbout(object, method, target, id string, timeLimit time.Duration, bodyBytes int) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nCookie: X-Affinity-Key=%s\r\nX-Timeout-Ms: %d\r\n", method, target, host, id, object, timeLimit.Milliseconds())
	if method != http.MethodGet {
		text += fmt.Sprintf("Content-Length: %d\r\n", bodyBytes)
	}
	return text + "\r\n"
}

// result is what a client saw. Status is 0 if the connection ended without a whole answer.
type result struct {
	status int
	body   string
	// leaving says that the answer has Server-Leaving.
	leaving bool
	err     error
}

// send sends one request about an object of its own, on a connection of its own.
func (vm *vm) send(method, target, id string, timeLimit time.Duration, body string) result {
	return vm.sendAbout(id, method, target, id, timeLimit, body)
}

func (vm *vm) sendAbout(object, method, target, id string, timeLimit time.Duration, body string) result {
	conn, err := net.DialTimeout("tcp", vm.caller.String(), time.Second)
	if err != nil {
		return result{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(timeLimit))
	if _, err := io.WriteString(conn, headAbout(object, method, target, id, timeLimit, len(body))+body); err != nil {
		return result{err: err}
	}
	return read(bufio.NewReader(conn))
}

// read reads one answer.
func read(reader *bufio.Reader) result {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return result{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return result{err: err}
	}
	return result{status: response.StatusCode, body: string(body), leaving: response.Header.Get("Server-Leaving") != ""}
}

func (result result) String() string {
	if result.err != nil {
		return "no whole answer: " + strings.ReplaceAll(result.err.Error(), "\n", " ")
	}
	return fmt.Sprintf("status %d", result.status)
}

// keptConn is a connection that its client uses for one request after the other.
type keptConn struct {
	vm     *vm
	conn   net.Conn
	reader *bufio.Reader
	// answered is set after the first answer.
	answered bool
}

func (keptConn *keptConn) send(method, target, id string, timeLimit time.Duration, body string) result {
	if keptConn.conn == nil {
		conn, err := net.DialTimeout("tcp", keptConn.vm.caller.String(), time.Second)
		if err != nil {
			return result{err: err}
		}
		keptConn.conn, keptConn.reader = conn, bufio.NewReader(conn)
	}
	_ = keptConn.conn.SetDeadline(time.Now().Add(timeLimit))
	if _, err := io.WriteString(keptConn.conn, head(method, target, id, timeLimit, len(body))+body); err != nil {
		return result{err: err}
	}
	answer := read(keptConn.reader)
	keptConn.answered = answer.err == nil
	return answer
}
