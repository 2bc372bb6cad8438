package soak

import (
	"context"
	"net/http"
	"time"
)

// refusedChanges is how many configurations are written while the store refuses some VMs. Each gets applyLimit, so that the leases of the
// VMs, 3 s, have ended before the second one.
const refusedChanges = 3

// refuseStore cuts half of the VMs off from the store and checks that they serve new configurations nevertheless, which they can read from
// the other VMs. There must be no other fault meanwhile.
func (soak *Soak) refuseStore(ctx context.Context) {
	refused, mode := soak.vms[:len(soak.vms)/2], modeReset
	if soak.options.Seed%2 == 0 {
		mode = modeSilent
	}
	soak.logFault("proxies between %d VMs and the store are in mode %d for %v", len(refused), mode, refusedChanges*applyLimit)
	for _, vm := range refused {
		vm.recordFault(refusedChanges * applyLimit)
		vm.store.set(mode)
	}
	for range refusedChanges {
		version := soak.writeConfiguration()
		time.Sleep(applyLimit)
		for _, vm := range refused {
			soak.check.checkRefused(vm.id, version, soak.probe(ctx, vm, version), soak.acceptsRemovedKey(ctx, vm, version))
			if soak.probePath(ctx, vm, keyedPath+"probe", keyOf(version)) == http.StatusUnauthorized {
				soak.check.fail("%s, which the store refused, did not accept the key of version %d", vm.id, version)
			}
		}
	}
	for _, vm := range refused {
		vm.store.set(modePass)
	}
	time.Sleep(settleTime)
}

// checkRefused checks the status of a request for a route that a configuration version has added while the store refused the VM, and
// whether the VM accepts the key that the version has removed.
func (check *check) checkRefused(vm string, version, status int, acceptsRemovedKey bool) {
	check.count(&check.versions)
	if status == http.StatusNotFound {
		check.fail("%s, which the store refused, did not serve version %d after %v", vm, version, applyLimit)
	}
	if acceptsRemovedKey {
		check.fail("%s, which the store refused, accepted the key that version %d had removed after %v", vm, version, applyLimit)
	}
}
