// Package responsehead checks the status lines of HTTP/1 responses strictly. The reader of net/http accepts any version, several spaces
// and all numbers of three digits.
package responsehead

import (
	"errors"
	"fmt"
)

const (
	// codeEnd is the length of "HTTP/1.1 200".
	codeEnd = 12
	// maxInterim bounds the interim responses before a response. No server of the platform sends more than one.
	maxInterim = 5
	// switchingProtocols is an interim status that no reader asks for.
	switchingProtocols = 101
)

// ErrInvalid is the error of a response that is not HTTP/1.0 or HTTP/1.1 with a status from 200 to 599, or that has too many interim
// responses before it.
var ErrInvalid = errors.New("the response has an invalid status line")

// Checker checks the status lines of one response and of the interim responses before it, in the bytes of a connection. The zero
// value checks nothing before Begin.
type Checker struct {
	state   state
	line    [codeEnd + 1]byte
	length  int
	interim int
	// headerLength is the length of the current line of an interim response's header.
	headerLength int
}

type state int

const (
	stateDone state = iota
	stateStatus
	stateInterim
	stateInvalid
)

// Begin says that the next byte is the first of a response.
func (checker *Checker) Begin() {
	*checker = Checker{state: stateStatus}
}

// Check checks the next bytes of the connection. It must not be called again after an error.
func (checker *Checker) Check(bytes []byte) error {
	for _, next := range bytes {
		switch checker.state {
		case stateDone:
			return nil
		case stateStatus:
			checker.addToStatus(next)
		case stateInterim:
			checker.addToInterim(next)
		}
		if checker.state == stateInvalid {
			return fmt.Errorf("%w: it begins with %q", ErrInvalid, checker.line[:checker.length])
		}
	}
	return nil
}

// addToStatus adds a byte of a status line. The byte after the status decides, so that a fourth digit is found.
func (checker *Checker) addToStatus(next byte) {
	checker.line[checker.length] = next
	checker.length++
	if checker.length <= codeEnd {
		if next == '\n' {
			checker.state = stateInvalid
		}
		return
	}
	checker.state = stateInvalid
	status := parse(string(checker.line[:codeEnd]))
	if next != ' ' && next != '\r' && next != '\n' {
		return
	}
	switch {
	case status >= 200 && status <= 599:
		checker.state = stateDone
	case status >= 100 && status <= 199 && status != switchingProtocols && checker.interim < maxInterim:
		checker.interim++
		checker.headerLength = codeEnd
		checker.state = stateInterim
		checker.addToInterim(next)
	}
}

// addToInterim adds a byte of the header of an interim response, which ends with an empty line.
func (checker *Checker) addToInterim(next byte) {
	switch {
	case next == '\n' && checker.headerLength == 0:
		checker.state, checker.length = stateStatus, 0
	case next == '\n':
		checker.headerLength = 0
	case next != '\r':
		checker.headerLength++
	}
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
