// Package placement chooses the backend server for a request by the object that the request is about.
//
// A backend server is faster on an object that it handled recently. All VMs therefore rank the servers of a service in
// the same order for an object, by rendezvous hashing, and send the requests of the object to the less loaded of the
// first two servers in the ranking. Decide is a pure function of the state of the servers as the VM sees it; Placer
// maintains that state.
package placement
