// Package relay passes changes of the platform's store on within a failure domain.
//
// The delegates of a domain watch the store. Its other VMs hear from notices how far a delegate is and that it was in
// contact with the store a moment ago, and read the changes from it. A VM that hears of no such delegate watches the
// store itself, so that a relay saves calls and decides nothing.
package relay
