package responsehead_test

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"oleandervane.example/responsehead"
)

const headerFields = "Content-Length: 2\r\n\r\nok"

type response struct {
	name, beginning string
	valid           bool
}

func readTable(t testing.TB) []response {
	t.Helper()
	text, err := os.ReadFile("../standin/responsetable/responses.txt")
	assert.NilError(t, err)
	var responses []response
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		fields := strings.Split(line, "|")
		beginning, err := strconv.Unquote(strings.TrimSpace(fields[1]))
		assert.NilError(t, err, line)
		responses = append(responses, response{strings.TrimSpace(fields[0]), beginning, strings.TrimSpace(fields[2]) == "yes"})
	}
	return responses
}

// check checks bytes that arrive in two pieces.
func check(text string, first int) error {
	checker := &responsehead.Checker{}
	checker.Begin()
	if err := checker.Check([]byte(text[:first])); err != nil {
		return err
	}
	return checker.Check([]byte(text[first:]))
}

// Guards against an invalid response that passes because of where its pieces end, and against a valid one that is rejected.
func TestHeads(t *testing.T) {
	for _, response := range readTable(t) {
		text := response.beginning + headerFields
		for first := range len(text) {
			err := check(text, first)
			assert.Equal(t, err == nil, response.valid, "%s, first %d bytes: %v", response.name, first, err)
		}
	}
}

// Guards against a panic, against a result that depends on the pieces in which bytes arrive, and against a head outside the
// rules that net/http would pass on.
func FuzzChecker(f *testing.F) {
	for _, response := range readTable(f) {
		f.Add([]byte(response.beginning+headerFields), 5)
	}
	f.Fuzz(func(t *testing.T, input []byte, first int) {
		err := check(string(input), 0)
		if first < 0 || first > len(input) {
			first = len(input)
		}
		assert.Equal(t, check(string(input), first) == nil, err == nil)
		parsed, parseErr := http.ReadResponse(bufio.NewReader(bytes.NewReader(input)), nil)
		if err != nil || parseErr != nil || parsed.StatusCode < 200 {
			return
		}
		_, _ = io.Copy(io.Discard, parsed.Body)
		assert.Assert(t, parsed.StatusCode <= 599 && (parsed.Proto == "HTTP/1.1" || parsed.Proto == "HTTP/1.0"), "%q", input)
		assert.Assert(t, bytes.HasPrefix(input, []byte(parsed.Proto+" "+strconv.Itoa(parsed.StatusCode))), "%q", input)
		for name := range parsed.Header {
			assert.Assert(t, !strings.ContainsAny(name, " \t"), "%q", input)
		}
	})
}
