package forward

import (
	"net/http"
	"strings"

	"oleandervane.example"
)

// hopHeaders apply to one connection only and are not forwarded. Expect would make the target respond before the
// request is written.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect",
}

// reservedHeaders are set by entry VMs; they are removed from responses of backend servers.
var reservedHeaders = []string{
	oleandervane.HeaderOutcome, oleandervane.HeaderReason, oleandervane.HeaderServedBy, oleandervane.HeaderServedIn,
}

func withoutHopHeaders(header http.Header) http.Header {
	result := header.Clone()
	if result == nil {
		result = http.Header{}
	}
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			result.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		result.Del(name)
	}
	return result
}

func (attempt *attempt) header() http.Header {
	header := withoutHopHeaders(attempt.request.Header)
	header.Del("Content-Length")
	attempt.dialect().SetAttemptHeader(header, oleandervane.Attempt{
		ID:            attempt.id,
		TimeLeft:      attempt.timeLeft(),
		BackendServer: oleandervane.BackendServerID(attempt.target.ID),

		ReplacesOrganisation: attempt.request.ReplacesOrganisation,
		Organisation:         attempt.request.Organisation,
	})
	return header
}

func responseHeader(target Target, header http.Header) http.Header {
	result := withoutHopHeaders(header)
	result.Del(oleandervane.HeaderRequestID)
	if target.Relay {
		return result
	}
	for _, name := range reservedHeaders {
		result.Del(name)
	}
	return result
}

// matchesAttempt reports whether the response belongs to the attempt. On a new connection a target that echoes no id is
// trusted, because no other request can have been sent there. On a reused one the id must be echoed, because the rest
// of an earlier exchange could otherwise be mistaken for the response.
func matchesAttempt(metadata oleandervane.ResponseMetadata, attemptID string, reused bool) bool {
	for _, id := range metadata.EchoedIDs {
		if id != attemptID {
			return false
		}
	}
	return len(metadata.EchoedIDs) > 0 || !reused
}
