// Package membership tells which entry VMs exist and in which state they are.
//
// Each VM keeps a table of records and decides from the messages it receives, a timer service and a transport.
// A VM is declared dead only by VMs of its own region: each VM is probed about once a second by one peer of its
// region, then through 3 helpers, and after that it has a suspicion timeout in which to refute. A whole region
// that stops advancing its heartbeat counter is taken as suspect, then as dead, by each VM for itself; this is
// undone as soon as the counter advances.
package membership
