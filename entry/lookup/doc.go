// Package lookup decides which entry VMs a caller should use. A Table maps client blocks to sites. A Partition moves
// some of a region's blocks to other regions. A Lookup publishes both together with the entry VMs as an immutable
// snapshot, so that decisions need no locks and do not allocate.
package lookup
