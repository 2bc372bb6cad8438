// Package share decides how much of each flow goes to which serving region.
//
// Policy is a pure function of its input. Steerer runs it periodically on one entry VM.
//
// # What the shift cap measures
//
// A flow is the traffic of one service from callers of one home region. Two quantities are bounded.
//
// On each VM: for any two times of a shift window, the sum over regions, home included, of the increases of the
// VM's share vector (oleandervane.ShareVector.ShiftFrom) is at most the cap. Shedding a share is not a shift; serving
// shed work again is one.
//
// In the fleet: for any two times of a shift window, the sum over regions other than home of the increases of the
// rate admitted there for the flow, divided by the flow's demand, is at most the cap. A request counts as admitted
// when the receiving VM accepts it for one of its region's backend servers, so forwarded requests and requests that
// arrive through a cached look-up response are counted alike. The bound does not depend on the state that source VMs
// have: package grant enforces it on arrival, with the part of the cap that ReceiverPart assigns to each receiving
// region and the part of the region that each of its VMs owns.
//
// Demand is the demand that the receiving VM last received from the home region. While demand changes, the bound is
// relative to the smallest and largest demand known within the window and the age of the measurements.
//
// The cap is Service.ShiftCap. On a VM it is Service.FailoverCap for a flow whose home region is lost, or part of
// which a lost region serves or served within the window; on arrival it is Service.FailoverCap while any region other
// than the receiving one is lost.
//
// Returns to the home region are bounded on each VM only. Callers that move between VMs of their home region, because a
// VM dies, are steered by the vector of the VM they move to.
package share
