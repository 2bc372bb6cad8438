package exchange

import (
	"errors"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"oleandervane.example"
	"oleandervane.example/fleet/peer"
)

// ErrSocket is the error of a socket that cannot be opened or read.
var ErrSocket = errors.New("the socket for notices cannot be used")

// maxNoticeBytes bounds a notice: a thousand servers with requests in flight take 6 KB.
const maxNoticeBytes = 16 << 10

// Socket sends and receives notices as datagrams.
type Socket struct {
	conn *net.UDPConn
	// dropped counts notices that could not be sent or read.
	dropped atomic.Uint64
}

// Listen opens a socket at an address.
func Listen(address netip.AddrPort) (*Socket, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, eris.Wrapf(ErrSocket, "address %s: %v", address, err)
	}
	return &Socket{conn: conn}, nil
}

// Send sends a notice to VMs. Those that cannot be sent are counted; the next notice makes them good.
func (socket *Socket) Send(to []oleandervane.EntryVM, notice *peer.Notice) {
	datagram, err := proto.Marshal(notice)
	if err != nil || len(datagram) > maxNoticeBytes {
		socket.dropped.Add(1)
		return
	}
	for _, vm := range to {
		if _, err := socket.conn.WriteToUDPAddrPort(datagram, vm.PeerAddress); err != nil {
			socket.dropped.Add(1)
		}
	}
}

// Receive passes notices on until the socket is closed, or fails. Datagrams that are no notices are counted.
func (socket *Socket) Receive(receive func(notice *peer.Notice)) error {
	buffer := make([]byte, maxNoticeBytes)
	for {
		count, _, err := socket.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return eris.Wrapf(ErrSocket, "reading: %v", err)
		}
		notice := &peer.Notice{}
		if proto.Unmarshal(buffer[:count], notice) != nil {
			socket.dropped.Add(1)
			continue
		}
		receive(notice)
	}
}

// Dropped returns the number of notices that could not be sent or read.
func (socket *Socket) Dropped() uint64 {
	return socket.dropped.Load()
}

// Close ends Receive.
func (socket *Socket) Close() error {
	return eris.Wrap(socket.conn.Close(), "closing the socket for notices")
}
