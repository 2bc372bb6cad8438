package comparison

import (
	"time"

	"oleandervane.example"
)

// coldCacheSeconds is how long caches stay cold, for instances of a region that returned and for traffic that a region
// did not serve before.
const coldCacheSeconds = 30

// applyEvent changes the simulation as the event says.
func (fleet *Fleet) applyEvent(event Event) {
	switch event.Action {
	case SetDemand, SetCapacity, SetReport:
		fleet.setFactors(event)
	case SetCap:
		fleet.setCap(event)
	case SetLink:
		fleet.setLink(event.Factor)
	case AddVMs:
		for _, i := range fleet.regionsOf(event) {
			for range event.Count {
				fleet.addVM(i)
			}
		}
	case Kill, Start, Restart, Pause, Resume, SkewClocks:
		fleet.applyToVMs(event)
	case LoseRegion:
		fleet.loseRegion(event)
	case ReturnRegion:
		fleet.returnRegion(event)
	case Partition, Heal:
		fleet.partition(event)
	case StopMeasurement, StartMeasurement:
		for _, i := range fleet.regionsOf(event) {
			fleet.regions[i].measurementStopped = event.Action == StopMeasurement
		}
	case StoreDown, StoreUp:
		fleet.storeDown = event.Action == StoreDown
	case FreezeList, UnfreezeList:
		fleet.listFrozen = event.Action == FreezeList
	}
}

// regionsOf returns the indexes of the event's region, or of all regions if the event names none.
func (fleet *Fleet) regionsOf(event Event) []int {
	var regions []int
	for i, region := range fleet.deployment.Regions {
		if event.Region == "" || event.Region == region {
			regions = append(regions, i)
		}
	}
	return regions
}

func (fleet *Fleet) setFactors(event Event) {
	for _, i := range fleet.regionsOf(event) {
		for name, factors := range fleet.regions[i].factors {
			if event.Service != "" && event.Service != name {
				continue
			}
			switch event.Action {
			case SetDemand:
				factors.demand = event.Factor
			case SetCapacity:
				factors.capacity = event.Factor
			default:
				factors.report = event.Factor
			}
		}
	}
}

// setCap sets the shift cap of one service or all.
func (fleet *Fleet) setCap(event Event) {
	configuration := *fleet.configuration
	for _, name := range fleet.deployment.Services {
		if event.Service != "" && event.Service != name {
			continue
		}
		service := configuration.Services[name]
		service.ShiftCap = event.Factor
		configuration = configuration.WithService(service)
	}
	fleet.configuration = &configuration
}

func (fleet *Fleet) setLink(factor float64) {
	configuration := *fleet.configuration
	configuration.Links = nil
	for _, link := range fleet.configuration.Links {
		link.BytesPerSecond = int64(linkBytesPerSecond * factor)
		configuration.Links = append(configuration.Links, link)
	}
	fleet.configuration = &configuration
}

func (fleet *Fleet) applyToVMs(event Event) {
	affected := 0
	for _, vm := range fleet.vms {
		inRegion := event.Region == "" || event.Region == vm.entry.Region
		if !inRegion || vm.indexInRegion < event.First || event.Count > 0 && affected >= event.Count || fleet.regions[vm.region].lost {
			continue
		}
		affected++
		fleet.applyToVM(event, vm)
	}
}

func (fleet *Fleet) applyToVM(event Event, vm *vm) {
	switch event.Action {
	case Kill:
		vm.alive = false
	case Start:
		if !vm.alive {
			vm.start()
		}
	case Restart:
		vm.start()
	case Pause:
		vm.paused = true
	case Resume:
		vm.paused = false
	case SkewClocks:
		vm.skew = time.Duration(event.Factor * float64(time.Second))
		if vm.number%2 == 1 {
			vm.skew = -vm.skew
		}
	}
}

func (fleet *Fleet) loseRegion(event Event) {
	for _, i := range fleet.regionsOf(event) {
		fleet.regions[i].lost = true
		fleet.regions[i].lostAt = fleet.second
	}
	for _, vm := range fleet.vms {
		if event.Region == "" || vm.entry.Region == event.Region {
			vm.alive = false
		}
	}
}

func (fleet *Fleet) returnRegion(event Event) {
	for _, i := range fleet.regionsOf(event) {
		fleet.regions[i].lost = false
		fleet.setLost(i, false)
		for _, factors := range fleet.regions[i].factors {
			factors.coldUntil = fleet.second + coldCacheSeconds
		}
	}
	for _, vm := range fleet.vms {
		if !vm.alive && (event.Region == "" || vm.entry.Region == event.Region) {
			vm.start()
		}
	}
}

func (fleet *Fleet) partition(event Event) {
	blocked := event.Action == Partition
	for _, i := range fleet.regionsOf(event) {
		if event.Other == "" {
			fleet.regions[i].internalPartition = blocked
			continue
		}
		for j, other := range fleet.deployment.Regions {
			if other == event.Other {
				fleet.partitioned[i][j], fleet.partitioned[j][i] = blocked, blocked
			}
		}
	}
}

// regionIndex returns the index of a region in the deployment, or -1.
func (fleet *Fleet) regionIndex(name oleandervane.Region) int {
	for i, region := range fleet.deployment.Regions {
		if region == name {
			return i
		}
	}
	return -1
}
