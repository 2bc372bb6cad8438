package main

import (
	"fmt"
	"net/netip"
	"time"

	"oleandervane.example"
)

// deployment describes a small version of a user's deployment.
type deployment struct {
	name string
	// network is the second byte of the loopback addresses of its processes.
	network  byte
	regions  []oleandervane.Region
	services []service
}

// service is a service of a deployment, with the number and properties of its backend servers.
type service struct {
	name              oleandervane.ServiceName
	instancesInRegion int
	slots             int
	serviceTime       time.Duration
	probeTime         time.Duration
	maxConnections    int
	streams           []stream
}

// stream is the load of one kind of request in each region.
type stream struct {
	kind       oleandervane.KindName
	idempotent bool
	perSecond  float64
}

// domainsInRegion is the number of failure domains of a region; each has one entry VM in the demo.
const domainsInRegion = 2

// deployments returns small versions of the two users' deployments.
func deployments() []deployment {
	return []deployment{
		{
			name:    "association",
			network: 41,
			regions: []oleandervane.Region{"kigali", "huye", "musanze"},
			services: []service{
				{
					name: "ledger", instancesInRegion: 2, slots: 3, serviceTime: 15 * time.Millisecond, maxConnections: 650,
					streams: []stream{{kind: "balance", idempotent: true, perSecond: 60}, {kind: "filing", perSecond: 20}},
				},
				{
					name: "reports", instancesInRegion: 1, slots: 3, serviceTime: 30 * time.Millisecond, maxConnections: 650,
					streams: []stream{{kind: "download", idempotent: true, perSecond: 10}},
				},
			},
		},
		{
			name:    "jubilar",
			network: 42,
			regions: []oleandervane.Region{"centro", "norte", "occidente"},
			services: []service{
				{
					name: "pronostico", instancesInRegion: 2, slots: 9, serviceTime: 40 * time.Millisecond, probeTime: 6 * time.Millisecond, maxConnections: 700,
					streams: []stream{{kind: "projection", idempotent: true, perSecond: 60}, {kind: "correction", perSecond: 20}},
				},
				{
					name: "archivo", instancesInRegion: 1, slots: 9, serviceTime: 60 * time.Millisecond, probeTime: 6 * time.Millisecond, maxConnections: 700,
					streams: []stream{{kind: "bulk", idempotent: true, perSecond: 10}},
				},
			},
		},
	}
}

// The third byte of a loopback address is one of these roles, plus the number of the region, counted from 0, for entry VMs,
// backend servers and callers.
const (
	platformByte = 0
	entryByte    = 10
	backendByte  = 20
	callerByte   = 30
	// callerHost is the last byte of the address from which the callers of a region send.
	callerHost = 5
)

// Ports of the demo. They are the same for all processes of a kind because each process has its own loopback address.
const (
	storePort      = 7000
	vmListPort     = 7001
	callerPort     = 8080
	peerPort       = 8081
	operationsPort = 8082
	backendPort    = 9000
)

func (deployment deployment) address(role, number byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, deployment.network, role, number})
}

func (deployment deployment) storeURL() string {
	return fmt.Sprintf("http://%s", netip.AddrPortFrom(deployment.address(platformByte, 2), storePort))
}

func (deployment deployment) vmListURL() string {
	return fmt.Sprintf("http://%s", netip.AddrPortFrom(deployment.address(platformByte, 3), vmListPort))
}

func failureDomain(region oleandervane.Region, index int) oleandervane.FailureDomain {
	return oleandervane.FailureDomain(fmt.Sprintf("%s-%c", region, 'a'+rune(index)))
}

// entryVMs returns the entry VMs, one for each failure domain.
func (deployment deployment) entryVMs() []oleandervane.EntryVM {
	var entryVMs []oleandervane.EntryVM
	for number, region := range deployment.regions {
		for index := range domainsInRegion {
			address := deployment.address(entryByte+byte(number), byte(index+1))
			domain := failureDomain(region, index)
			entryVMs = append(entryVMs, oleandervane.EntryVM{
				ID:            oleandervane.VMID(fmt.Sprintf("%s-entry", domain)),
				Region:        region,
				FailureDomain: domain,
				CallerAddress: netip.AddrPortFrom(address, callerPort),
				PeerAddress:   netip.AddrPortFrom(address, peerPort),
			})
		}
	}
	return entryVMs
}

func operationsAddress(entryVM oleandervane.EntryVM) netip.AddrPort {
	return netip.AddrPortFrom(entryVM.CallerAddress.Addr(), operationsPort)
}

// backendServers returns the backend servers of all services; instances alternate between failure domains.
func (deployment deployment) backendServers() []oleandervane.BackendServer {
	var backendServers []oleandervane.BackendServer
	for number, region := range deployment.regions {
		next := byte(1)
		for _, service := range deployment.services {
			for index := range service.instancesInRegion {
				backendServers = append(backendServers, oleandervane.BackendServer{
					ID:             oleandervane.BackendServerID(fmt.Sprintf("%s-%s-%d", service.name, region, index+1)),
					Service:        service.name,
					Region:         region,
					FailureDomain:  failureDomain(region, index%domainsInRegion),
					Address:        netip.AddrPortFrom(deployment.address(backendByte+byte(number), next), backendPort),
					Slots:          service.slots,
					MaxConnections: service.maxConnections,
				})
				next++
			}
		}
	}
	return backendServers
}

func (deployment deployment) service(name oleandervane.ServiceName) service {
	for _, service := range deployment.services {
		if service.name == name {
			return service
		}
	}
	return service{}
}
