// Package relay distributes changes of the platform's store between VMs.
//
// The delegates of a domain watch the store. Their notices state the revision that they have applied and whether they were
// in contact with the store a moment ago. The other VMs of the domain, the followers, read the changes from a delegate. A VM
// that receives no notices of such a delegate watches the store itself: the relay only saves calls and decides nothing.
//
// A VM that the store does not answer reads changes from any VM, of any failure domain, whose notices show contact with the store
// and a later revision. Every VM therefore keeps a change log.
package relay
