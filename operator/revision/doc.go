// Package revision publishes configurations to the platform's store and reads accepted configurations from it.
//
// A configuration is encoded into chunks of at most 1 MB that are named by their SHA-256 digest: settings and the list
// of files as text, client blocks in binary form. Chunks end at records whose key has a certain hash (content-defined
// chunking), so a change of a few records changes few chunks. The head lists the chunks of the revision in force; it is
// written last, by compare-and-swap, so that a revision comes into force atomically.
//
//	config/head             the head, JSON
//	config/chunk/<digest>   a chunk; an empty value is a chunk that was garbage-collected
//	config/pending          digests of chunks that publishers are about to write, for collection if a publisher fails
package revision
