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

// scaleGrants estimates the grants of a region from the grants of one VM, assuming that each of the owners owns an
// equal part of the capacity. Sending the grants of every VM through the region would cost more than the budget for
// control traffic. An error of the estimate costs only efficiency: each VM admits no more than its own part.
func scaleGrants(grants []oleandervane.Grant, owners int) []oleandervane.Grant {
	scaled := slices.Clone(grants)
	for i := range scaled {
		scaled[i].PerSecond *= float64(owners)
	}
	return scaled
}

// encodeGrants encodes the grants of one region as a value. It leaves out grants that have a rate of zero or have
// expired.
func encodeGrants(region oleandervane.Region, grants []oleandervane.Grant, now time.Time) []byte {
	message := &peer.Grants{Region: string(region)}
	timeLeft := grant.Lifetime
	for _, grant := range grants {
		if grant.PerSecond <= 0 || !grant.ExpiresAt.After(now) {
			continue
		}
		timeLeft = min(timeLeft, grant.ExpiresAt.Sub(now))
		message.Service = append(message.Service, indexOf(&message.Services, string(grant.Service)))
		message.Source = append(message.Source, indexOf(&message.Sources, string(grant.From)))
		message.PerSecond = append(message.PerSecond, float32(grant.PerSecond))
	}
	message.LeftMillis = uint32(timeLeft.Milliseconds())
	return marshal(message)
}

// receivedGrants are the grants of one value from gossip.
type receivedGrants struct {
	writtenAt time.Time
	grants    []oleandervane.Grant
}

// newestGrants returns the grants of each region except this VM's, from the value written last. For a moment two VMs of
// a region may both publish its grants.
func newestGrants(received []receivedGrants, self oleandervane.Region) []oleandervane.Grant {
	newest := map[oleandervane.Region]receivedGrants{}
	for _, candidate := range received {
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

// indexOf returns the index of a name in names, to which it appends a new name.
func indexOf(names *[]string, name string) uint32 {
	index := slices.Index(*names, name)
	if index < 0 {
		index = len(*names)
		*names = append(*names, name)
	}
	return uint32(index)
}

// decodeGrants decodes the grants of a value. They expire by this VM's clock.
func decodeGrants(value gossip.Value) ([]oleandervane.Grant, error) {
	message := &peer.Grants{}
	if err := proto.Unmarshal(value.Content, message); err != nil {
		return nil, eris.Wrapf(err, "reading grants of %s", value.Owner)
	}
	if len(message.Service) != len(message.PerSecond) || len(message.Source) != len(message.PerSecond) {
		return nil, eris.Errorf("reading grants of %s: the columns differ in length", value.Owner)
	}
	timeLeft := min(time.Duration(message.LeftMillis)*time.Millisecond, grant.Lifetime)
	grants := make([]oleandervane.Grant, 0, len(message.PerSecond))
	for i, perSecond := range message.PerSecond {
		if int(message.Service[i]) >= len(message.Services) || int(message.Source[i]) >= len(message.Sources) {
			return nil, eris.Errorf("reading grants of %s: the index of a name is out of range", value.Owner)
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
			ExpiresAt: value.WrittenAt.Add(timeLeft),
		})
	}
	return grants, nil
}
