package comparison

import (
	"oleandervane.example"
)

// rateCube has a rate for each service, home region and serving region.
type rateCube [][][]float64

func newRateCube(services, regions int) rateCube {
	result := make(rateCube, services)
	for service := range result {
		result[service] = make([][]float64, regions)
		for home := range result[service] {
			result[service][home] = make([]float64, regions)
		}
	}
	return result
}

// traffic has the rates of one second, in requests per second.
type traffic struct {
	second int
	// sent is the rate that source VMs sent to a serving region; admitted is the rate that was served there.
	sent, admitted rateCube
	// demand and shed have a row for each service and a cell for each home region; shed is what no region served.
	demand, shed [][]float64
	// capacity is what each region can actually serve of each service.
	capacity [][]float64
	// cold is the part of the admitted rate that a region began to receive less than coldCacheSeconds ago.
	cold rateCube
}

// flow computes the traffic of one second, from callers through source VMs to receiving VMs.
func (fleet *Fleet) flow() *traffic {
	services, regions := len(fleet.deployment.Services), len(fleet.regions)
	traffic := &traffic{
		second: fleet.second, sent: newRateCube(services, regions), admitted: newRateCube(services, regions),
		cold: newRateCube(services, regions),
	}
	for s, name := range fleet.deployment.Services {
		traffic.demand = append(traffic.demand, make([]float64, regions))
		traffic.shed = append(traffic.shed, make([]float64, regions))
		traffic.capacity = append(traffic.capacity, make([]float64, regions))
		offers := make([]map[oleandervane.Region]float64, len(fleet.vms))
		for home := range fleet.regions {
			traffic.demand[s][home] = fleet.demand(name, home)
			traffic.capacity[s][home] = fleet.capacity(name, home)
			fleet.send(traffic, offers, s, home)
		}
		fleet.admit(traffic, offers, s)
	}
	return traffic
}

// send divides a flow evenly among source VMs, and the rate of each by its shares of regions.
func (fleet *Fleet) send(traffic *traffic, offers []map[oleandervane.Region]float64, s, home int) {
	flow := oleandervane.Flow{Service: fleet.deployment.Services[s], Home: fleet.deployment.Regions[home]}
	sources := fleet.servingVMs(home)
	if len(sources) == 0 {
		for region := range fleet.regions {
			sources = append(sources, fleet.servingVMs(region)...)
		}
	}
	for _, source := range sources {
		rate := traffic.demand[s][home] / float64(len(sources))
		vector := source.decider.vector(flow)
		for region, name := range fleet.deployment.Regions {
			if amount := rate * vector[name]; amount > 0 {
				traffic.sent[s][home][region] += amount
				fleet.offer(offers, source, region, flow.Home, amount)
			}
		}
	}
}

// offer offers a rate to the source VM itself, or in equal parts to all serving VMs of another region.
func (fleet *Fleet) offer(offers []map[oleandervane.Region]float64, source *vm, region int, home oleandervane.Region, amount float64) {
	receivers := []*vm{source}
	if source.region != region {
		if fleet.partitioned[source.region][region] {
			return
		}
		receivers = fleet.servingVMs(region)
	}
	for _, receiver := range receivers {
		if offers[receiver.number] == nil {
			offers[receiver.number] = map[oleandervane.Region]float64{}
		}
		offers[receiver.number][home] += amount / float64(len(receivers))
	}
}

// servingVMs returns the VMs of a region that look-ups return: those that are ready, or all running VMs if none is.
func (fleet *Fleet) servingVMs(region int) []*vm {
	var running, ready []*vm
	for _, vm := range fleet.vms {
		if vm.region != region || !vm.running() {
			continue
		}
		running = append(running, vm)
		if vm.decider.ready() {
			ready = append(ready, vm)
		}
	}
	if len(ready) > 0 {
		return ready
	}
	return running
}

// admit lets receiving VMs admit part of the offered rates and counts the rest as shed.
func (fleet *Fleet) admit(traffic *traffic, offers []map[oleandervane.Region]float64, s int) {
	name := fleet.deployment.Services[s]
	for number, offered := range offers {
		if offered == nil {
			continue
		}
		vm := fleet.vms[number]
		for home, rate := range vm.decider.admit(name, offered) {
			traffic.admitted[s][fleet.regionIndex(home)][vm.region] += rate
		}
	}
	for home := range fleet.regions {
		served := 0.0
		for region := range fleet.regions {
			if fleet.regions[region].lost {
				traffic.admitted[s][home][region] = 0
			}
			served += traffic.admitted[s][home][region]
		}
		traffic.shed[s][home] = max(0, traffic.demand[s][home]-served)
	}
	for region := range fleet.regions {
		used := 0.0
		for home := range fleet.regions {
			used += traffic.admitted[s][home][region]
		}
		fleet.regions[region].factors[name].used = used
	}
}
