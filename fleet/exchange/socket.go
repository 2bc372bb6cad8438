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
var ErrSocket = errors.New("the notice socket cannot be used")

// maxNoticeBytes bounds an encoded notice. A thousand servers with requests in flight take 6 KB.
const maxNoticeBytes = 16 << 10

// Socket sends and receives notices as datagrams.
type Socket struct {
	// conn is nil until the socket is open.
	conn atomic.Pointer[net.UDPConn]
	// dropped counts notices that could not be sent or decoded.
	dropped atomic.Uint64
}

// Open binds the socket to an address. Notices that are sent before Open are dropped.
func (socket *Socket) Open(address netip.AddrPort) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return eris.Wrapf(ErrSocket, "address %s: %v", address, err)
	}
	socket.conn.Store(conn)
	return nil
}

// Send sends a notice to VMs. Notices that cannot be sent are counted; the next notice makes up for them.
func (socket *Socket) Send(to []oleandervane.EntryVM, notice *peer.Notice) {
	datagram, err := proto.Marshal(notice)
	conn := socket.conn.Load()
	if err != nil || len(datagram) > maxNoticeBytes || conn == nil {
		socket.dropped.Add(1)
		return
	}
	for _, vm := range to {
		if _, err := conn.WriteToUDPAddrPort(datagram, vm.PeerAddress); err != nil {
			socket.dropped.Add(1)
		}
	}
}

// Receive calls receive for each notice until the socket, which must be open, is closed or fails. Datagrams that cannot be
// decoded are counted as dropped.
func (socket *Socket) Receive(receive func(notice *peer.Notice)) error {
	buffer := make([]byte, maxNoticeBytes)
	for {
		count, _, err := socket.conn.Load().ReadFromUDPAddrPort(buffer)
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

// Dropped returns the number of notices that could not be sent or decoded.
func (socket *Socket) Dropped() uint64 {
	return socket.dropped.Load()
}

// Close closes the socket, which ends Receive.
func (socket *Socket) Close() error {
	return eris.Wrap(socket.conn.Load().Close(), "closing the notice socket")
}
