package revision

import (
	"bytes"
	"encoding/binary"
	"net/netip"

	"github.com/rotisserie/eris"

	"oleandervane.example"
	"oleandervane.example/operator/check"
)

const (
	blocksTitle = "oleandervane blocks 1\n"
	// wideFamily is added to the length of an IPv6 prefix, so that one byte tells family and length.
	wideFamily = 64
)

// encodeBlocks returns the chunks of client blocks, which are ordered by check.ComparePrefixes.
//
// A chunk is the title, the sites it uses (count, then length and name of each), the number of blocks, and of each
// block: family and prefix length (1 byte), the number of leading bytes shared with the block before (1 byte), the
// other bytes of the prefix, the index of its site. Numbers are unsigned varints.
func encodeBlocks(blocks []oleandervane.ClientBlock) []Chunk {
	var chunks []Chunk
	start, size := 0, 0
	var before []byte
	for index, block := range blocks {
		_, address := prefixBytes(block.Prefix)
		size += 3 + len(address) - sharedBytes(before, address)
		before = address
		key := append(address[:len(address):len(address)], byte(block.Prefix.Bits()))
		if blockCutter.ends(index-start+1, key) || size >= maxBlockBytes || index == len(blocks)-1 {
			chunks = append(chunks, newChunk(encodeBlockChunk(blocks[start:index+1])))
			start, size, before = index+1, 0, nil
		}
	}
	return chunks
}

func encodeBlockChunk(blocks []oleandervane.ClientBlock) []byte {
	var sites []oleandervane.Site
	indexes := map[oleandervane.Site]uint64{}
	body := make([]byte, 0, 8*len(blocks))
	var before []byte
	for _, block := range blocks {
		site, found := indexes[block.Site]
		if !found {
			site = uint64(len(sites))
			indexes[block.Site] = site
			sites = append(sites, block.Site)
		}
		family, address := prefixBytes(block.Prefix)
		shared := sharedBytes(before, address)
		body = append(body, family, byte(shared))
		body = append(body, address[shared:]...)
		body = binary.AppendUvarint(body, site)
		before = address
	}
	content := []byte(blocksTitle)
	content = binary.AppendUvarint(content, uint64(len(sites)))
	for _, site := range sites {
		content = binary.AppendUvarint(content, uint64(len(site)))
		content = append(content, site...)
	}
	content = binary.AppendUvarint(content, uint64(len(blocks)))
	return append(content, body...)
}

// prefixBytes returns the byte of family and length, and the bytes of the address that the prefix covers.
func prefixBytes(prefix netip.Prefix) (family byte, address []byte) {
	family = byte(prefix.Bits())
	if prefix.Addr().Is6() {
		family += wideFamily
	}
	return family, prefix.Addr().AsSlice()[:(prefix.Bits()+7)/8]
}

func sharedBytes(a, b []byte) int {
	shared := 0
	for shared < len(a) && shared < len(b) && a[shared] == b[shared] {
		shared++
	}
	return shared
}

// decodeBlocks appends the blocks of a chunk. It accepts only what encodeBlockChunk writes.
func decodeBlocks(content []byte, blocks []oleandervane.ClientBlock) ([]oleandervane.ClientBlock, error) {
	reader := &blockReader{}
	rest, found := bytes.CutPrefix(content, []byte(blocksTitle))
	if !found {
		return nil, eris.New("it is not a chunk of client blocks")
	}
	reader.rest = rest
	sites := reader.sites()
	count := reader.number(maxBlocksPerChunk)
	if reader.failed || count == 0 {
		return nil, eris.New("the list of sites or the count of blocks is not valid")
	}
	start := len(blocks)
	var before []byte
	for range count {
		prefix, address := reader.prefix(before)
		site := reader.number(uint64(len(sites)) - 1)
		if reader.failed {
			return nil, eris.Errorf("block %d of the chunk is not valid", len(blocks)-start+1)
		}
		if len(blocks) > 0 && check.ComparePrefixes(blocks[len(blocks)-1].Prefix, prefix) >= 0 {
			return nil, eris.Errorf("block %s is out of order", prefix)
		}
		blocks = append(blocks, oleandervane.ClientBlock{Prefix: prefix, Site: sites[site]})
		before = address
	}
	if !bytes.Equal(encodeBlockChunk(blocks[start:]), content) {
		return nil, eris.New("the chunk is not in its one canonical form")
	}
	return blocks, nil
}

// maxBlocksPerChunk follows from the cutter; a larger count is refused before memory is taken for it.
const maxBlocksPerChunk = 8192

type blockReader struct {
	rest   []byte
	failed bool
}

func (reader *blockReader) number(most uint64) uint64 {
	value, size := binary.Uvarint(reader.rest)
	if size <= 0 || value > most || reader.failed {
		reader.failed = true
		return 0
	}
	reader.rest = reader.rest[size:]
	return value
}

func (reader *blockReader) take(count int) []byte {
	if reader.failed || count > len(reader.rest) {
		reader.failed = true
		return nil
	}
	taken := reader.rest[:count]
	reader.rest = reader.rest[count:]
	return taken
}

func (reader *blockReader) sites() []oleandervane.Site {
	var sites []oleandervane.Site
	count := reader.number(maxBlocksPerChunk)
	for range count {
		name := string(reader.take(int(reader.number(64))))
		if reader.failed || !check.Name(name) {
			reader.failed = true
			return nil
		}
		sites = append(sites, oleandervane.Site(name))
	}
	if len(sites) == 0 {
		reader.failed = true
	}
	return sites
}

func (reader *blockReader) prefix(before []byte) (netip.Prefix, []byte) {
	header := reader.take(2)
	if reader.failed {
		return netip.Prefix{}, nil
	}
	bits, size := int(header[0]), 4
	if bits >= wideFamily {
		bits, size = bits-wideFamily, 16
	}
	length, shared := (bits+7)/8, int(header[1])
	if bits > size*8 || shared > length || shared > len(before) {
		reader.failed = true
		return netip.Prefix{}, nil
	}
	address := make([]byte, size)
	copy(address, before[:shared])
	copy(address[shared:length], reader.take(length-shared))
	parsed, _ := netip.AddrFromSlice(address)
	prefix := netip.PrefixFrom(parsed, bits)
	if prefix != prefix.Masked() || parsed.Is4In6() {
		reader.failed = true
	}
	return prefix, address[:length]
}
