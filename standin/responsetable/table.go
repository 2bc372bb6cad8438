// Package responsetable has valid and invalid responses, for the tests of all readers of responses, and servers that send them.
package responsetable

import (
	"bufio"
	_ "embed" // for the table
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

//go:embed responses.txt
var table string

// Case is the beginning of a response, up to the header fields.
type Case struct {
	Name, Beginning string
	Valid           bool
}

// Cases returns the table.
func Cases() ([]Case, error) {
	var cases []Case
	for line := range strings.Lines(table) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		fields := strings.Split(line, "|")
		beginning, err := strconv.Unquote(strings.TrimSpace(fields[1]))
		if err != nil {
			return nil, fmt.Errorf("%s: %w", fields[1], err)
		}
		cases = append(cases, Case{Name: strings.TrimSpace(fields[0]), Beginning: beginning, Valid: strings.TrimSpace(fields[2]) == "yes"})
	}
	return cases, nil
}

// Run runs a subtest for each case, with the address of a server that sends it as Serve does.
func Run(t *testing.T, rest func(request *http.Request) string, test func(t *testing.T, tableCase Case, address string)) {
	t.Helper()
	cases, err := Cases()
	assert.NilError(t, err)
	for _, tableCase := range cases {
		t.Run(tableCase.Name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer listener.Close()
			go tableCase.Serve(listener, rest)
			test(t, tableCase, listener.Addr().String())
		})
	}
}

// Serve sends the beginning of a case, and what rest returns for the request, to each request on the connections of a listener, until
// it is closed.
func (tableCase Case) Serve(listener net.Listener, rest func(request *http.Request) string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			reader := bufio.NewReader(conn)
			for {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, request.Body); err != nil {
					return
				}
				if _, err := io.WriteString(conn, tableCase.Beginning+rest(request)); err != nil {
					return
				}
			}
		}()
	}
}
