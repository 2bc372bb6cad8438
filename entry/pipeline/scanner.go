package pipeline

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
)

// maxHeadBytes is the size of a request's head up to which a connection is read ahead.
const maxHeadBytes = 8 << 10

var headEnd = []byte("\r\n\r\n")

// scanner finds the requests in the bytes of a connection. It accepts only heads that define unambiguously where a
// request ends, and stops permanently at the first other one: otherwise a part of a body could be mistaken for a
// request and run although nobody sent it.
type scanner struct {
	head []byte
	// body is the number of bytes of the current request's body that have not arrived yet.
	body    int64
	stopped bool
	// position is the number of bytes before head.
	position int64
}

// scannedRequest is a request without its body.
type scannedRequest struct {
	*http.Request
	// headEnd is the number of bytes of the connection up to the end of the head.
	headEnd int64
}

// feed returns the requests whose heads end in the chunk.
func (scanner *scanner) feed(chunk []byte) []scannedRequest {
	var requests []scannedRequest
	for len(chunk) > 0 && !scanner.stopped {
		if scanner.body > 0 {
			skipped := min(scanner.body, int64(len(chunk)))
			scanner.body, scanner.position, chunk = scanner.body-skipped, scanner.position+skipped, chunk[skipped:]
			continue
		}
		from := max(0, len(scanner.head)-len(headEnd)+1)
		known := len(scanner.head)
		scanner.head = append(scanner.head, chunk...)
		end := bytes.Index(scanner.head[from:], headEnd)
		if end < 0 {
			scanner.stopped = len(scanner.head) > maxHeadBytes
			break
		}
		end += from + len(headEnd)
		request := parseHead(scanner.head[:end])
		if request == nil {
			scanner.stopped = true
			break
		}
		scanner.position += int64(end)
		requests = append(requests, scannedRequest{Request: request, headEnd: scanner.position})
		scanner.body, chunk, scanner.head = request.ContentLength, chunk[end-known:], nil
	}
	if scanner.stopped {
		scanner.head = nil
	}
	return requests
}

// parseHead returns the request of a head, or nil if the head is ambiguous or invalid.
func parseHead(head []byte) *http.Request {
	if len(head) > maxHeadBytes || !isUnambiguous(head) {
		return nil
	}
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil || request.ProtoMajor != 1 || request.ProtoMinor != 1 || len(request.TransferEncoding) > 0 || request.ContentLength < 0 {
		return nil
	}
	request.Body = http.NoBody
	return request
}

// singleHeaders decide where a request ends or which host it is for; each may occur only once.
var singleHeaders = []string{"host", "content-length"}

// isUnambiguous reports whether all header lines consist of a name and printable characters, and none changes how the
// connection is read.
func isUnambiguous(head []byte) bool {
	lines := strings.Split(strings.TrimSuffix(string(head), "\r\n\r\n"), "\r\n")
	seen := map[string]int{}
	for _, line := range lines[1:] {
		name, value, found := strings.Cut(line, ":")
		if !found || !isName(name) || !isPrintable(value) {
			return false
		}
		seen[strings.ToLower(name)]++
	}
	for _, name := range singleHeaders {
		if seen[name] > 1 {
			return false
		}
	}
	return isPrintable(lines[0]) && seen["host"] == 1 && seen["transfer-encoding"]+seen["upgrade"]+seen["expect"] == 0
}

func isName(name string) bool {
	return name != "" && !strings.ContainsFunc(name, func(char rune) bool {
		return !(char == '-' || char == '_' || '0' <= char && char <= '9' || 'a' <= char && char <= 'z' || 'A' <= char && char <= 'Z')
	})
}

func isPrintable(text string) bool {
	return !strings.ContainsFunc(text, func(char rune) bool { return char < ' ' || char > '~' })
}
