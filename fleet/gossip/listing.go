package gossip

import (
	"bytes"
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"oleandervane.example"
	"oleandervane.example/fleet/peer"
)

// Constants of the readers of the platform's list.
const (
	listTopic           = "backend_servers"
	listPurpose         = "list"
	listReaders         = 2
	listPeriod          = 5 * time.Second
	listTimeout         = 2 * time.Second
	listLifetime        = time.Hour
	listRepublishPeriod = time.Minute
)

// VMList is a non-blocking client of the platform's list of VMs: Read returns at once and done is called later.
type VMList interface {
	Read(done func(oleandervane.VMListing, error))
}

// NewAsynchronousVMList returns a VMList that reads vmList on a goroutine of its own.
func NewAsynchronousVMList(vmList oleandervane.VMList) VMList {
	return asynchronousVMList{vmList: vmList}
}

type asynchronousVMList struct {
	vmList oleandervane.VMList
}

func (vmList asynchronousVMList) Read(done func(oleandervane.VMListing, error)) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
		defer cancel()
		done(vmList.vmList.Read(ctx))
	}()
}

// listing is the state of a VM as a reader of the platform's list.
type listing struct {
	reading     bool
	readAt      time.Time
	publishedAt time.Time
}

// BackendServers returns the backend servers of this VM's region according to the newest known platform list, ordered
// by id, and the time when it was read. The time is zero if no list is known.
func (node *Node) BackendServers() ([]oleandervane.BackendServer, time.Time) {
	values := node.Values(listTopic)
	if len(values) == 0 {
		return nil, time.Time{}
	}
	var message peer.BackendServers
	if err := proto.Unmarshal(values[0].Content, &message); err != nil {
		node.settings.Log.WithError(err).Warn("cannot decode the backend servers published by a peer")
		return nil, time.Time{}
	}
	result := make([]oleandervane.BackendServer, 0, len(message.BackendServers))
	for _, record := range message.BackendServers {
		result = append(result, backendServerFromWire(record, node.settings.Self.Region))
	}
	return result, values[0].WrittenAt
}

// listingTick reads the list if this VM is one of its two readers, or if it knows no other VM. The second reader is
// half a period behind the first. The caller holds the lock.
func (node *Node) listingTick(now time.Time) []action {
	listing := &node.listing
	if node.settings.VMList == nil || listing.reading || now.Sub(listing.readAt) < listPeriod {
		return nil
	}
	rank := node.rank(listPurpose, now)
	if rank >= listReaders {
		return nil
	}
	if rank == 1 && listing.readAt.IsZero() {
		listing.readAt = now.Add(-listPeriod / 2)
		return nil
	}
	listing.reading = true
	listing.readAt = now
	return []action{func() { node.settings.VMList.Read(node.handleVMListing) }}
}

func (node *Node) handleVMListing(vmListing oleandervane.VMListing, err error) {
	now := node.settings.TimerService.Now()
	node.mutex.Lock()
	node.listing.reading = false
	if err != nil {
		node.mutex.Unlock()
		node.settings.Log.WithError(err).Warn("cannot read the platform's VM list")
		return
	}
	actions := node.publishBackendServers(vmListing, now)
	node.mutex.Unlock()
	run(actions)
	node.applyEntryVMs(vmListing)
}

// applyEntryVMs adds the addresses of the listed VMs as join candidates, and makes this VM leave if the list marks it
// as leaving.
func (node *Node) applyEntryVMs(vmListing oleandervane.VMListing) {
	var addresses []netip.AddrPort
	leaving := false
	for _, vm := range vmListing.EntryVMs {
		if vm.ID == node.settings.Self.ID {
			leaving = leaving || vm.State == oleandervane.VMLeaving
			continue
		}
		if vm.PeerAddress.IsValid() && vm.State != oleandervane.VMDead {
			addresses = append(addresses, vm.PeerAddress)
		}
	}
	node.membership.AddCandidates(addresses)
	if leaving {
		node.membership.Leave()
	}
}

// publishBackendServers publishes the region's backend servers, urgently if they changed.
func (node *Node) publishBackendServers(vmListing oleandervane.VMListing, now time.Time) []action {
	message := &peer.BackendServers{}
	for _, backendServer := range vmListing.BackendServers {
		if backendServer.Region == node.settings.Self.Region {
			message.BackendServers = append(message.BackendServers, backendServerToWire(backendServer))
		}
	}
	slices.SortFunc(message.BackendServers, func(a, b *peer.BackendServerRecord) int { return cmp.Compare(a.Id, b.Id) })
	content, err := proto.Marshal(message)
	if err != nil || len(content) > peer.MaxTopicValueBytes {
		node.settings.Log.WithField("bytes", len(content)).Error("cannot publish the backend servers of the region")
		return nil
	}
	changed := true
	if values := node.topics.values(listTopic, now); len(values) > 0 {
		changed = !bytes.Equal(values[0].Content, content)
	}
	if !changed && now.Sub(node.listing.publishedAt) < listRepublishPeriod {
		return nil
	}
	node.listing.publishedAt = now
	key := node.topics.publish(listTopic, string(node.settings.Self.Region), RegionScope, content, listLifetime, now)
	if !changed {
		return nil
	}
	return node.pushValues([]topicKey{key}, now)
}

func backendServerToWire(backendServer oleandervane.BackendServer) *peer.BackendServerRecord {
	// MarshalBinary of an AddrPort returns no error.
	address, _ := backendServer.Address.MarshalBinary()
	return &peer.BackendServerRecord{
		Id:             string(backendServer.ID),
		Service:        string(backendServer.Service),
		FailureDomain:  string(backendServer.FailureDomain),
		Address:        address,
		Slots:          uint32(backendServer.Slots),
		MaxConnections: uint32(backendServer.MaxConnections),
		Leaving:        backendServer.Leaving,
	}
}

func backendServerFromWire(record *peer.BackendServerRecord, region oleandervane.Region) oleandervane.BackendServer {
	backendServer := oleandervane.BackendServer{
		ID:             oleandervane.BackendServerID(record.Id),
		Service:        oleandervane.ServiceName(record.Service),
		Region:         region,
		FailureDomain:  oleandervane.FailureDomain(record.FailureDomain),
		Slots:          int(record.Slots),
		MaxConnections: int(record.MaxConnections),
		Leaving:        record.Leaving,
	}
	// An address that cannot be decoded stays invalid, and the backend server is not used.
	_ = backendServer.Address.UnmarshalBinary(record.Address)
	return backendServer
}
