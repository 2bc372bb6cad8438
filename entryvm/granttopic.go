package entryvm

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"oleandervane.example"
	"oleandervane.example/fleet/gossip"
	"oleandervane.example/fleet/peer"
	"oleandervane.example/steering/grant"
)

// scaleGrants returns the grants of a region of which one VM, with the given grants, owns the same part as each of
// the other holders. Sending every VM's grants through the region would cost more than the budget for control. What
// a sum by estimate gets wrong costs efficiency only: each VM admits no more than its own part.
func scaleGrants(grants []oleandervane.Grant, holders int) []oleandervane.Grant {
	scaled := slices.Clone(grants)
	for i := range scaled {
		scaled[i].PerSecond *= float64(holders)
	}
	return scaled
}

// encodeGrants returns the grants of one region as a value. Grants of nothing are left out.
func encodeGrants(region oleandervane.Region, grants []oleandervane.Grant, now time.Time) []byte {
	message := &peer.Grants{Region: string(region)}
	left := grant.Lifetime
	for _, grant := range grants {
		if grant.PerSecond <= 0 || !grant.ExpiresAt.After(now) {
			continue
		}
		left = min(left, grant.ExpiresAt.Sub(now))
		message.Service = append(message.Service, indexOf(&message.Services, string(grant.Service)))
		message.Source = append(message.Source, indexOf(&message.Sources, string(grant.From)))
		message.PerSecond = append(message.PerSecond, float32(grant.PerSecond))
	}
	message.LeftMillis = uint32(left.Milliseconds())
	return marshal(message)
}

// heardGrants are the grants of one value.
type heardGrants struct {
	writtenAt time.Time
	grants    []oleandervane.Grant
}

// newestGrants returns the grants of each region but this VM's from the newest value that was heard. For a moment two
// VMs of a region may both publish them.
func newestGrants(heard []heardGrants, self oleandervane.Region) []oleandervane.Grant {
	newest := map[oleandervane.Region]heardGrants{}
	for _, candidate := range heard {
		if len(candidate.grants) == 0 {
			continue
		}
		region := candidate.grants[0].To
		if region != self && candidate.writtenAt.After(newest[region].writtenAt) {
			newest[region] = candidate
		}
	}
	var grants []oleandervane.Grant
	for _, region := range slices.Sorted(maps.Keys(newest)) {
		grants = append(grants, newest[region].grants...)
	}
	return grants
}

// indexOf returns the index of a name, which it adds if it is new.
func indexOf(names *[]string, name string) uint32 {
	index := slices.Index(*names, name)
	if index < 0 {
		index = len(*names)
		*names = append(*names, name)
	}
	return uint32(index)
}

// decodeGrants returns the grants of a value. The expiry is by this VM's clock.
func decodeGrants(value gossip.Value) ([]oleandervane.Grant, error) {
	message := &peer.Grants{}
	if err := proto.Unmarshal(value.Content, message); err != nil {
		return nil, eris.Wrapf(err, "reading grants of %s", value.Owner)
	}
	if len(message.Service) != len(message.PerSecond) || len(message.Source) != len(message.PerSecond) {
		return nil, eris.Errorf("reading grants of %s: columns differ in length", value.Owner)
	}
	left := min(time.Duration(message.LeftMillis)*time.Millisecond, grant.Lifetime)
	grants := make([]oleandervane.Grant, 0, len(message.PerSecond))
	for i, perSecond := range message.PerSecond {
		if int(message.Service[i]) >= len(message.Services) || int(message.Source[i]) >= len(message.Sources) {
			return nil, eris.Errorf("reading grants of %s: a name is missing", value.Owner)
		}
		rate := float64(perSecond)
		if math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
			return nil, eris.Errorf("reading grants of %s: %v is not a rate", value.Owner, perSecond)
		}
		grants = append(grants, oleandervane.Grant{
			Service:   oleandervane.ServiceName(message.Services[message.Service[i]]),
			From:      oleandervane.Region(message.Sources[message.Source[i]]),
			To:        oleandervane.Region(message.Region),
			PerSecond: rate,
			ExpiresAt: value.WrittenAt.Add(left),
		})
	}
	return grants, nil
}
