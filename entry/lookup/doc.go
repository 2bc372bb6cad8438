// Package lookup decides which entry VMs a caller should use. A Table maps client blocks to sites, a
// Partition moves parts of a region's blocks to other regions, and a Lookup publishes both together with the
// entry VMs as one immutable snapshot, from which decisions are made without locks and without allocation.
package lookup
