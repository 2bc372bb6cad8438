// Package share decides how much of each flow goes to which serving region.
//
// Policy is a pure function of its input. Steerer runs it periodically on one entry VM.
//
// # What the shift cap measures
//
// A flow is the traffic of one service from callers of one home region. Two quantities are bounded.
//
// On each VM: for any two times of a shift window, the sum over regions, home included, of the increases of the
// VM's share vector (oleandervane.ShareVector.ShiftFrom) is at most the cap. A share that turns into shed work is no
// shift; shed work that is served again is one.
//
// In the fleet: for any two times of a shift window, the sum over regions other than home of the increases of the
// rate admitted there for the flow, divided by the flow's demand, is at most the cap. Admission is where the
// receiving VM takes a request for one of its region's backend servers, so forwarded requests and requests
// that arrive through a cached look-up response are counted alike. The bound does not depend on what source VMs
// believe: package grant enforces it on arrival, with the part of the cap that ReceiverPart gives to each
// receiving region and the part of the region that each of its VMs owns.
//
// Demand is the demand that the home region last reported. The cap is Service.ShiftCap, or Service.FailoverCap
// while a region that serves the flow is lost and for one window after that.
package share
