package peer

import (
	"math"
	"net/netip"

	"github.com/rotisserie/eris"
)

// Limits of messages from peers. A message that exceeds one is rejected as a whole.
const (
	MaxNameBytes        = 128
	MaxUpdates          = 64
	MaxRegions          = 256
	MaxTopicVersions    = 4096
	MaxTopicValues      = 512
	MaxTopicValueBytes  = 8 << 10
	MaxPacketBytes      = 256 << 10
	MaxCompareVersions  = 4096
	MaxFetchDigests     = 256
	MaxHeadBytes        = 1 << 20
	MaxChunkBytes       = 1 << 20
	MaxFetchBytes       = 3 << 20
	MaxVMState          = 3
	maxCounter          = 1 << 62
	maxAddressBytes     = 32
	maxTopicLifeSeconds = 24 * 60 * 60
)

// Check returns an error unless the record may be used.
func (record *VMRecord) Check() error {
	if record == nil {
		return eris.New("VM record is missing")
	}
	if err := checkNames(record.Id, record.Region, record.FailureDomain); err != nil {
		return err
	}
	if record.State > MaxVMState || record.Version >= maxCounter || record.Incarnation == 0 {
		return eris.Errorf("record of VM %q is invalid: state %d, version %d, incarnation %d", record.Id, record.State, record.Version, record.Incarnation)
	}
	if err := checkAddress(record.CallerAddress); err != nil {
		return err
	}
	return checkAddress(record.PeerAddress)
}

// Check returns an error unless all parts of the packet may be used.
func (packet *Packet) Check() error {
	if err := packet.GetFrom().Check(); err != nil {
		return err
	}
	if len(packet.Updates) > MaxUpdates || len(packet.Regions) > MaxRegions {
		return eris.Errorf("packet of VM %q has too many updates (%d) or regions (%d)", packet.From.Id, len(packet.Updates), len(packet.Regions))
	}
	if len(packet.TopicVersions) > MaxTopicVersions || len(packet.TopicValues) > MaxTopicValues {
		return eris.Errorf("packet of VM %q has too many topic versions (%d) or values (%d)", packet.From.Id, len(packet.TopicVersions), len(packet.TopicValues))
	}
	for _, record := range packet.Updates {
		if err := record.Check(); err != nil {
			return err
		}
	}
	for _, region := range packet.Regions {
		if err := region.check(); err != nil {
			return err
		}
	}
	for _, value := range packet.TopicValues {
		if err := value.check(); err != nil {
			return err
		}
	}
	return packet.Revision.check()
}

// Check returns an error unless the request may be served.
func (request *IndirectProbeRequest) Check() error {
	return request.GetTarget().Check()
}

// Check returns an error unless the response may be used.
func (response *IndirectProbeResponse) Check() error {
	if !response.GetReached() {
		return nil
	}
	return response.GetTarget().Check()
}

// Check returns an error unless the request may be served.
func (request *CompareRequest) Check() error {
	if err := checkNames(request.GetRegion()); err != nil {
		return err
	}
	if len(request.Versions) > MaxCompareVersions {
		return eris.Errorf("comparison of region %q has too many versions: %d", request.Region, len(request.Versions))
	}
	for _, version := range request.Versions {
		if err := checkNames(version.GetId()); err != nil {
			return err
		}
	}
	return nil
}

// Check returns an error unless the response may be used.
func (response *CompareResponse) Check() error {
	if len(response.GetNewer()) > MaxCompareVersions || len(response.GetWanted()) > MaxCompareVersions {
		return eris.Errorf("comparison has too many newer (%d) or wanted (%d) records", len(response.Newer), len(response.Wanted))
	}
	for _, record := range response.Newer {
		if err := record.Check(); err != nil {
			return err
		}
	}
	return nil
}

// Check returns an error unless the request may be served.
func (request *FetchRequest) Check() error {
	if len(request.GetDigests()) > MaxFetchDigests {
		return eris.Errorf("fetch request names too many chunks: %d", len(request.Digests))
	}
	return checkNames(request.Digests...)
}

// Check returns an error unless the response may be used.
func (response *FetchResponse) Check() error {
	if err := response.GetRevision().check(); err != nil {
		return err
	}
	if len(response.HeadMiddle)+int(response.Prefix)+int(response.Suffix) > MaxHeadBytes {
		return eris.Errorf("head of revision %d is too large", response.Revision.GetRevision())
	}
	if len(response.Chunks) > MaxFetchDigests {
		return eris.Errorf("fetch response has too many chunks: %d", len(response.Chunks))
	}
	for _, chunk := range response.Chunks {
		if chunk == nil || len(chunk.Content) > MaxChunkBytes {
			return eris.Errorf("chunk %q is missing or too large", chunk.GetDigest())
		}
		if err := checkNames(chunk.Digest); err != nil {
			return err
		}
	}
	return nil
}

func (region *RegionState) check() error {
	if err := checkNames(region.GetRegion()); err != nil {
		return err
	}
	if region.Heartbeat >= maxCounter {
		return eris.Errorf("heartbeat of region %q is out of range: %d", region.Region, region.Heartbeat)
	}
	return nil
}

func (mark *RevisionMark) check() error {
	if mark.GetRevision() >= maxCounter {
		return eris.Errorf("revision is out of range: %d", mark.Revision)
	}
	return nil
}

func (value *TopicValue) check() error {
	if err := checkNames(value.GetTopic(), value.GetOwner()); err != nil {
		return err
	}
	if len(value.Region) > MaxNameBytes || len(value.Value) > MaxTopicValueBytes {
		return eris.Errorf("value of topic %q or its region name is too long; the value has %d bytes", value.Topic, len(value.Value))
	}
	if value.Version >= maxCounter || value.LeftMillis > maxTopicLifeSeconds*1000 {
		return eris.Errorf("value of topic %q is out of range: version %d, %d ms left", value.Topic, value.Version, value.LeftMillis)
	}
	return nil
}

func checkNames(names ...string) error {
	for _, name := range names {
		if name == "" || len(name) > MaxNameBytes {
			return eris.Errorf("name is empty or too long: %d bytes", len(name))
		}
	}
	return nil
}

func checkAddress(content []byte) error {
	if len(content) > maxAddressBytes {
		return eris.Errorf("address is too long: %d bytes", len(content))
	}
	var address netip.AddrPort
	if err := address.UnmarshalBinary(content); err != nil {
		return eris.Wrap(err, "decoding an address")
	}
	return nil
}

// Check returns an error unless the summary may be used.
func (record *SummaryRecord) Check() error {
	if err := checkNames(record.GetService()); err != nil {
		return err
	}
	return checkRates(record.CapacityPerSecond, record.UsedPerSecond, record.DemandPerSecond, record.Coverage)
}

// checkRates returns an error for rates that are negative, infinite or NaN.
func checkRates(rates ...float32) error {
	for _, rate := range rates {
		if !(rate >= 0 && rate <= math.MaxFloat32) {
			return eris.Errorf("rate is negative, infinite or NaN: %v", rate)
		}
	}
	return nil
}
