// Package gateway implements the HTTP service of an entry VM for callers, with look-ups, tickets, requests and their
// outcomes. It also serves requests that entry VMs of other regions relay.
//
// Every response has the header Oleandervane-Outcome with the value answered, not_run or unknown. A response with a
// value other than answered has a JSON body
//
//	{"outcome":"not_run","reason":"shed","detail":"...","ticket_state":"..."}
package gateway
