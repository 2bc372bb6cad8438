package main

import (
	"net"
	"sync/atomic"
	"time"
)

// link is a proxy between a VM and an instance or the store. It can hold what the other side sends on one connection, as a link that
// loses packets does until they are sent again, and be cut for a time.
type link struct {
	address string
	// holdNext is the time for which the next bytes of the instance are held, in nanoseconds.
	holdNext atomic.Int64
	// cutUntil is the end of a cut, in Unix nanoseconds. Bytes wait for it in both directions.
	cutUntil atomic.Int64
}

func (stage *stage) startLink(to string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	link := &link{address: listener.Addr().String()}
	stage.closers = append(stage.closers, func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go link.relay(conn, to)
		}
	}()
	return link, nil
}

func (link *link) relay(conn net.Conn, to string) {
	defer conn.Close()
	server, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer server.Close()
	go func() {
		copyBytes(server, conn, link.cutLeft)
		// The end of one side ends the other.
		_ = server.Close()
	}()
	copyBytes(conn, server, func() time.Duration { return max(link.cutLeft(), time.Duration(link.holdNext.Swap(0))) })
}

// cutLeft returns the time until the end of the cut.
func (link *link) cutLeft() time.Duration {
	return time.Until(time.Unix(0, link.cutUntil.Load()))
}

// copyBytes copies bytes until an error, and waits before each piece for the time that hold returns.
func copyBytes(to, from net.Conn, hold func() time.Duration) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			time.Sleep(hold())
			if _, err := to.Write(buffer[:count]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
