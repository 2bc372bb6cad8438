// Package drain plans drains: when traffic has to begin to leave so that a target is empty by the stated time within
// the shift cap, and when all of it is back.
//
// A Plan provides the drain state at any time (share.DrainState), which the policy of package share and the controller
// of package grant use, and a text for operators. New refuses, with the reason, a drain that cannot be finished in
// time, that leaves too little room, or that overlaps another so that both together drain too much.
//
// A region reports the capacity of the instances to be drained until EmptyFrom; from then until ReturnAt it does not.
package drain
