package comparison

import (
	"oleandervane.example"
)

// cube has a rate for each service, home region and serving region.
type cube [][][]float64

func newCube(services, regions int) cube {
	result := make(cube, services)
	for service := range result {
		result[service] = make([][]float64, regions)
		for home := range result[service] {
			result[service][home] = make([]float64, regions)
		}
	}
	return result
}

// traffic is what flowed in one second, in requests per second.
type traffic struct {
	second int
	// sent is what source VMs sent to a serving region; admitted is what was served there.
	sent, admitted cube
	// demand and shed have a row for each service and a cell for each home region. Shed is what no region served.
	demand, shed [][]float64
	// capacity is what each region truly serves of each service.
	capacity [][]float64
	// cold is the part of admitted that a region began to receive less than coldTime ago.
	cold cube
}

// flow sends the traffic of one second from callers through source VMs to receiving VMs.
func (fleet *Fleet) flow() *traffic {
	services, regions := len(fleet.deployment.Services), len(fleet.regions)
	traffic := &traffic{
		second: fleet.second, sent: newCube(services, regions), admitted: newCube(services, regions),
		cold: newCube(services, regions),
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

// send splits a flow between source VMs and from there by their shares.
func (fleet *Fleet) send(traffic *traffic, offers []map[oleandervane.Region]float64, s, home int) {
	flow := oleandervane.Flow{Service: fleet.deployment.Services[s], Home: fleet.deployment.Regions[home]}
	sources := fleet.serving(home)
	if len(sources) == 0 {
		for region := range fleet.regions {
			sources = append(sources, fleet.serving(region)...)
		}
	}
	for _, source := range sources {
		rate := traffic.demand[s][home] / float64(len(sources))
		vector := source.decider.vector(flow)
		for region, name := range fleet.deployment.Regions {
			if amount := rate * vector[name]; amount > 0 {
				traffic.sent[s][home][region] += amount
				fleet.arrive(offers, source, region, flow.Home, amount)
			}
		}
	}
}

// arrive offers a rate to the source VM itself or to all VMs of another region.
func (fleet *Fleet) arrive(offers []map[oleandervane.Region]float64, source *vm, region int, home oleandervane.Region, amount float64) {
	receivers := []*vm{source}
	if source.region != region {
		if fleet.split[source.region][region] {
			return
		}
		receivers = fleet.serving(region)
	}
	for _, receiver := range receivers {
		if offers[receiver.number] == nil {
			offers[receiver.number] = map[oleandervane.Region]float64{}
		}
		offers[receiver.number][home] += amount / float64(len(receivers))
	}
}

// serving returns the VMs of a region that look-ups name: those that are ready, or all that run if none is.
func (fleet *Fleet) serving(region int) []*vm {
	var running, ready []*vm
	for _, vm := range fleet.vms {
		if vm.region != region || !vm.runs() {
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

// admit lets receiving VMs take what they are offered and counts the rest as shed.
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
