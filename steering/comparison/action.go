package comparison

import (
	"time"

	"oleandervane.example"
)

// coldTime is how long instances that returned have cold caches.
const coldTime = 30

// act makes an event happen.
func (fleet *Fleet) act(event Event) {
	switch event.Do {
	case SetDemand, SetCapacity, SetReport:
		fleet.scale(event)
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
		fleet.actOnVMs(event)
	case LoseRegion:
		fleet.loseRegion(event)
	case ReturnRegion:
		fleet.returnRegion(event)
	case Partition, Heal:
		fleet.partition(event)
	case StopMeasurement, StartMeasurement:
		for _, i := range fleet.regionsOf(event) {
			fleet.regions[i].silent = event.Do == StopMeasurement
		}
	case StoreDown, StoreUp:
		fleet.storeDown = event.Do == StoreDown
	case FreezeList, ThawList:
		fleet.listFrozen = event.Do == FreezeList
	}
}

// regionsOf returns the event's region, or all regions if it names none.
func (fleet *Fleet) regionsOf(event Event) []int {
	var regions []int
	for i, region := range fleet.deployment.Regions {
		if event.Region == "" || event.Region == region {
			regions = append(regions, i)
		}
	}
	return regions
}

func (fleet *Fleet) scale(event Event) {
	for _, i := range fleet.regionsOf(event) {
		for name, factors := range fleet.regions[i].factors {
			if event.Name != "" && event.Name != name {
				continue
			}
			switch event.Do {
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
		if event.Name != "" && event.Name != name {
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

func (fleet *Fleet) actOnVMs(event Event) {
	affected := 0
	for _, vm := range fleet.vms {
		inRegion := event.Region == "" || event.Region == vm.entry.Region
		if !inRegion || vm.inRegion < event.First || event.Count > 0 && affected >= event.Count || fleet.regions[vm.region].lost {
			continue
		}
		affected++
		fleet.actOnVM(event, vm)
	}
}

func (fleet *Fleet) actOnVM(event Event, vm *vm) {
	switch event.Do {
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
			factors.coldUntil = fleet.second + coldTime
		}
	}
	for _, vm := range fleet.vms {
		if !vm.alive && (event.Region == "" || vm.entry.Region == event.Region) {
			vm.start()
		}
	}
}

func (fleet *Fleet) partition(event Event) {
	apart := event.Do == Partition
	for _, i := range fleet.regionsOf(event) {
		if event.Other == "" {
			fleet.regions[i].divided = apart
			continue
		}
		for j, other := range fleet.deployment.Regions {
			if other == event.Other {
				fleet.split[i][j], fleet.split[j][i] = apart, apart
			}
		}
	}
}

// regionIndex returns the number of a region of the deployment, or -1.
func (fleet *Fleet) regionIndex(name oleandervane.Region) int {
	for i, region := range fleet.deployment.Regions {
		if region == name {
			return i
		}
	}
	return -1
}
