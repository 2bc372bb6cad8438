package forward

import (
	"net/http"
	"strings"

	"oleandervane.example"
)

// hopHeaders concern one connection only and are not sent on. Expect would make the target answer before the
// request is written.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect",
}

// ownHeaders are set by entry VMs; a backend server cannot set them in their place.
var ownHeaders = []string{
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
	})
	return header
}

func responseHeader(target Target, header http.Header) http.Header {
	result := withoutHopHeaders(header)
	result.Del(oleandervane.HeaderRequestID)
	if target.Relay {
		return result
	}
	for _, name := range ownHeaders {
		result.Del(name)
	}
	return result
}

// belongsTo says whether the response is that of the attempt. On a new connection a target that echoes no id is
// trusted, because nothing else can have been asked there. On a reused one the id must be echoed: the rest of an
// earlier exchange could otherwise pass for the response.
func belongsTo(answer oleandervane.Answer, attemptID string, reused bool) bool {
	for _, id := range answer.EchoedIDs {
		if id != attemptID {
			return false
		}
	}
	return len(answer.EchoedIDs) > 0 || !reused
}
