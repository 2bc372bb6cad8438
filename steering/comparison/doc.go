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
// # Invariants
//
// With strategy Grants, the simulation checks after every second:
//
//   - I1: traffic shifts by at most the shift cap within a window, on each VM and in the fleet.
//   - I2: a region serves and grants no more than its reported capacity minus headroom, the parts of its VMs sum to at
//     most 1, and the shares of a VM fit the grants and the home capacity that it has received.
//   - Share vectors are valid, lost regions have no share, and traffic fits the links.
//
// Two more invariants are checked by tests: after a step, shares settle without oscillation (I3, TestFigureStepsSettle),
// and while measurements are missing, the last decision stays in force (I4, in package share).
//
// # Latency
//
// Waiting times follow Erlang's formula for one queue with all slots of the region. A latency is the sum of two client
// delays, two region delays if the request changes region, the service time and the wait. Requests of a flow that a
// region has received for less than 30 s occupy a slot for 1.5 times as long.
package comparison
