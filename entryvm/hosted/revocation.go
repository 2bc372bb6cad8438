package hosted

import "time"

// keysOutdated reports whether the setting for strict revocation forbids to rely on the known keys, because this VM has had no news of
// the store for the limit.
func (entryVM *EntryVM) keysOutdated() bool {
	organisations := entryVM.settings.Load().Organisations
	return organisations.StrictRevocation && !entryVM.hasStoreNews(time.Duration(organisations.RevocationLimit))
}

// hasStoreNews reports whether this VM heard within the limit what the store has: from the store, or by a notice or a
// response of a VM that the store answers and whose revision this VM has applied.
func (entryVM *EntryVM) hasStoreNews(limit time.Duration) bool {
	if entryVM.observedStore.RespondedWithin(limit) {
		return true
	}
	applied := entryVM.replica.revision.Load()
	return applied != nil && (entryVM.notices.HasNewsUpTo(*applied, limit) || entryVM.follower.HasNews(limit))
}
