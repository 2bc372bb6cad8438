// Package ratelimit bounds the requests of organisations at all VMs together.
//
// Each organisation with a limit has one owner, the first VM by rendezvous hash among the listed VMs. The owner has a token
// bucket and grants tokens to VMs that ask, for requests that wait and for some that are expected, the latter as leases. A VM that
// gets no answer admits requests from its fixed share of the limit. An owner grants only in proportion to the capacity of the VMs
// that it hears from, so that VMs cut off from it may use their shares. The note docs/design/rate-limits.md compares alternatives.
package ratelimit
