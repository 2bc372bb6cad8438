// Package soak runs entry VMs as separate processes, injects faults from outside and checks what callers and backend
// servers observe. A seed determines the schedule of faults. The store and the backend servers are stand-ins in the
// process of the soak test, behind loopback proxies that delay, reset and silence connections and drop responses.
package soak
