package lookup

import (
	"encoding/binary"
	"math/bits"
	"net/netip"
)

// key is an address as a 128-bit number. An IPv4 address is in the upper 32 bits, so that blocks of both families
// compare in the same way and the lower half of a prefix of up to 64 bits is zero.
type key struct {
	high uint64
	low  uint64
}

func keyOf(address netip.Addr) key {
	if address.Is4() {
		octets := address.As4()
		return key{high: uint64(binary.BigEndian.Uint32(octets[:])) << 32}
	}
	octets := address.As16()
	return key{high: binary.BigEndian.Uint64(octets[:8]), low: binary.BigEndian.Uint64(octets[8:])}
}

// address returns the address of a key in the given family.
func (key key) address(is4 bool) netip.Addr {
	if is4 {
		var octets [4]byte
		binary.BigEndian.PutUint32(octets[:], uint32(key.high>>32))
		return netip.AddrFrom4(octets)
	}
	var octets [16]byte
	binary.BigEndian.PutUint64(octets[:8], key.high)
	binary.BigEndian.PutUint64(octets[8:], key.low)
	return netip.AddrFrom16(octets)
}

func (key key) compare(other key) int {
	if key.high != other.high {
		if key.high < other.high {
			return -1
		}
		return 1
	}
	if key.low < other.low {
		return -1
	}
	if key.low > other.low {
		return 1
	}
	return 0
}

// contains reports whether the prefix of the given length at key contains other.
func (key key) contains(prefixBits uint8, other key) bool {
	if prefixBits <= 64 {
		return (key.high^other.high)&^(^uint64(0)>>prefixBits) == 0
	}
	return key.high == other.high && (key.low^other.low)&^(^uint64(0)>>(prefixBits-64)) == 0
}

// mix returns a well-distributed hash of a word. It is the finalizer of splitmix64.
func mix(word uint64) uint64 {
	word ^= word >> 30
	word *= 0xbf58476d1ce4e5b9
	word ^= word >> 27
	word *= 0x94d049bb133111eb
	return word ^ word>>31
}

// hashBlock returns the hash of a block. It is the same on all VMs and in all runs.
func hashBlock(start key, prefixBits uint8, is4 bool) uint64 {
	family := uint64(6)
	if is4 {
		family = 4
	}
	return mix(start.high ^ mix(start.low^mix(uint64(prefixBits)<<8|family)))
}

// hashCaller returns the hash of a caller's address within its block.
func hashCaller(blockHash uint64, address key) uint64 {
	return mix(bits.RotateLeft64(blockHash, 32) ^ mix(address.high^mix(address.low+1)))
}
