package pipeline

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// pieceConn is a connection on which bytes arrive in pieces. After the last piece nothing arrives until it is closed.
type pieceConn struct {
	net.Conn
	closed    chan struct{}
	closeOnce sync.Once

	mutex  sync.Mutex
	pieces []string
	// expired is closed while the read deadline is in the past.
	expired chan struct{}
	written bytes.Buffer
	// responded is closed when the response to the split request has been written.
	responded chan struct{}
	respond   sync.Once
}

func newPieceConn(pieces ...string) *pieceConn {
	client, server := net.Pipe()
	_ = client.Close()
	return &pieceConn{Conn: server, closed: make(chan struct{}), pieces: pieces, responded: make(chan struct{}), expired: make(chan struct{})}
}

func (pieceConn *pieceConn) Read(buffer []byte) (int, error) {
	pieceConn.mutex.Lock()
	if len(pieceConn.pieces) == 0 {
		expired := pieceConn.expired
		pieceConn.mutex.Unlock()
		select {
		case <-pieceConn.closed:
			return 0, io.EOF
		case <-expired:
			return 0, os.ErrDeadlineExceeded
		}
	}
	defer pieceConn.mutex.Unlock()
	count := copy(buffer, pieceConn.pieces[0])
	pieceConn.pieces[0] = pieceConn.pieces[0][count:]
	if pieceConn.pieces[0] == "" {
		pieceConn.pieces = pieceConn.pieces[1:]
	}
	return count, nil
}

func (pieceConn *pieceConn) Write(part []byte) (int, error) {
	pieceConn.mutex.Lock()
	defer pieceConn.mutex.Unlock()
	pieceConn.written.Write(part)
	if bytes.Contains(pieceConn.written.Bytes(), []byte("GET /split")) {
		pieceConn.respond.Do(func() { close(pieceConn.responded) })
	}
	return len(part), nil
}

func (pieceConn *pieceConn) Close() error {
	pieceConn.closeOnce.Do(func() { close(pieceConn.closed) })
	return nil
}

// SetReadDeadline ends a read that waits if the deadline is in the past, as the server does before it reads the next request.
func (pieceConn *pieceConn) SetReadDeadline(deadline time.Time) error {
	pieceConn.mutex.Lock()
	defer pieceConn.mutex.Unlock()
	if !deadline.IsZero() && deadline.Before(time.Now()) {
		close(pieceConn.expired)
	} else {
		pieceConn.expired = make(chan struct{})
	}
	return nil
}

func (*pieceConn) SetWriteDeadline(time.Time) error { return nil }
func (*pieceConn) SetDeadline(time.Time) error      { return nil }

// connListener accepts the connections of a channel.
type connListener struct {
	net.Listener
	conns chan net.Conn
}

func (connListener connListener) Accept() (net.Conn, error) {
	conn, open := <-connListener.conns
	if !open {
		return nil, net.ErrClosed
	}
	return conn, nil
}

// Guards against a request that is not read because its head arrives in two pieces: the server's read of the last byte of its buffer
// was taken for the one by which it watches a connection.
func TestSplitHeadsAreRead(t *testing.T) {
	const limit = 16 << 10
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	testHandler := newTestHandler(DefaultMaxAhead)
	close(testHandler.release)
	conns := make(chan net.Conn)
	server := &http.Server{Handler: testHandler.dispatcher, ConnContext: ConnContext}
	go func() {
		_ = server.Serve(testHandler.dispatcher.WrapListener(connListener{Listener: listener, conns: conns}))
	}()
	defer server.Close()
	defer close(conns)
	beginning := "GET /split HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
	for name, head := range map[string]string{
		"one long line":  beginning + "Cookie: " + strings.Repeat("c", limit-len(beginning)-12) + "\r\n\r\n",
		"shorter line":   beginning + "Cookie: " + strings.Repeat("c", 6000) + "\r\n\r\n",
		"many lines":     beginning + strings.Repeat("X-A: "+strings.Repeat("a", 93)+"\r\n", (limit-len(beginning))/100) + "\r\n",
		"behind another": "GET /first HTTP/1.1\r\nHost: a\r\n\r\n" + beginning + "Cookie: " + strings.Repeat("c", 6000) + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for length := 1; length < len(head); length++ {
				conn := newPieceConn(head[:length], head[length:])
				conns <- conn
				select {
				case <-conn.responded:
				case <-time.After(2 * time.Second):
					t.Fatalf("no response to a head whose first piece has %d of %d bytes", length, len(head))
				}
				_ = conn.Close()
			}
		})
	}
}
