// Package comparison simulates many instances of the real decision code in scripted cases and measures the results.
//
// A case is a TOML file in a txtar archive. Run simulates it with one Strategy and a manual timer service, in steps of
// one second: it applies the events of that second, delivers notices that VMs published a fixed delay ago to the VMs
// that can receive them, runs the decisions of every VM and computes the traffic as rates. The network between VMs is
// a table of delays and blocked connections; the package does not simulate a cluster.
//
// # Request rates
//
// The capacity of a service in a region is instances * slots / service time. Service times are assumptions of this
// package (see Deployment): ledger 40 ms, reports 300 ms, pronostico 60 ms, archivo 500 ms. Unless a case says
// otherwise, demand is 55% of each region's capacity.
//
// # Latency
//
// Waiting times follow Erlang's formula for one queue with all slots of the region. A latency is the sum of two client
// delays, two region delays if the request changes region, the service time and the wait. Requests of a flow that a
// region has received for less than 30 s occupy a slot for 1.5 times as long.
package comparison
