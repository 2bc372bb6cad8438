package transport

import (
	"context"
	"crypto/tls"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"

	"oleandervane.example/fleet/gossip"
	"oleandervane.example/fleet/peer"
	"oleandervane.example/fleet/peer/peerconnect"
)

// Limits of a client.
const (
	// maxIdleConnections bounds the idle connections that stay open; probes of random peers reopen the others.
	maxIdleConnections = 64
	clientIdleTimeout  = 90 * time.Second
	// pingAfter and pingTimeout detect a connection that went silent, so that it is replaced by a new one.
	pingAfter   = 2 * time.Second
	pingTimeout = time.Second
	// maxClients bounds the cached clients; a fleet of 450 VMs with replaced ones stays below it.
	maxClients = 2048
)

// Client implements gossip.Transport over connect-go. Each call runs on a goroutine of its own.
type Client struct {
	httpClient *http.Client
	scheme     string

	mutex   sync.Mutex
	clients map[netip.AddrPort]peerconnect.PeerServiceClient
}

var _ gossip.Transport = (*Client)(nil)

// NewClient returns a client that speaks HTTP/2 without TLS, or with TLS if tlsConfig is given.
func NewClient(tlsConfig *tls.Config) *Client {
	scheme := "http"
	if tlsConfig != nil {
		scheme = "https"
	}
	httpTransport := &http.Transport{
		TLSClientConfig:     tlsConfig,
		MaxIdleConns:        maxIdleConnections,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     clientIdleTimeout,
		Protocols:           protocols(tlsConfig),
		HTTP2:               &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
	return &Client{
		httpClient: &http.Client{Transport: httpTransport},
		scheme:     scheme,
		clients:    map[netip.AddrPort]peerconnect.PeerServiceClient{},
	}
}

// Close closes idle connections.
func (client *Client) Close() {
	client.httpClient.CloseIdleConnections()
}

// Exchange probes a peer.
func (client *Client) Exchange(to netip.AddrPort, packet *peer.Packet, timeout time.Duration, done func(*peer.Packet, error)) {
	call(client.peer(to).Exchange, packet, timeout, done)
}

// Push sends urgent updates.
func (client *Client) Push(to netip.AddrPort, packet *peer.Packet, timeout time.Duration, done func(error)) {
	call(client.peer(to).Push, packet, timeout, func(_ *peer.PushResponse, err error) { done(err) })
}

// IndirectProbe asks a peer to probe a third VM.
func (client *Client) IndirectProbe(to netip.AddrPort, request *peer.IndirectProbeRequest, timeout time.Duration, done func(*peer.IndirectProbeResponse, error)) {
	call(client.peer(to).IndirectProbe, request, timeout, done)
}

// Compare repairs differences between two views of the VMs of a region.
func (client *Client) Compare(to netip.AddrPort, request *peer.CompareRequest, timeout time.Duration, done func(*peer.CompareResponse, error)) {
	call(client.peer(to).Compare, request, timeout, done)
}

// Fetch reads the head or chunks of a revision.
func (client *Client) Fetch(to netip.AddrPort, request *peer.FetchRequest, timeout time.Duration, done func(*peer.FetchResponse, error)) {
	call(client.peer(to).Fetch, request, timeout, done)
}

// checker is a message that can check its own limits.
type checker interface {
	Check() error
}

// call runs one call and checks the response.
func call[Request, Response any](procedure func(context.Context, *Request) (*Response, error), request *Request, timeout time.Duration, done func(*Response, error)) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		response, err := procedure(ctx, request)
		if err != nil {
			done(nil, err)
			return
		}
		if message, found := any(response).(checker); found {
			if err := message.Check(); err != nil {
				done(nil, err)
				return
			}
		}
		done(response, nil)
	}()
}

func (client *Client) peer(address netip.AddrPort) peerconnect.PeerServiceClient {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	found, exists := client.clients[address]
	if exists {
		return found
	}
	if len(client.clients) >= maxClients {
		clear(client.clients)
	}
	fresh := peerconnect.NewPeerServiceClient(client.httpClient, client.scheme+"://"+address.String(), connect.WithReadMaxBytes(peer.MaxFetchBytes), connect.WithAcceptCompression("gzip", nil, nil))
	client.clients[address] = fresh
	return fresh
}
