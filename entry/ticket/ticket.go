package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"time"

	"oleandervane.example"
)

const (
	formatVersion = 1
	// macBytes is the length of the truncated HMAC-SHA-256; 128 bits leave no room for guessing in a ticket's lifetime.
	macBytes = 16
	// maxNameBytes bounds each name inside a ticket, so that its length fits one byte.
	maxNameBytes = 255
	// maxTextBytes bounds the text that Parse accepts: three names, the fixed fields and the MAC in base64.
	maxTextBytes = 1200
)

var (
	// ErrMalformed says that a text is not a ticket of any VM.
	ErrMalformed = errors.New("the text is not a ticket")
	// ErrNameTooLong says that a ticket cannot hold a name.
	ErrNameTooLong = errors.New("a name is too long for a ticket")
)

// Ticket is permission to run one non-idempotent request once, bound to the incarnation that issued it. It is
// immutable. A parsed ticket is a claim: only the ledger that issued it can verify it.
type Ticket struct {
	VM          oleandervane.VMID
	Incarnation oleandervane.Incarnation
	Sequence    uint64
	Service     oleandervane.ServiceName
	Kind        oleandervane.KindName
	// ExpiresAfter counts from the start of the incarnation, on the ledger's own clock. Only the issuing
	// incarnation evaluates it, so clocks of different VMs are never compared.
	ExpiresAfter time.Duration
}

// Parse decodes a ticket without verifying it. It fails with ErrMalformed. A VM uses it to find the issuing VM.
func Parse(text string) (Ticket, error) {
	ticket, _, _, err := decode(text)
	return ticket, err
}

func (ticket Ticket) encode(key []byte) string {
	body := make([]byte, 0, 128)
	body = append(body, formatVersion)
	body = appendName(body, string(ticket.VM))
	body = binary.BigEndian.AppendUint64(body, uint64(ticket.Incarnation))
	body = binary.BigEndian.AppendUint64(body, ticket.Sequence)
	body = appendName(body, string(ticket.Service))
	body = appendName(body, string(ticket.Kind))
	body = binary.BigEndian.AppendUint64(body, uint64(ticket.ExpiresAfter))
	body = append(body, authenticationCode(key, body)...)
	return base64.RawURLEncoding.EncodeToString(body)
}

func decode(text string) (ticket Ticket, body, code []byte, err error) {
	if len(text) > maxTextBytes {
		return Ticket{}, nil, nil, ErrMalformed
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(raw) <= macBytes {
		return Ticket{}, nil, nil, ErrMalformed
	}
	body, code = raw[:len(raw)-macBytes], raw[len(raw)-macBytes:]
	fields := fieldReader{rest: body}
	version := fields.take(1)
	ticket.VM = oleandervane.VMID(fields.name())
	ticket.Incarnation = oleandervane.Incarnation(fields.number())
	ticket.Sequence = fields.number()
	ticket.Service = oleandervane.ServiceName(fields.name())
	ticket.Kind = oleandervane.KindName(fields.name())
	ticket.ExpiresAfter = time.Duration(fields.number())
	if fields.failed || len(fields.rest) > 0 || version[0] != formatVersion {
		return Ticket{}, nil, nil, ErrMalformed
	}
	return ticket, body, code, nil
}

func authenticationCode(key, body []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(body)
	return mac.Sum(nil)[:macBytes]
}

func appendName(body []byte, name string) []byte {
	body = append(body, byte(len(name)))
	return append(body, name...)
}

// fieldReader reads the fields of an encoded ticket and remembers whether one was cut short.
type fieldReader struct {
	rest   []byte
	failed bool
}

func (fields *fieldReader) take(length int) []byte {
	if fields.failed || len(fields.rest) < length {
		fields.failed = true
		return make([]byte, length)
	}
	field := fields.rest[:length]
	fields.rest = fields.rest[length:]
	return field
}

func (fields *fieldReader) number() uint64 {
	return binary.BigEndian.Uint64(fields.take(8))
}

func (fields *fieldReader) name() string {
	length := int(fields.take(1)[0])
	return string(fields.take(length))
}
