// Package gossip spreads configuration revisions, small values and steering snapshots among entry VMs.
//
// A Node joins the parts: the membership, the revisions, the topics, the watchers of the platform's store and the
// writer of the region's steering snapshot. All of them run on messages, a timer service, a transport and a store
// that never block.
package gossip
