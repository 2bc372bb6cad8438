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
	// ipv6Offset is added to the length of an IPv6 prefix, so that one byte encodes family and length.
	ipv6Offset = 64
)

// encodeBlocks returns the chunks of client blocks, which are ordered by check.ComparePrefixes.
//
// A chunk is the title, the sites it uses (count, then length and name of each), the number of blocks, and of each
// block: family and prefix length (1 byte), the number of leading bytes shared with the previous block (1 byte),
// the remaining bytes of the prefix, the index of its site. Numbers are unsigned varints.
func encodeBlocks(blocks []oleandervane.ClientBlock) []Chunk {
	var chunks []Chunk
	start, size := 0, 0
	var before, address prefixBytes
	for index, block := range blocks {
		address.set(block.Prefix)
		size += 3 + address.length - before.shared(&address)
		before = address
		if blockChunker.ends(index-start+1, address.key(block.Prefix.Bits())) || size >= maxBlockBytes || index == len(blocks)-1 {
			chunks = append(chunks, newChunk(encodeBlockChunk(blocks[start:index+1])))
			start, size, before = index+1, 0, prefixBytes{}
		}
	}
	return chunks
}

func encodeBlockChunk(blocks []oleandervane.ClientBlock) []byte {
	var sites []oleandervane.Site
	indexes := map[oleandervane.Site]uint64{}
	body := make([]byte, 0, 8*len(blocks))
	var before, address prefixBytes
	for _, block := range blocks {
		site, found := indexes[block.Site]
		if !found {
			site = uint64(len(sites))
			indexes[block.Site] = site
			sites = append(sites, block.Site)
		}
		address.set(block.Prefix)
		shared := before.shared(&address)
		body = append(body, address.family, byte(shared))
		body = append(body, address.bytes[shared:address.length]...)
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

// prefixBytes is a prefix in the form used in chunks. It has no pointer, so that encoding millions of blocks does not
// allocate memory for each.
type prefixBytes struct {
	// family encodes the address family and the prefix length.
	family byte
	// length is the number of bytes of the address that the prefix covers.
	length int
	// bytes has the address, and one more byte for the prefix length in a key.
	bytes [17]byte
}

func (prefixBytes *prefixBytes) set(prefix netip.Prefix) {
	prefixBytes.family = byte(prefix.Bits())
	prefixBytes.length = (prefix.Bits() + 7) / 8
	if prefix.Addr().Is6() {
		prefixBytes.family += ipv6Offset
		address := prefix.Addr().As16()
		copy(prefixBytes.bytes[:], address[:])
		return
	}
	address := prefix.Addr().As4()
	copy(prefixBytes.bytes[:], address[:])
}

// shared returns the number of leading bytes that both prefixes have in common.
func (prefixBytes *prefixBytes) shared(other *prefixBytes) int {
	shared := 0
	for shared < min(prefixBytes.length, other.length) && prefixBytes.bytes[shared] == other.bytes[shared] {
		shared++
	}
	return shared
}

// key returns the covered bytes and the length of the prefix, whose hash decides where chunks end.
func (prefixBytes *prefixBytes) key(bits int) []byte {
	prefixBytes.bytes[prefixBytes.length] = byte(bits)
	return prefixBytes.bytes[:prefixBytes.length+1]
}

// decodeBlocks appends the blocks of a chunk to blocks. It accepts only the output of encodeBlockChunk.
func decodeBlocks(content []byte, blocks []oleandervane.ClientBlock) ([]oleandervane.ClientBlock, error) {
	reader := &blockReader{}
	rest, found := bytes.CutPrefix(content, []byte(blocksTitle))
	if !found {
		return nil, eris.New("the chunk does not contain client blocks")
	}
	reader.rest = rest
	sites := reader.sites()
	count := reader.number(maxBlocksPerChunk)
	if reader.failed || count == 0 {
		return nil, eris.New("the list of sites or the count of blocks is not valid")
	}
	start := len(blocks)
	for range count {
		prefix := reader.prefix()
		site := reader.number(uint64(len(sites)) - 1)
		if reader.failed {
			return nil, eris.Errorf("block %d of the chunk is not valid", len(blocks)-start+1)
		}
		if len(blocks) > 0 && check.ComparePrefixes(blocks[len(blocks)-1].Prefix, prefix) >= 0 {
			return nil, eris.Errorf("block %s is out of order", prefix)
		}
		blocks = append(blocks, oleandervane.ClientBlock{Prefix: prefix, Site: sites[site]})
	}
	if !bytes.Equal(encodeBlockChunk(blocks[start:]), content) {
		return nil, eris.New("the chunk is not in canonical form")
	}
	return blocks, nil
}

// maxBlocksPerChunk is above the maximum of blockChunker; a larger count is rejected before memory is allocated for it.
const maxBlocksPerChunk = 8192

type blockReader struct {
	rest   []byte
	failed bool
	// address has the bytes of the previous block, of which the prefix covers the first length bytes.
	address [16]byte
	length  int
}

func (reader *blockReader) number(maximum uint64) uint64 {
	value, size := binary.Uvarint(reader.rest)
	if size <= 0 || value > maximum || reader.failed {
		reader.failed = true
		return 0
	}
	reader.rest = reader.rest[size:]
	return value
}

func (reader *blockReader) read(count int) []byte {
	if reader.failed || count > len(reader.rest) {
		reader.failed = true
		return nil
	}
	data := reader.rest[:count]
	reader.rest = reader.rest[count:]
	return data
}

func (reader *blockReader) sites() []oleandervane.Site {
	var sites []oleandervane.Site
	count := reader.number(maxBlocksPerChunk)
	for range count {
		name := string(reader.read(int(reader.number(64))))
		if reader.failed || !check.IsValidName(name) {
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

func (reader *blockReader) prefix() netip.Prefix {
	header := reader.read(2)
	if reader.failed {
		return netip.Prefix{}
	}
	bits, size := int(header[0]), 4
	if bits >= ipv6Offset {
		bits, size = bits-ipv6Offset, 16
	}
	length, shared := (bits+7)/8, int(header[1])
	if bits > size*8 || shared > length || shared > reader.length {
		reader.failed = true
		return netip.Prefix{}
	}
	clear(reader.address[shared:])
	copy(reader.address[shared:length], reader.read(length-shared))
	reader.length = length
	address := netip.AddrFrom16(reader.address)
	if size == 4 {
		address = netip.AddrFrom4([4]byte(reader.address[:4]))
	}
	prefix := netip.PrefixFrom(address, bits)
	if prefix != prefix.Masked() || address.Is4In6() {
		reader.failed = true
	}
	return prefix
}
