package forward

import (
	"net/http"
	"strconv"

	"oleandervane.example"
)

// nativeDialect is the dialect of backend servers that use oleandervane's own headers.
type nativeDialect struct{}

func (nativeDialect) SetAttemptHeader(header http.Header, attempt oleandervane.Attempt) {
	header.Set(oleandervane.HeaderRequestID, attempt.ID)
	header.Set(oleandervane.HeaderDeadlineMillis, strconv.FormatInt(attempt.TimeLeft.Milliseconds(), 10))
}

func (nativeDialect) ReadResponse(status int, header http.Header) oleandervane.ResponseMetadata {
	return oleandervane.ResponseMetadata{
		EchoedIDs: header.Values(oleandervane.HeaderRequestID),
		NotRun:    status == http.StatusServiceUnavailable && header.Get(oleandervane.HeaderShed) == "1",
	}
}
