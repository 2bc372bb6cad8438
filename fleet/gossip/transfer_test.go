package gossip

import (
	"testing"

	"gotest.tools/v3/assert"

	"oleandervane.example"
)

// Guards against a receiver of configurations that panics once and ends the process, because the lock is not held again, or gets no
// configuration from then on.
func TestPanicOfAReceiverCostsOneConfiguration(t *testing.T) {
	received := 0
	node := &Node{settings: Settings{ConfigurationAccepted: func(*oleandervane.Configuration) {
		received++
		if received == 1 {
			panic("receiver")
		}
	}}}
	node.notifications = make([]*oleandervane.Configuration, 2)
	func() {
		defer func() { assert.Equal(t, recover(), "receiver") }()
		node.notifyAccepted()
	}()
	node.notifyAccepted()
	assert.Equal(t, received, 2)
}
