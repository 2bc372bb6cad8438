// Package gateway is the HTTP service of an entry VM towards callers: look-ups, tickets, requests and their
// outcomes, and requests that entry VMs of other regions relay.
//
// Every response carries the header Oleandervane-Outcome: answered, not_run or unknown. A response that is not
// answered has a JSON body
//
//	{"outcome":"not_run","reason":"shed","detail":"...","ticket_state":"..."}
package gateway
