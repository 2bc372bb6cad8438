package transport

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"oleandervane.example/fleet/gossip"
	"oleandervane.example/fleet/peer"
	"oleandervane.example/fleet/peer/peerconnect"
)

// Limits of a server.
const (
	// readHeaderTimeout and readTimeout release the resources that a silent peer occupies.
	readHeaderTimeout = 2 * time.Second
	readTimeout       = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 8 << 10
	// maxStreams bounds the concurrent calls of a peer on one connection.
	maxStreams = 64
	// handleTimeout bounds the handling of a call. Indirect probes take longest.
	handleTimeout = 2 * time.Second
)

// Handler serves the peers of a node.
type Handler struct {
	node *gossip.Node
}

var _ peerconnect.PeerServiceHandler = (*Handler)(nil)

// NewHandler returns the path prefix and the HTTP handler of a node.
func NewHandler(node *gossip.Node) (string, http.Handler) {
	return peerconnect.NewPeerServiceHandler(&Handler{node: node}, connect.WithReadMaxBytes(peer.MaxPacketBytes), connect.WithCompression("gzip", nil, nil))
}

// NewServer returns an HTTP server for a node, which speaks HTTP/2 without TLS, or with TLS if tlsConfig is given.
// Requests for paths outside the peer service go to other, if it is given, also over HTTP/1.1.
func NewServer(node *gossip.Node, tlsConfig *tls.Config, other http.Handler) *http.Server {
	mux := http.NewServeMux()
	path, handler := NewHandler(node)
	mux.Handle(path, http.MaxBytesHandler(handler, peer.MaxPacketBytes))
	protocols := protocols(tlsConfig)
	if other != nil {
		mux.Handle("/", other)
		protocols.SetHTTP1(true)
	}
	return &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		TLSConfig:         tlsConfig,
		Protocols:         protocols,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
	}
}

// Serve runs a server on a listener until it is shut down.
func Serve(server *http.Server, listener net.Listener) error {
	err := serve(server, listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func serve(server *http.Server, listener net.Listener) error {
	if server.TLSConfig != nil {
		return server.ServeTLS(listener, "", "")
	}
	return server.Serve(listener)
}

func protocols(tlsConfig *tls.Config) *http.Protocols {
	result := &http.Protocols{}
	if tlsConfig != nil {
		result.SetHTTP2(true)
		return result
	}
	result.SetUnencryptedHTTP2(true)
	return result
}

// Exchange responds to a probe.
func (handler *Handler) Exchange(_ context.Context, request *peer.Packet) (*peer.Packet, error) {
	response, err := handler.node.HandleExchange(request)
	return response, invalidArgument(err)
}

// Push receives urgent updates.
func (handler *Handler) Push(_ context.Context, request *peer.Packet) (*peer.PushResponse, error) {
	return &peer.PushResponse{}, invalidArgument(handler.node.HandlePush(request))
}

// IndirectProbe probes a third VM.
func (handler *Handler) IndirectProbe(ctx context.Context, request *peer.IndirectProbeRequest) (*peer.IndirectProbeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, handleTimeout)
	defer cancel()
	result := make(chan *peer.IndirectProbeResponse, 1)
	handler.node.HandleIndirectProbe(request, func(response *peer.IndirectProbeResponse) { result <- response })
	select {
	case response := <-result:
		return response, nil
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
	}
}

// Compare returns the records that the calling peer lacks.
func (handler *Handler) Compare(_ context.Context, request *peer.CompareRequest) (*peer.CompareResponse, error) {
	response, err := handler.node.HandleCompare(request)
	return response, invalidArgument(err)
}

// Fetch returns the head or chunks of a revision.
func (handler *Handler) Fetch(_ context.Context, request *peer.FetchRequest) (*peer.FetchResponse, error) {
	response, err := handler.node.HandleFetch(request)
	return response, invalidArgument(err)
}

// invalidArgument converts an error about the content of a message to the error of a call.
func invalidArgument(err error) error {
	if err == nil {
		return nil
	}
	return connect.NewError(connect.CodeInvalidArgument, err)
}
