package transport

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"

	"github.com/rotisserie/eris"

	"oleandervane.example/fleet/gossip"
)

// Daemon is a node that serves its peers over the network.
type Daemon struct {
	Node     *gossip.Node
	client   *Client
	server   *http.Server
	serveErr chan error
}

// Start listens on the peer address of the settings and starts a node there. It sets the Transport of the settings.
// The TLS configurations are nil for connections without TLS. other, which may be nil, serves the paths outside the peer
// service.
func Start(settings gossip.Settings, serverTLS, clientTLS *tls.Config, other http.Handler) (*Daemon, error) {
	listener, err := net.Listen("tcp", settings.Self.PeerAddress.String())
	if err != nil {
		return nil, eris.Wrap(err, "listening for peers")
	}
	client := NewClient(clientTLS)
	settings.Transport = client
	node := gossip.New(settings)
	daemon := &Daemon{Node: node, client: client, server: NewServer(node, serverTLS, other), serveErr: make(chan error, 1)}
	go func() { daemon.serveErr <- Serve(daemon.server, listener) }()
	node.Start()
	return daemon, nil
}

// Stop announces to peers that this VM is gone, and shuts the server down when open calls are done or ctx ends.
func (daemon *Daemon) Stop(ctx context.Context) error {
	daemon.Node.Stop()
	if err := daemon.server.Shutdown(ctx); err != nil {
		return eris.Wrap(err, "shutting down the server for peers")
	}
	daemon.client.Close()
	return <-daemon.serveErr
}
