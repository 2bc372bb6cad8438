package entryvm

import (
	"sync"

	"oleandervane.example"
	"oleandervane.example/fleet/gossip"
)

// listReader reads the platform's list of VMs for the gossip node and stores the last listing.
type listReader struct {
	vmList gossip.VMList

	mutex   sync.Mutex
	listing oleandervane.VMListing
	updated bool
}

// Read reads the list and calls done from another goroutine.
func (listReader *listReader) Read(done func(oleandervane.VMListing, error)) {
	listReader.vmList.Read(func(listing oleandervane.VMListing, err error) {
		if err == nil {
			listReader.store(listing)
		}
		done(listing, err)
	})
}

func (listReader *listReader) store(listing oleandervane.VMListing) {
	listReader.mutex.Lock()
	defer listReader.mutex.Unlock()
	listReader.listing, listReader.updated = listing, true
}

// newest returns the last listing that this VM read, or an empty one if it has read none.
func (listReader *listReader) newest() oleandervane.VMListing {
	listReader.mutex.Lock()
	defer listReader.mutex.Unlock()
	return listReader.listing
}

// pollNewest returns the last listing and whether it was read after the previous call.
func (listReader *listReader) pollNewest() (oleandervane.VMListing, bool) {
	listReader.mutex.Lock()
	defer listReader.mutex.Unlock()
	updated := listReader.updated
	listReader.updated = false
	return listReader.listing, updated
}

// listedIn returns the entry VMs of a region in a listing.
func listedIn(listing oleandervane.VMListing, region oleandervane.Region) []oleandervane.VMID {
	var vmIDs []oleandervane.VMID
	for _, entryVM := range listing.EntryVMs {
		if entryVM.Region == region {
			vmIDs = append(vmIDs, entryVM.ID)
		}
	}
	return vmIDs
}
