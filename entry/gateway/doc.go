// Package gateway implements the HTTP service of an entry VM for callers, with look-ups, tickets, requests and their
// outcomes. It also serves requests that entry VMs of other regions relay.
//
// Every response to a request or an outcome query, and every refusal, has the header Oleandervane-Outcome with the
// value answered, not_run or unknown. A refusal is a response that the gateway generates itself. It has a JSON body
//
//	{"outcome":"not_run","reason":"shed","detail":"...","ticket_state":"..."}
package gateway
