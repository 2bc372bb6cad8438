// Package gossip spreads configuration revisions, small values and steering snapshots among entry VMs.
//
// A Node combines the membership, the revisions, the topics, the watchers of the platform's store and the writer of the
// region's steering snapshot. All of them are driven by messages, a timer service, a transport and a store that never
// block.
package gossip
