// Package soak runs real entry VMs as processes of their own, injects faults from outside them and checks what callers
// and backend servers see. A seed decides the schedule of faults. The store and the backend servers are stand-ins inside
// the soak, behind loopback proxies that delay, reset, cut and silence connections.
package soak
