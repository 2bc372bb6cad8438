package gossip_test

import (
	"errors"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"oleandervane.example/fleet/gossip"
	"oleandervane.example/fleet/peer"
)

// startFuzzNode returns a node that has a revision and peers, and its fabric.
func startFuzzNode() (*fabric, *gossip.Node) {
	fabric := newFabric(1)
	fabric.startAll(3, 1)
	fabric.clock.Advance(4 * time.Second)
	fabric.store.publish(1, []byte("one"))
	fabric.clock.Advance(time.Second)
	return fabric, fabric.vms[0].node
}

// checkSurvival runs the node for 3 s after the fuzzed input and checks that it still has itself in its view and a
// revision in force.
func (fabric *fabric) checkSurvival(t *testing.T, node *gossip.Node) {
	fabric.clock.Advance(3 * time.Second)
	if len(node.Membership().EntryVMs()) == 0 || node.Configuration() == nil || node.Configuration().Revision < 1 {
		t.Fatal("the node is missing in its own view, or has no revision")
	}
}

// Guards against packets from a peer that crash a VM, remove it from its own view or move its revision back.
func FuzzPacket(f *testing.F) {
	f.Fuzz(func(t *testing.T, content []byte) {
		packet := &peer.Packet{}
		if proto.Unmarshal(content, packet) != nil {
			return
		}
		fabric, node := startFuzzNode()
		response, err := node.HandleExchange(packet)
		if (err == nil) != (packet.Check() == nil) || (err == nil && response.Check() != nil) {
			t.Fatalf("response to the packet: %v, %v", response, err)
		}
		if node.HandlePush(packet) == nil {
			fabric.checkSurvival(t, node)
		}
	})
}

// Guards against comparisons that crash a VM or receive a response that exceeds the limits.
func FuzzCompareRequest(f *testing.F) {
	f.Fuzz(func(t *testing.T, content []byte) {
		request := &peer.CompareRequest{}
		if proto.Unmarshal(content, request) != nil {
			return
		}
		_, node := startFuzzNode()
		if response, err := node.HandleCompare(request); err == nil && response.Check() != nil {
			t.Fatalf("response exceeds the limits: %v", response)
		}
	})
}

// Guards against fetches and indirect probes that crash a VM.
func FuzzFetchAndIndirectProbeRequest(f *testing.F) {
	f.Fuzz(func(t *testing.T, content []byte) {
		fabric, node := startFuzzNode()
		request := &peer.FetchRequest{}
		if proto.Unmarshal(content, request) == nil {
			if response, err := node.HandleFetch(request); err == nil && response.Check() != nil {
				t.Fatalf("response exceeds the limits: %v", response)
			}
		}
		indirect := &peer.IndirectProbeRequest{}
		if proto.Unmarshal(content, indirect) == nil {
			node.HandleIndirectProbe(indirect, func(response *peer.IndirectProbeResponse) {
				if response.Check() != nil {
					t.Errorf("response exceeds the limits: %v", response)
				}
			})
			fabric.checkSurvival(t, node)
		}
	})
}

// forgedTransport is a transport whose peers respond to every call with the same bytes.
type forgedTransport struct {
	vmTransport
	content []byte
}

func respondForged[Content any, Message message[Content]](transport forgedTransport, done func(Message, error)) {
	response := Message(new(Content))
	if proto.Unmarshal(transport.content, response) != nil {
		done(nil, errors.New("cannot decode the response"))
		return
	}
	if checked, found := any(response).(interface{ Check() error }); found && checked.Check() != nil {
		done(nil, errors.New("the response exceeds the limits"))
		return
	}
	done(response, nil)
}

// Guards against responses from a peer that crash a VM or bring a revision into force that does not match its hash.
func FuzzResponses(f *testing.F) {
	f.Fuzz(func(t *testing.T, content []byte) {
		fabric, node := startFuzzNode()
		transport := forgedTransport{content: content}
		for _, run := range fabric.vms {
			run.forged = &transport
		}
		// A revision mark from a peer makes the node fetch; its probes get forged responses too.
		from := fabric.vms[1].node.Membership().SelfRecord().Wire()
		_ = node.HandlePush(&peer.Packet{From: from, Revision: &peer.RevisionMark{Revision: 2, HeadHash: 1}})
		fabric.checkSurvival(t, node)
	})
}
