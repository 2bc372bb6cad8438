package flood

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// limitTimeout bounds an exchange at a limit.
const limitTimeout = 90 * time.Second

// AtLimit is a caller that is alone and keeps to the limits of the configuration.
type AtLimit struct {
	Name string `toml:"name"`
	Clients
	// FirstPath is the path of a request that is sent and answered before, and IdleSeconds how long the connection is idle then.
	FirstPath   string `toml:"first_path"`
	IdleSeconds int    `toml:"idle_seconds"`
	// Responses is the number of responses, which all must be 200.
	Responses int `toml:"responses"`
}

// Run sends what the caller sends and checks all responses.
func (atLimit AtLimit) Run(ctx context.Context, vm *VM) error {
	conn, err := net.Dial("tcp", atLimit.address(vm))
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(limitTimeout)); err != nil {
		return err
	}
	reader := bufio.NewReader(pacedReader{conn: conn, perSecond: atLimit.ReadPerSecond})
	if atLimit.FirstPath != "" {
		if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: first\r\n\r\n", atLimit.FirstPath); err != nil {
			return err
		}
		if err := readServed(reader); err != nil {
			return err
		}
		time.Sleep(time.Duration(atLimit.IdleSeconds) * time.Second)
	}
	sent := make(chan error, 1)
	go func() { sent <- atLimit.send(ctx, conn) }()
	for number := range atLimit.Responses {
		if err := readServed(reader); err != nil {
			return fmt.Errorf("response %d: %w", number, err)
		}
	}
	return <-sent
}

func readServed(reader *bufio.Reader) error {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

// pacedReader reads like a caller with a slow link.
type pacedReader struct {
	conn net.Conn
	// perSecond is a number of bytes; 0 sets no limit.
	perSecond int
}

// Read reads at most what the link lets through.
func (pacedReader pacedReader) Read(buffer []byte) (int, error) {
	count, err := pacedReader.conn.Read(buffer)
	if pacedReader.perSecond > 0 {
		time.Sleep(time.Duration(count) * time.Second / time.Duration(pacedReader.perSecond))
	}
	return count, err
}
