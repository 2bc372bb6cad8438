// Program stage3 plays the cases of review/REPORT-3.md that are scripts. It starts the daemon of the deploy file as a process, on
// loopback addresses, beside stand-ins of the store, the instances and the clients.
package main
