// Package ticket implements the ledger of the single-use tickets that one incarnation of an entry VM issues. The ledger
// guarantees that the request of a ticket runs at most once, and that its outcome is never reported wrongly.
package ticket
