package forward

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"oleandervane.example"
)

// Guards against a wrong outcome for each way in which a target can behave. Idempotent and non-idempotent requests are
// classified alike, and each is sent exactly once to the only target.
func TestClassification(t *testing.T) {
	for _, fields := range readTable(t, "testdata/classification.txt") {
		t.Run(fields[0], func(t *testing.T) {
			for _, idempotent := range []bool{false, true} {
				checkClassification(t, fields, idempotent)
			}
		})
	}
}

func checkClassification(t *testing.T, fields []string, idempotent bool) {
	t.Helper()
	server := scripted(t, "b1", fields[2])
	server.target.Relay = fields[1] == "relay"
	forwarder, _ := newTestForwarder(t)
	allowRetries(forwarder)
	chooser := &targets{list: []Target{server.target}}
	result := forwarder.Forward(context.Background(), testRequest(idempotent, "POST", "body"), chooser)
	assert.Equal(t, result.Outcome, oleandervane.Outcome(fields[3]), "%v", result.Err)
	assert.Equal(t, result.Reason, Reason(fields[4]))
	assert.Equal(t, server.requests.Load(), int64(1))
	assert.Equal(t, len(chooser.released), 1)
	if result.Response != nil {
		assert.Equal(t, string(result.Response.Body), fields[5])
	}
}
