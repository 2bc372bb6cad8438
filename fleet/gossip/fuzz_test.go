package gossip_test

import (
	"errors"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"oleandervane.example/fleet/gossip"
	"oleandervane.example/fleet/peer"
)

// fuzzed returns a node with a revision and a peer, and the fabric it runs in.
func fuzzed() (*fabric, *gossip.Node) {
	fabric := newFabric(1)
	fabric.startAll(3, 1)
	fabric.clock.Advance(4 * time.Second)
	fabric.store.publish(1, []byte("one"))
	fabric.clock.Advance(time.Second)
	return fabric, fabric.vms[0].node
}

// survive lets the node live on with what it took and checks that it did not lose itself.
func (fabric *fabric) survive(t *testing.T, node *gossip.Node) {
	fabric.clock.Advance(3 * time.Second)
	if len(node.Membership().EntryVMs()) == 0 || node.Configuration() == nil || node.Configuration().Revision < 1 {
		t.Fatal("the node lost itself or its revision")
	}
}

// Guards against packets of a peer that crash a VM, remove it from its own view or take its revision back.
func FuzzPacket(f *testing.F) {
	f.Fuzz(func(t *testing.T, content []byte) {
		packet := &peer.Packet{}
		if proto.Unmarshal(content, packet) != nil {
			return
		}
		fabric, node := fuzzed()
		response, err := node.HandleExchange(packet)
		if (err == nil) != (packet.Check() == nil) || (err == nil && response.Check() != nil) {
			t.Fatalf("packet answered with %v, %v", response, err)
		}
		if node.HandlePush(packet) == nil {
			fabric.survive(t, node)
		}
	})
}

// Guards against comparisons that crash a VM or get an answer out of limits.
func FuzzCompareRequest(f *testing.F) {
	f.Fuzz(func(t *testing.T, content []byte) {
		request := &peer.CompareRequest{}
		if proto.Unmarshal(content, request) != nil {
			return
		}
		_, node := fuzzed()
		if response, err := node.HandleCompare(request); err == nil && response.Check() != nil {
			t.Fatalf("answered %v", response)
		}
	})
}

// Guards against fetches and indirect probes that crash a VM.
func FuzzFetchAndIndirectProbeRequest(f *testing.F) {
	f.Fuzz(func(t *testing.T, content []byte) {
		fabric, node := fuzzed()
		request := &peer.FetchRequest{}
		if proto.Unmarshal(content, request) == nil {
			if response, err := node.HandleFetch(request); err == nil && response.Check() != nil {
				t.Fatalf("answered %v", response)
			}
		}
		indirect := &peer.IndirectProbeRequest{}
		if proto.Unmarshal(content, indirect) == nil {
			node.HandleIndirectProbe(indirect, func(response *peer.IndirectProbeResponse) {
				if response.Check() != nil {
					t.Errorf("answered %v", response)
				}
			})
			fabric.survive(t, node)
		}
	})
}

// forging is a transport whose peers answer every call with the same bytes.
type forging struct {
	vmTransport
	content []byte
}

func forged[Content any, Message message[Content]](transport forging, done func(Message, error)) {
	response := Message(new(Content))
	if proto.Unmarshal(transport.content, response) != nil {
		done(nil, errors.New("cannot read the response"))
		return
	}
	if checked, found := any(response).(interface{ Check() error }); found && checked.Check() != nil {
		done(nil, errors.New("the response is out of limits"))
		return
	}
	done(response, nil)
}

// Guards against responses of a peer that crash a VM or bring a revision into force that does not have its hash.
func FuzzResponses(f *testing.F) {
	f.Fuzz(func(t *testing.T, content []byte) {
		fabric, node := fuzzed()
		forge := forging{content: content}
		for _, run := range fabric.vms {
			run.forge = &forge
		}
		// A mark of a peer makes the node fetch, and its probes get forged responses.
		from := fabric.vms[1].node.Membership().SelfRecord().Wire()
		_ = node.HandlePush(&peer.Packet{From: from, Revision: &peer.RevisionMark{Revision: 2, HeadHash: 1}})
		fabric.survive(t, node)
	})
}
