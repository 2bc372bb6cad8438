// Package emulation runs the decisions of entry VMs against modelled callers and backend servers in virtual time.
//
// Placement, refusal, retry policy, retry budget and directory are the production code; links, backend servers, callers
// and the delay of store updates to VMs are models. A run is a function of its scenario, variant and seed.
package emulation
