package entryvm

import (
	"sync"

	"oleandervane.example"
	"oleandervane.example/fleet/gossip"
)

// listReader reads the platform's list of VMs for the gossip node and keeps what it read last.
type listReader struct {
	vmList gossip.VMList

	mutex   sync.Mutex
	listing oleandervane.VMListing
	fresh   bool
}

// Read reads the list and calls done, from a goroutine of its own.
func (listReader *listReader) Read(done func(oleandervane.VMListing, error)) {
	listReader.vmList.Read(func(listing oleandervane.VMListing, err error) {
		if err == nil {
			listReader.keep(listing)
		}
		done(listing, err)
	})
}

func (listReader *listReader) keep(listing oleandervane.VMListing) {
	listReader.mutex.Lock()
	defer listReader.mutex.Unlock()
	listReader.listing, listReader.fresh = listing, true
}

// newest returns the newest listing that this VM read; it is empty if there was none.
func (listReader *listReader) newest() oleandervane.VMListing {
	listReader.mutex.Lock()
	defer listReader.mutex.Unlock()
	return listReader.listing
}

// takeFresh returns the newest listing, and whether it was read after the last call.
func (listReader *listReader) takeFresh() (oleandervane.VMListing, bool) {
	listReader.mutex.Lock()
	defer listReader.mutex.Unlock()
	fresh := listReader.fresh
	listReader.fresh = false
	return listReader.listing, fresh
}

// listedIn returns the entry VMs of a region that a listing names.
func listedIn(listing oleandervane.VMListing, region oleandervane.Region) []oleandervane.VMID {
	var vmIDs []oleandervane.VMID
	for _, entryVM := range listing.EntryVMs {
		if entryVM.Region == region {
			vmIDs = append(vmIDs, entryVM.ID)
		}
	}
	return vmIDs
}
