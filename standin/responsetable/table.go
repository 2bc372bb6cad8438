// Package responsetable has valid and invalid responses, for the tests of all readers of responses, and a server that sends them.
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
