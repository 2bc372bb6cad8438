// Package grant is the receiving side of steering: it decides how much of a region's capacity each of the region's
// entry VMs may give out, to whom, and enforces that on arrival.
//
// Roster computes the part of a region's capacity that one VM owns. Allot splits that part between the region's own
// callers and source regions. Gate enforces an allotment on arrival, and Keeper runs all of it on one VM.
//
// # Parts never sum to more than 1
//
// A VM that holds a part holds 1/n, where n is the number of VMs it counts. Every holder counts every other
// holder, so n is at least the number of holders. This rests on four rules:
//
//   - A VM counts another as soon as its membership view, the platform's list or a peer's acknowledgement names it.
//   - A VM holds no part until each VM it counts has said that it counts this VM, or until the platform's list has
//     named this VM for longer than ViewLag (every running VM has read that list by then). An acknowledgement lists
//     whom the peer counts, and those are counted too, so two VMs that join at once learn of each other.
//   - The first part of a VM also waits until the platform's list names it, or a peer that holds a part is heard, so
//     that VMs that start on two sides of a partition do not each take the whole region. If all VMs start while the
//     list is down, they wait for BootDelay instead; a partition that lasts through that start is not covered.
//   - A VM stops counting another only when it is not in the membership view, RaiseDelay has passed, and the platform's
//     list named it before and no longer does, or changed more than ViewLag after the last sign of it. A VM that the list dropped and that hears from no peer that counts it gives
//     up its part after FenceDelay, which is shorter.
//
// A partition inside a region therefore raises no part: neither side can tell a dead VM from one it cannot reach,
// and only the platform's list can. While the list is frozen, the parts of dead VMs stay unused; the part of a VM
// that died before the list named it stays unused until the list changes more than ViewLag later. A VM that restarts
// under its old id is counted already and needs acknowledgements only.
package grant
