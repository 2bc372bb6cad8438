package revision

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"

	"github.com/rotisserie/eris"
)

// Digest is the SHA-256 of a chunk, a file or a head. Its text form is 64 lower-case hexadecimal digits.
type Digest [sha256.Size]byte

// DigestOf returns the SHA-256 digest of content.
func DigestOf(content []byte) Digest {
	return sha256.Sum256(content)
}

// String returns the text form.
func (digest Digest) String() string {
	return hex.EncodeToString(digest[:])
}

// MarshalText returns the text form.
func (digest Digest) MarshalText() ([]byte, error) {
	return []byte(digest.String()), nil
}

// UnmarshalText parses the text form. It rejects capital letters, so that a digest has only one text form.
func (digest *Digest) UnmarshalText(text []byte) error {
	var decoded Digest
	if len(text) != hex.EncodedLen(len(decoded)) {
		return eris.Errorf("a digest has %d digits, not %d", hex.EncodedLen(len(decoded)), len(text))
	}
	if _, err := hex.Decode(decoded[:], text); err != nil || !bytes.Equal(text, []byte(decoded.String())) {
		return eris.Errorf("%q is not a digest", text)
	}
	*digest = decoded
	return nil
}
