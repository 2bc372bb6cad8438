package hosted

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"oleandervane.example"
	"oleandervane.example/entry/forward"
)

const (
	// quarantinePrefix is the prefix of the keys of refused requests in the store. Only VMs that start need them.
	quarantinePrefix = "quarantine/"
	// recordLifetime is the longest lease of the store.
	recordLifetime = 10 * time.Minute
	// recordTimeout bounds each change of a record.
	recordTimeout = 5 * time.Second
)

// quarantineRecord is the value of a key.
type quarantineRecord struct {
	RefusedForMillis int64 `json:"refused_for_ms"`
}

// quarantineRecords is an oleandervane.QuarantineRecorder that keeps records in the store.
type quarantineRecords struct {
	store oleandervane.LeaseStore
	log   logrus.FieldLogger
}

// RecordQuarantine writes the key of a request.
func (quarantineRecords quarantineRecords) RecordQuarantine(fingerprint [16]byte, duration time.Duration) {
	quarantineRecords.change(fingerprint, func(ctx context.Context, key string) error {
		value, err := json.Marshal(quarantineRecord{RefusedForMillis: duration.Milliseconds()})
		if err != nil {
			return err
		}
		lease, err := quarantineRecords.store.GrantLease(ctx, recordLifetime)
		if err != nil {
			return err
		}
		_, err = quarantineRecords.store.Commit(ctx, oleandervane.StoreTransaction{
			Writes: []oleandervane.StoreWrite{{Key: key, Value: value, Lease: lease}},
		})
		return err
	})
}

// ClearQuarantine removes the key of a request.
func (quarantineRecords quarantineRecords) ClearQuarantine(fingerprint [16]byte) {
	quarantineRecords.change(fingerprint, func(ctx context.Context, key string) error {
		_, err := quarantineRecords.store.Commit(ctx, oleandervane.StoreTransaction{Removals: []string{key}})
		return err
	})
}

func (quarantineRecords quarantineRecords) change(fingerprint [16]byte, write func(ctx context.Context, key string) error) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		if err := write(ctx, quarantinePrefix+hex.EncodeToString(fingerprint[:])); err != nil {
			quarantineRecords.log.WithError(err).WithField("fingerprint", formatFingerprint(fingerprint)).
				Info("record of a refused request was not changed; VMs that start learn of it only from others")
		}
	}()
}

// restoreQuarantine applies an entry of the store to the quarantine if it is the record of a request. A record that cannot be read is
// ignored.
func restoreQuarantine(quarantine *forward.Quarantine, entry oleandervane.StoreEntry) {
	text, found := strings.CutPrefix(entry.Key, quarantinePrefix)
	if !found {
		return
	}
	decoded, err := hex.DecodeString(text)
	var fingerprint forward.Fingerprint
	var record quarantineRecord
	if err != nil || len(decoded) != len(fingerprint) || json.Unmarshal(entry.Value, &record) != nil {
		return
	}
	copy(fingerprint[:], decoded)
	quarantine.Restore(fingerprint, time.Duration(min(max(record.RefusedForMillis, 0), recordLifetime.Milliseconds()))*time.Millisecond)
}
