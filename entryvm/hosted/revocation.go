package hosted

import "time"

// keysOutdated reports whether the setting for strict revocation forbids to rely on the known keys, because this VM has had no news of
// the store for the limit.
func (entryVM *EntryVM) keysOutdated() bool {
	organisations := entryVM.settings.Load().Organisations
	return organisations.StrictRevocation && !entryVM.hasStoreNews(time.Duration(organisations.RevocationLimit))
}

// hasStoreNews reports whether this VM heard within the limit what the store has: from the store, or by the notice of a VM that the store
// answers and that has applied the same revision.
func (entryVM *EntryVM) hasStoreNews(limit time.Duration) bool {
	return entryVM.observedStore.RespondedWithin(limit) || entryVM.notices.ConfirmsRevision(entryVM.replica.revision.Load(), limit)
}
