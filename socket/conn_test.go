package socket_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"oleandervane.example/socket"
)

// newPair returns both ends of a connection.
func newPair(t *testing.T) (client net.Conn, server *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	client, err = socket.NewDialer().Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	return client, accepted.(*net.TCPConn)
}

// reset resets the connection of the server.
func reset(t *testing.T, server *net.TCPConn) {
	t.Helper()
	assert.NilError(t, server.SetLinger(0))
	assert.NilError(t, server.Close())
}

// writeUntilError returns the first error of writes.
func writeUntilError(conn net.Conn) error {
	for {
		if _, err := conn.Write(make([]byte, 1<<10)); err != nil {
			return err
		}
	}
}

// Shows why Conn exists: a write meets the reset, and the next read reports a regular end.
func TestReadOfNetAfterAWriteMetAReset(t *testing.T) {
	client, server := newPair(t)
	reset(t, server)
	assert.ErrorIs(t, writeUntilError(client), syscall.ECONNRESET)
	_, err := client.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
}

// Guards against a reset that looks like a regular end, also when the write that met it has not yet returned to its caller.
func TestReadAfterAWriteMetAReset(t *testing.T) {
	for _, concurrent := range []bool{false, true} {
		for range 200 {
			client, server := newPair(t)
			_, err := server.Write([]byte("part"))
			assert.NilError(t, err)
			conn := socket.NewConn(client)
			written := make(chan error, 1)
			if concurrent {
				go func() { written <- writeUntilError(conn) }()
			}
			reset(t, server)
			if !concurrent {
				written <- writeUntilError(conn)
			}
			_, err = io.ReadAll(conn)
			assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "concurrent %v: %v", concurrent, err)
			<-written
			assert.NilError(t, client.Close())
		}
	}
}

// Guards against a whole body that is taken for a part, and against a reader that waits for a write which cannot go on.
func TestReadAfterARegularEnd(t *testing.T) {
	for name, end := range map[string]func(conn *socket.Conn, server *net.TCPConn){
		"peer reads no more": func(conn *socket.Conn, _ *net.TCPConn) {
			go func() { _ = writeUntilError(conn) }()
			time.Sleep(50 * time.Millisecond)
		},
		"reset afterwards": func(conn *socket.Conn, server *net.TCPConn) {
			reset(t, server)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if err := writeUntilError(conn); errors.Is(err, syscall.EPIPE) {
					return poll.Success()
				}
				return poll.Continue("the reset has not arrived")
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			client, server := newPair(t)
			conn := socket.NewConn(client)
			_, err := server.Write([]byte("whole"))
			assert.NilError(t, err)
			assert.NilError(t, server.CloseWrite())
			end(conn, server)
			startedAt := time.Now()
			body, err := io.ReadAll(conn)
			assert.NilError(t, err)
			assert.Equal(t, string(body), "whole")
			assert.Assert(t, time.Since(startedAt) < socket.UnacknowledgedTimeout)
		})
	}
}
