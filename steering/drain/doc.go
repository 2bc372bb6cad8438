// Package drain plans drains: when traffic has to begin to leave so that a target is empty by the stated time within
// the shift cap, and when it is back.
//
// A Plan is a function of time that package share's policy and package grant's keeper use (share.Drainage), and a
// text for operators. New refuses, with the reason, a drain that cannot be finished in time, that leaves too little
// room, or that overlaps another so that both together take too much.
//
// Until EmptyFrom a region reports the capacity of the instances to be drained; from then until ReturnAt it does not.
package drain
