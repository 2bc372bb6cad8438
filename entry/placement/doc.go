// Package placement chooses the backend server of a request by the object that the request is about.
//
// A backend server is faster on an object that it handled recently. All VMs therefore rank the servers of a service in
// the same way for an object, by rendezvous hashing, and send its requests to the first two of the ranking, whichever
// has less load. Decide is a pure function of what the VM knows of the servers; Placer keeps that knowledge.
package placement
