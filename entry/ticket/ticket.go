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
	// macBytes is the length of the truncated HMAC-SHA-256. 128 bits cannot be guessed within the lifetime of a ticket.
	macBytes = 16
	// maxNameBytes bounds each name in a ticket, so that its length fits into one byte.
	maxNameBytes = 255
	// maxTextBytes bounds the text that Parse accepts: three names, the fixed fields and the MAC in base64.
	maxTextBytes = 1200
)

var (
	// ErrMalformed means that a text is not a ticket of any VM.
	ErrMalformed = errors.New("the text is not a ticket")
	// ErrNameTooLong means that a name is longer than a ticket allows.
	ErrNameTooLong = errors.New("a name is too long for a ticket")
)

// Ticket is the permission to run one non-idempotent request once. It is bound to the incarnation that issued it. It is
// immutable. A parsed ticket is unverified; only the ledger that issued it can verify it.
type Ticket struct {
	VM          oleandervane.VMID
	Incarnation oleandervane.Incarnation
	Sequence    uint64
	Service     oleandervane.ServiceName
	Kind        oleandervane.KindName
	// ExpiresAfter is the time from the start of the incarnation, by the clock of the ledger. Only the issuing
	// incarnation evaluates it, so clocks of different VMs are never compared.
	ExpiresAfter time.Duration
}

// Parse decodes a ticket without verifying it, for example to find the issuing VM. It fails with ErrMalformed.
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
	fields := fieldReader{remaining: body}
	version := fields.read(1)
	ticket.VM = oleandervane.VMID(fields.name())
	ticket.Incarnation = oleandervane.Incarnation(fields.number())
	ticket.Sequence = fields.number()
	ticket.Service = oleandervane.ServiceName(fields.name())
	ticket.Kind = oleandervane.KindName(fields.name())
	ticket.ExpiresAfter = time.Duration(fields.number())
	if fields.truncated || len(fields.remaining) > 0 || version[0] != formatVersion {
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

// fieldReader reads the fields of an encoded ticket and records whether a field was truncated.
type fieldReader struct {
	remaining []byte
	truncated bool
}

func (fields *fieldReader) read(length int) []byte {
	if fields.truncated || len(fields.remaining) < length {
		fields.truncated = true
		return make([]byte, length)
	}
	field := fields.remaining[:length]
	fields.remaining = fields.remaining[length:]
	return field
}

func (fields *fieldReader) number() uint64 {
	return binary.BigEndian.Uint64(fields.read(8))
}

func (fields *fieldReader) name() string {
	length := int(fields.read(1)[0])
	return string(fields.read(length))
}
