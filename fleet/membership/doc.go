// Package membership maintains the list of entry VMs and their states.
//
// Each VM has a table of records; its decisions depend only on received messages, a timer service and a transport. A VM
// is declared dead only by VMs of its own region: each VM is probed about once a second by one peer of its region, then
// through 3 helpers, and after that it has a suspicion timeout in which to refute. If a whole region stops advancing
// its heartbeat counter, each VM on its own regards that region's VMs as suspect, then as dead, until the counter
// advances again.
package membership
