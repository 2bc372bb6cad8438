// Package revision keeps accepted configurations in the platform's store.
//
// A configuration is encoded into chunks of at most 1 MB that are named by their SHA-256 digest: settings and the list
// of files as text, client blocks in binary form. Chunks end where a hash of a record's own key says so, hence a change
// of a few records changes few chunks. The head names the chunks of the revision in force; it is written last, by
// compare-and-swap, so that a revision is in force as a whole or not at all.
//
//	config/head             the head, JSON
//	config/chunk/<digest>   a chunk; an empty value is a chunk that was collected
//	config/pending          digests of chunks that publishers are about to write, for collection if they die
package revision
