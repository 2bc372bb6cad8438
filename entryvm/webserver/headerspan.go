package webserver

import "bytes"

// headerSpan finds the end of a request's header in the bytes of a connection, so that a body or requests that are read together with it
// do not count as header.
type headerSpan struct {
	// begun is set after a line that is not empty; empty lines before it are skipped, as the server does after a POST.
	begun bool
	// inLine is set in the middle of a line, ended after the empty line at the end.
	inLine, ended bool
}

// measure returns the number of bytes and lines that belong to the header.
func (headerSpan *headerSpan) measure(read []byte) (size, lines int64) {
	for rest := read; len(rest) > 0 && !headerSpan.ended; {
		line, remaining, complete := bytes.Cut(rest, []byte{'\n'})
		headerSpan.inLine = headerSpan.inLine || len(bytes.TrimLeft(line, "\r")) > 0
		if complete {
			lines++
			headerSpan.ended = headerSpan.begun && !headerSpan.inLine
			headerSpan.begun = headerSpan.begun || headerSpan.inLine
			headerSpan.inLine = false
		}
		size += int64(len(rest) - len(remaining))
		rest = remaining
	}
	return size, lines
}
