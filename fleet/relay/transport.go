package relay

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"

	"oleandervane.example"
	"oleandervane.example/fleet/exchange"
	"oleandervane.example/fleet/peer"
	"oleandervane.example/fleet/peer/peerconnect"
	"oleandervane.example/responsehead"
	"oleandervane.example/socket"
)

const (
	// clientIdleTimeout is how long an idle connection to a VM that is no longer read from stays open.
	clientIdleTimeout = 30 * time.Second
	// maxResponseBytes bounds the memory that the response of a delegate takes at a follower.
	maxResponseBytes = 32 << 20
	// maxRequestBytes bounds a request, which consists of one number.
	maxRequestBytes = 1 << 10
)

// Reader reads the changes after a revision. ChangeLog implements it.
type Reader interface {
	oleandervane.StoreRevisionSource
	Read(after oleandervane.StoreRevision) (changes []oleandervane.StoreChange, full bool, revision oleandervane.StoreRevision)
}

// EndReader reads the ends of backend servers that this VM knows, whoever found them, the newest first. placement.Placer implements it.
type EndReader interface {
	KnownServerEnds() []oleandervane.ServerEnd
}

// NewHandler returns the path prefix and the HTTP handler that serve changes to followers, and ends to VMs that have just started.
func NewHandler(reader Reader, endReader EndReader) (string, http.Handler) {
	return peerconnect.NewRelayServiceHandler(handler{reader, endReader}, connect.WithReadMaxBytes(maxRequestBytes))
}

type handler struct {
	reader    Reader
	endReader EndReader
}

// ServerEnds returns the ends that are known.
func (handler handler) ServerEnds(context.Context, *peer.ServerEndsRequest) (*peer.ServerEndsResponse, error) {
	return &peer.ServerEndsResponse{ServerEnds: exchange.EncodeServerEnds(handler.endReader.KnownServerEnds())}, nil
}

// Changes returns the changes after a revision.
func (handler handler) Changes(_ context.Context, request *peer.ChangesRequest) (*peer.ChangesResponse, error) {
	changes, full, revision := handler.reader.Read(oleandervane.StoreRevision{Era: oleandervane.StoreEra(request.GetAfterEra()), Number: request.GetAfter()})
	_, fresh := handler.reader.StoreRevision()
	response := &peer.ChangesResponse{Fresh: fresh, Era: uint64(revision.Era), Revision: revision.Number, Whole: full}
	for _, change := range changes {
		response.Items = append(response.Items, &peer.StoreItem{
			Key: change.Entry.Key, Value: change.Entry.Value, Version: change.Entry.Version, Removed: change.Removed,
		})
	}
	return response, nil
}

// Client implements ChangesClient over connect-go.
type Client struct {
	httpClient *http.Client
	mutex      sync.Mutex
	clients    map[netip.AddrPort]peerconnect.RelayServiceClient
}

// NewClient returns a client that uses HTTP/1.1.
func NewClient() *Client {
	transport := &http.Transport{
		DialContext: socket.NewDialer().DialContext, IdleConnTimeout: clientIdleTimeout, MaxIdleConnsPerHost: 1,
	}
	return &Client{httpClient: &http.Client{Transport: responsehead.NewTransport(transport)}, clients: map[netip.AddrPort]peerconnect.RelayServiceClient{}}
}

// Close closes idle connections.
func (client *Client) Close() {
	client.httpClient.CloseIdleConnections()
}

// Response has the changes after a revision at another VM.
type Response struct {
	Changes []oleandervane.StoreChange
	// Full is set if the changes are all entries.
	Full     bool
	Revision oleandervane.StoreRevision
	// Fresh is set if the VM was in contact with the store.
	Fresh bool
}

// Changes reads the changes after a revision from another VM.
func (client *Client) Changes(ctx context.Context, from oleandervane.EntryVM, after oleandervane.StoreRevision) (Response, error) {
	response, err := client.clientFor(from.PeerAddress).Changes(ctx, &peer.ChangesRequest{AfterEra: uint64(after.Era), After: after.Number})
	if err != nil {
		return Response{}, err
	}
	changes := make([]oleandervane.StoreChange, 0, len(response.GetItems()))
	for _, item := range response.GetItems() {
		entry := oleandervane.StoreEntry{Key: item.GetKey(), Value: item.GetValue(), Version: item.GetVersion()}
		changes = append(changes, oleandervane.StoreChange{Entry: entry, Removed: item.GetRemoved()})
	}
	revision := oleandervane.StoreRevision{Era: oleandervane.StoreEra(response.GetEra()), Number: response.GetRevision()}
	return Response{Changes: changes, Full: response.GetWhole(), Revision: revision, Fresh: response.GetFresh()}, nil
}

// ServerEnds reads the ends that another VM knows.
func (client *Client) ServerEnds(ctx context.Context, from oleandervane.EntryVM) ([]oleandervane.ServerEnd, error) {
	response, err := client.clientFor(from.PeerAddress).ServerEnds(ctx, &peer.ServerEndsRequest{})
	if err != nil {
		return nil, err
	}
	return exchange.DecodeServerEnds(response.GetServerEnds()), nil
}

func (client *Client) clientFor(address netip.AddrPort) peerconnect.RelayServiceClient {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	relayClient := client.clients[address]
	if relayClient == nil {
		relayClient = peerconnect.NewRelayServiceClient(client.httpClient, "http://"+address.String(), connect.WithReadMaxBytes(maxResponseBytes))
		client.clients[address] = relayClient
	}
	return relayClient
}
