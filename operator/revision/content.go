package revision

import (
	"slices"

	"github.com/rotisserie/eris"

	"oleandervane.example"
	"oleandervane.example/operator/check"
)

// Content is an encoded configuration. It is immutable.
type Content struct {
	Settings []Chunk
	Blocks   []Chunk
}

// Encode returns the canonical encoding of a configuration, without its revision. Client blocks must be ordered by
// check.ComparePrefixes, as package folder returns them.
func Encode(configuration oleandervane.Configuration) (Content, error) {
	settings, err := encodeSettings(configuration)
	if err != nil {
		return Content{}, err
	}
	return Content{Settings: settings, Blocks: encodeBlocks(configuration.ClientBlocks)}, nil
}

// Chunks returns all chunks.
func (content Content) Chunks() []Chunk {
	return slices.Concat(content.Settings, content.Blocks)
}

// Decode returns the configuration of a head. The chunks come from the given function; their digests and contents are
// checked, so the function may return bytes from an untrusted source.
func Decode(head Head, chunk func(digest Digest) ([]byte, bool)) (oleandervane.Configuration, error) {
	configuration, err := decodeAllSettings(head, chunk)
	if err != nil {
		return oleandervane.Configuration{}, err
	}
	configuration.ClientBlocks = make([]oleandervane.ClientBlock, 0, min(len(head.Blocks)*blockChunker.maximum, check.MaxClientBlocks)/2)
	for _, digest := range head.Blocks {
		content, err := verifyChunk(digest, chunk)
		if err != nil {
			return oleandervane.Configuration{}, err
		}
		configuration.ClientBlocks, err = decodeBlocks(content, configuration.ClientBlocks)
		if err != nil {
			return oleandervane.Configuration{}, eris.Wrapf(err, "chunk %s", digest)
		}
		if len(configuration.ClientBlocks) > check.MaxClientBlocks {
			return oleandervane.Configuration{}, eris.New("there are too many client blocks")
		}
	}
	if err := checkCanonical(head, configuration); err != nil {
		return oleandervane.Configuration{}, err
	}
	return configuration, nil
}

// decodeAllSettings returns the configuration of a head without its client blocks. Unlike checkCanonical, it does not
// validate the settings together.
func decodeAllSettings(head Head, chunk func(digest Digest) ([]byte, bool)) (oleandervane.Configuration, error) {
	configuration := oleandervane.Configuration{
		Revision: head.Revision,
		Regions:  map[oleandervane.Region]oleandervane.RegionSettings{},
		Services: map[oleandervane.ServiceName]oleandervane.Service{},
	}
	for _, digest := range head.Settings {
		content, err := verifyChunk(digest, chunk)
		if err != nil {
			return oleandervane.Configuration{}, err
		}
		if err := decodeSettings(content, &configuration); err != nil {
			return oleandervane.Configuration{}, eris.Wrapf(err, "chunk %s", digest)
		}
	}
	return configuration, nil
}

// checkCanonical returns an error if the settings are invalid or if Encode would have written them differently.
func checkCanonical(head Head, configuration oleandervane.Configuration) error {
	if findings := check.Structure(configuration); len(findings) > 0 {
		return eris.Errorf("revision %d is invalid: %s", head.Revision, findings[0])
	}
	settings, err := encodeSettings(configuration)
	if err != nil {
		return err
	}
	if !slices.Equal(digests(settings), head.Settings) {
		return eris.Errorf("the settings of revision %d are not in canonical form", head.Revision)
	}
	return nil
}

func verifyChunk(digest Digest, chunk func(digest Digest) ([]byte, bool)) ([]byte, error) {
	content, found := chunk(digest)
	if !found {
		return nil, eris.Errorf("chunk %s is missing", digest)
	}
	if len(content) > MaxChunkBytes || DigestOf(content) != digest {
		return nil, eris.Errorf("the content of chunk %s does not match its digest", digest)
	}
	return content, nil
}
