// Package responsehead checks the status lines and field names of HTTP/1 responses strictly. The reader of net/http accepts any version,
// several spaces, all numbers of three digits, blanks in the name of a field, and fields that continue on the next line.
package responsehead

import (
	"errors"
	"fmt"
	"strings"
)

const (
	// codeEnd is the length of "HTTP/1.1 200".
	codeEnd = 12
	// maxInterim bounds the interim responses before a response. No server of the platform sends more than one.
	maxInterim = 5
	// switchingProtocols is an interim status that no reader asks for.
	switchingProtocols = 101
	// transferEncoding is the name of the field that announces a body in chunks.
	transferEncoding = "Transfer-Encoding"
)

// Errors of a Checker.
var (
	// ErrInvalid is the error of a response whose head is invalid.
	ErrInvalid = errors.New("the response has an invalid head")
	// errStatusLine means that a response is not HTTP/1.0 or HTTP/1.1 with a status from 200 to 599, or that there are too many interim
	// responses before it.
	errStatusLine = fmt.Errorf("%w: status line", ErrInvalid)
	// errFieldName means that a line of the head does not begin with a token and a colon (RFC 9112, section 5). A line that continues
	// the one before is rejected, as section 5.2 allows: its beginning may be the name of a field.
	errFieldName = fmt.Errorf("%w: field name", ErrInvalid)
	// errFraming means that an HTTP/1.0 response has a Transfer-Encoding, which net/http ignores: the marks of the chunks would be part
	// of the body (RFC 9112, section 6.1).
	errFraming = fmt.Errorf("%w: transfer encoding of HTTP/1.0", ErrInvalid)
)

// Checker checks the heads of one response and of the interim responses before it, in the bytes of a connection. The zero value checks
// nothing before Begin.
type Checker struct {
	state state
	// length is the number of bytes of the current status line or field name, line the first of them.
	length int
	line   [len(transferEncoding)]byte
	// http10 says that the version of the response is HTTP/1.0.
	http10 bool
	// interim is the number of interim responses so far. final says that the current head is that of the response.
	interim int
	final   bool
}

// state is the part of a response to which the next byte belongs.
type state int

const (
	// stateDone is the body, or what follows it.
	stateDone state = iota
	stateStatus
	// stateReason is the rest of a status line.
	stateReason
	stateName
	stateValue
	// stateEnd is the line feed after the carriage return of an empty line.
	stateEnd
)

// Begin says that the next byte is the first of a response.
func (checker *Checker) Begin() {
	*checker = Checker{state: stateStatus}
}

// Check checks the next bytes of the connection. It must not be called again after an error.
func (checker *Checker) Check(bytes []byte) error {
	for _, next := range bytes {
		if checker.state == stateDone {
			return nil
		}
		if err := checker.add(next); err != nil {
			return err
		}
	}
	return nil
}

func (checker *Checker) add(next byte) error {
	switch checker.state {
	case stateStatus:
		return checker.addToStatus(next)
	case stateName:
		return checker.addToName(next)
	case stateReason, stateValue:
		if next == '\n' {
			checker.state, checker.length = stateName, 0
		}
	case stateEnd:
		if next != '\n' {
			return checker.invalid(errFieldName, next)
		}
		checker.endHead()
	}
	return nil
}

// record adds a byte to the current line.
func (checker *Checker) record(next byte) {
	if checker.length < len(checker.line) {
		checker.line[checker.length] = next
	}
	checker.length++
}

// invalid returns an error with the beginning of the current line, to its invalid byte if that is not too far.
func (checker *Checker) invalid(err error, next byte) error {
	checker.record(next)
	return fmt.Errorf("%w: it begins with %q", err, checker.line[:min(checker.length, len(checker.line))])
}

// addToStatus adds a byte of a status line. The byte after the status decides, so that a fourth digit is found.
func (checker *Checker) addToStatus(next byte) error {
	if checker.length < codeEnd {
		if next == '\n' {
			return checker.invalid(errStatusLine, next)
		}
		checker.record(next)
		return nil
	}
	status := parse(string(checker.line[:codeEnd]))
	checker.http10 = strings.HasPrefix(string(checker.line[:]), "HTTP/1.0 ")
	checker.final = status >= 200 && status <= 599
	valid := checker.final || status >= 100 && status <= 199 && status != switchingProtocols && checker.interim < maxInterim
	if !valid || next != ' ' && next != '\r' && next != '\n' {
		return checker.invalid(errStatusLine, next)
	}
	checker.state = stateReason
	return checker.add(next)
}

// addToName adds a byte of a field name, or of the empty line that ends the head.
func (checker *Checker) addToName(next byte) error {
	switch {
	case next == ':' && checker.http10 && checker.isTransferEncoding():
		return checker.invalid(errFraming, next)
	case next == ':' && checker.length > 0:
		checker.state = stateValue
	case next == '\r' && checker.length == 0:
		checker.state = stateEnd
	case next == '\n' && checker.length == 0:
		checker.endHead()
	case !isTokenByte(next):
		return checker.invalid(errFieldName, next)
	default:
		checker.record(next)
	}
	return nil
}

// isTransferEncoding reports whether the current line is the name of that field.
func (checker *Checker) isTransferEncoding() bool {
	return checker.length == len(transferEncoding) && strings.EqualFold(string(checker.line[:]), transferEncoding)
}

// endHead ends a head. Another one follows that of an interim response.
func (checker *Checker) endHead() {
	if checker.final {
		checker.state = stateDone
		return
	}
	checker.interim++
	checker.state, checker.length = stateStatus, 0
}

// isTokenByte reports whether a byte may be part of a field name (RFC 9110, section 5.6.2).
func isTokenByte(next byte) bool {
	switch {
	case next >= '0' && next <= '9', next >= 'a' && next <= 'z', next >= 'A' && next <= 'Z':
		return true
	}
	return strings.IndexByte("!#$%&'*+-.^_`|~", next) >= 0
}

// parse returns the status in the beginning of a status line, or 0 if it is invalid.
func parse(beginning string) int {
	version, digits := beginning[:9], beginning[9:]
	if version != "HTTP/1.1 " && version != "HTTP/1.0 " {
		return 0
	}
	status := 0
	for _, digit := range []byte(digits) {
		if digit < '0' || digit > '9' {
			return 0
		}
		status = status*10 + int(digit-'0')
	}
	return status
}
