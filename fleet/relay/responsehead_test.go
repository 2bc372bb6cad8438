package relay_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"oleandervane.example"
	"oleandervane.example/fleet/peer"
	"oleandervane.example/fleet/relay"
	"oleandervane.example/standin/responsetable"
)

// Guards against an invalid response of another VM that is read as changes of the store.
func TestInvalidHeads(t *testing.T) {
	body, err := proto.Marshal(&peer.ChangesResponse{Revision: 7})
	assert.NilError(t, err)
	cases, err := responsetable.Cases()
	assert.NilError(t, err)
	for _, tableCase := range cases {
		t.Run(tableCase.Name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer listener.Close()
			go tableCase.Serve(listener, func(*http.Request) string {
				return "Content-Type: application/proto\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + string(body)
			})
			client := relay.NewClient()
			defer client.Close()
			response, err := client.Changes(context.Background(), oleandervane.EntryVM{PeerAddress: netip.MustParseAddrPort(listener.Addr().String())}, oleandervane.StoreRevision{})
			assert.Equal(t, err == nil && response.Revision.Number == 7, tableCase.Valid, "%v", err)
		})
	}
}
