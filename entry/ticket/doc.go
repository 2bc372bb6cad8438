// Package ticket is the ledger of the single-use tickets of one incarnation of an entry VM. It makes sure that
// the request of a ticket runs at most once, and that nothing but the truth is told of its outcome.
package ticket
