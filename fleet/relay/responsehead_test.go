package relay_test

import (
	"context"
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
	rest := func(*http.Request) string {
		return "Content-Type: application/proto\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + string(body)
	}
	responsetable.Run(t, rest, func(t *testing.T, tableCase responsetable.Case, address string) {
		client := relay.NewClient()
		defer client.Close()
		response, err := client.Changes(context.Background(), oleandervane.EntryVM{PeerAddress: netip.MustParseAddrPort(address)}, oleandervane.StoreRevision{})
		assert.Equal(t, err == nil && response.Revision.Number == 7, tableCase.Valid, "%v", err)
	})
}
