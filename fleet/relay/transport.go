package relay

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"

	"oleandervane.example"
	"oleandervane.example/fleet/peer"
	"oleandervane.example/fleet/peer/peerconnect"
	"oleandervane.example/socket"
)

const (
	// clientIdleLimit closes connections to delegates that are read no more.
	clientIdleLimit = 30 * time.Second
	// maxAnswerBytes bounds what a delegate can make a follower hold.
	maxAnswerBytes = 32 << 20
	// maxRequestBytes bounds a request, which is one number.
	maxRequestBytes = 1 << 10
)

// Reader gives what has changed since a revision. Board is one.
type Reader interface {
	Read(after uint64) (changes []oleandervane.StoreChange, whole bool, revision uint64)
}

// NewHandler returns the path prefix and the HTTP handler for followers.
func NewHandler(reader Reader) (string, http.Handler) {
	return peerconnect.NewRelayServiceHandler(handler{reader}, connect.WithReadMaxBytes(maxRequestBytes))
}

type handler struct {
	reader Reader
}

// Changes returns what has changed since a revision.
func (handler handler) Changes(_ context.Context, request *peer.ChangesRequest) (*peer.ChangesResponse, error) {
	changes, whole, revision := handler.reader.Read(request.GetAfter())
	response := &peer.ChangesResponse{Revision: revision, Whole: whole}
	for _, change := range changes {
		response.Items = append(response.Items, &peer.StoreItem{
			Key: change.Entry.Key, Value: change.Entry.Value, Version: change.Entry.Version, Removed: change.Removed,
		})
	}
	return response, nil
}

// Client is a Caller over connect-go.
type Client struct {
	httpClient *http.Client
	mutex      sync.Mutex
	clients    map[netip.AddrPort]peerconnect.RelayServiceClient
}

// NewClient returns a client that speaks HTTP/1.1.
func NewClient() *Client {
	transport := &http.Transport{
		DialContext: socket.NewDialer().DialContext, IdleConnTimeout: clientIdleLimit, MaxIdleConnsPerHost: 1,
	}
	return &Client{httpClient: &http.Client{Transport: transport}, clients: map[netip.AddrPort]peerconnect.RelayServiceClient{}}
}

// Close closes idle connections.
func (client *Client) Close() {
	client.httpClient.CloseIdleConnections()
}

// Changes reads what has changed since a revision from another VM.
func (client *Client) Changes(ctx context.Context, from oleandervane.EntryVM, after uint64) (changes []oleandervane.StoreChange, whole bool, revision uint64, err error) {
	response, err := client.to(from.PeerAddress).Changes(ctx, &peer.ChangesRequest{After: after})
	if err != nil {
		return nil, false, 0, err
	}
	changes = make([]oleandervane.StoreChange, 0, len(response.GetItems()))
	for _, item := range response.GetItems() {
		entry := oleandervane.StoreEntry{Key: item.GetKey(), Value: item.GetValue(), Version: item.GetVersion()}
		changes = append(changes, oleandervane.StoreChange{Entry: entry, Removed: item.GetRemoved()})
	}
	return changes, response.GetWhole(), response.GetRevision(), nil
}

func (client *Client) to(address netip.AddrPort) peerconnect.RelayServiceClient {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	known := client.clients[address]
	if known == nil {
		known = peerconnect.NewRelayServiceClient(client.httpClient, "http://"+address.String(), connect.WithReadMaxBytes(maxAnswerBytes))
		client.clients[address] = known
	}
	return known
}
