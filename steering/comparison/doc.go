// Package comparison steps many instances of the real decision code through scripted cases and measures them.
//
// A case is a TOML file in a txtar archive. Run steps it with one Strategy on a manual timer service, once a second:
// events act, what VMs published a lag ago is delivered to those that can hear it, every VM decides, and the traffic
// flows by rates. The network between VMs is a table of who hears whom with which lag; it is no cluster simulator.
//
// # Request rates
//
// The capacity of a service in a region is instances * slots / service time. Service times are assumptions of this
// package (see Deployment): ledger 40 ms, reports 300 ms, pronostico 60 ms, archivo 500 ms. Unless a case says
// otherwise, demand is 55% of each region's capacity.
//
// # Latency
//
// Waiting follows Erlang's formula for one queue with all slots of the region. A latency is two client delays, two
// region delays if the request changes region, the service time and the wait. Requests of a flow that a region has
// received for less than 30 s take half as long again in a slot.
package comparison
