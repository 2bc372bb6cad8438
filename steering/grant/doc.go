// Package grant is the receiving side of steering: it decides how much of a region's capacity each of the region's
// entry VMs may grant, and to which regions, and enforces that on arrival.
//
// Roster computes the part of a region's capacity that one VM owns. Allot splits that part among the region's own
// callers and source regions. Controller runs both on one VM and enforces the allotments on arrival.
//
// # Parts never sum to more than 1
//
// A VM that owns a part owns 1/n, where n is the number of VMs that it counts. Every owner counts every other owner, so
// n is at least the number of owners. Four rules ensure this:
//
//   - A VM counts another as soon as its membership view, the platform's list or a peer's acknowledgement names it.
//   - A VM owns no part until each VM that it counts has acknowledged that it counts this VM, or until the platform's
//     list has named this VM for longer than ListLag (every running VM has read that list by then). An acknowledgement
//     lists the VMs that the peer counts, and those are counted too, so that two VMs that join at the same time count
//     each other.
//   - A VM without a part also waits until the platform's list names it, or until it receives an acknowledgement of a
//     peer that owns a part, so that VMs that start on two sides of a partition do not each own the whole region. If
//     all VMs start while the list is unavailable, they wait for BootDelay instead; a partition that lasts through
//     that start is not covered.
//   - A VM stops counting another only when the other is not in the membership view, RaiseDelay has passed, and the
//     platform's list named the other before and no longer does, or changed more than ListLag after the last sign of
//     it. A VM that the list dropped, and that receives nothing from a peer that counts it, gives up its part after
//     FenceDelay, which is shorter.
//
// A partition inside a region therefore raises no part: neither side can distinguish a dead VM from one that it cannot
// reach; only the platform's list can. While the list is frozen, the parts of dead VMs stay unused; the part of a VM
// that died before the list named it stays unused until the list changes more than ListLag later. A VM that restarts
// under its old id is counted already and needs acknowledgements only.
package grant
