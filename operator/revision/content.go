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

// Encode returns the one encoding of a configuration. The revision is not part of it. Client blocks must be ordered
// by check.ComparePrefixes, as package folder gives them.
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

// Decode makes the configuration of a head. The chunks come from the given function; their digests and contents are
// checked, so that the bytes may come from anywhere.
func Decode(head Head, chunk func(digest Digest) ([]byte, bool)) (oleandervane.Configuration, error) {
	configuration, err := decodeAllSettings(head, chunk)
	if err != nil {
		return oleandervane.Configuration{}, err
	}
	configuration.ClientBlocks = make([]oleandervane.ClientBlock, 0, min(len(head.Blocks)*blockCutter.most, check.MaxClientBlocks)/2)
	for _, digest := range head.Blocks {
		content, err := verified(digest, chunk)
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
	if err := canonical(head, configuration); err != nil {
		return oleandervane.Configuration{}, err
	}
	return configuration, nil
}

// decodeAllSettings makes the configuration of a head without its client blocks. It does not check that the settings
// are sound together, as canonical does.
func decodeAllSettings(head Head, chunk func(digest Digest) ([]byte, bool)) (oleandervane.Configuration, error) {
	configuration := oleandervane.Configuration{
		Revision: head.Revision,
		Regions:  map[oleandervane.Region]oleandervane.RegionSettings{},
		Services: map[oleandervane.ServiceName]oleandervane.Service{},
	}
	for _, digest := range head.Settings {
		content, err := verified(digest, chunk)
		if err != nil {
			return oleandervane.Configuration{}, err
		}
		if err := decodeSettings(content, &configuration); err != nil {
			return oleandervane.Configuration{}, eris.Wrapf(err, "chunk %s", digest)
		}
	}
	return configuration, nil
}

// canonical refuses settings that are unsound or that the encoder would have written differently.
func canonical(head Head, configuration oleandervane.Configuration) error {
	if findings := check.Structure(configuration); len(findings) > 0 {
		return eris.Errorf("revision %d is not sound: %s", head.Revision, findings[0])
	}
	settings, err := encodeSettings(configuration)
	if err != nil {
		return err
	}
	if !slices.Equal(digests(settings), head.Settings) {
		return eris.Errorf("the settings of revision %d are not in their one canonical form", head.Revision)
	}
	return nil
}

func verified(digest Digest, chunk func(digest Digest) ([]byte, bool)) ([]byte, error) {
	content, found := chunk(digest)
	if !found {
		return nil, eris.Errorf("chunk %s is missing", digest)
	}
	if len(content) > MaxChunkBytes || DigestOf(content) != digest {
		return nil, eris.Errorf("chunk %s has other content than its digest says", digest)
	}
	return content, nil
}
