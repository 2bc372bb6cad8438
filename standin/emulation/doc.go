// Package emulation runs the decisions of entry VMs against modelled callers and backend servers in virtual time.
//
// Placement, refusal, retry rule, retry budget and directory are the real ones; links, backend servers, callers and
// the delay with which a VM hears of a change are models. A run is a function of its scenario, variant and seed.
package emulation
