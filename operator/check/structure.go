package check

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"oleandervane.example"
)

// Structure returns the errors that make a configuration unusable: invalid names, values out of range, too many entries
// and unknown references. All findings are errors and are ordered by key.
func Structure(configuration oleandervane.Configuration) []Finding {
	structure := &structure{configuration: configuration, domains: map[oleandervane.FailureDomain]oleandervane.Region{}}
	structure.sizes()
	structure.regions()
	structure.services()
	structure.links()
	structure.drains()
	structure.alertRules()
	structure.clientBlocks()
	structure.duration("lookup_lifetime", configuration.LookupLifetime, LookupLifetimeSpan)
	return structure.findings
}

type structure struct {
	findings
	configuration oleandervane.Configuration
	domains       map[oleandervane.FailureDomain]oleandervane.Region
	sites         map[oleandervane.Site]oleandervane.Region
}

func (structure *structure) sizes() {
	configuration := structure.configuration
	if len(configuration.Regions) == 0 {
		structure.addError("regions", "there is no region", "add a table [regions.NAME] with failure_domains")
	}
	if len(configuration.Services) == 0 {
		structure.addError("services", "there is no service", "add a table [services.NAME]")
	}
	for _, size := range []struct {
		key          string
		count, limit int
	}{
		{"regions", len(configuration.Regions), MaxRegions},
		{"services", len(configuration.Services), MaxServices},
		{"links", len(configuration.Links), MaxRegions * MaxRegions},
		{"drains", len(configuration.Drains), MaxDrains},
		{"alert_rules", len(configuration.AlertRules), MaxAlertRules},
		{"client_blocks", len(configuration.ClientBlocks), MaxClientBlocks},
	} {
		if size.count > size.limit {
			structure.addError(size.key, fmt.Sprintf("%d entries, at most %d are allowed", size.count, size.limit), "remove entries")
		}
	}
}

func (structure *structure) name(key, name string) {
	if !IsValidName(name) {
		structure.addError(key, fmt.Sprintf("%q is not a name", name),
			"use lower-case letters, digits, - and _, at most 63, starting with a letter or digit")
	}
}

func (structure *structure) number(key string, value float64, limits Limits) {
	if !limits.Contains(value) {
		structure.addError(key, number(value)+" is out of range", "choose a value "+limits.String())
	}
}

func (structure *structure) duration(key string, duration time.Duration, span Span) {
	if !span.Contains(duration) {
		structure.addError(key, Duration(duration)+" is out of range", "choose a duration "+span.String())
	}
}

func (structure *structure) regions() {
	structure.sites = map[oleandervane.Site]oleandervane.Region{}
	for _, name := range slices.Sorted(maps.Keys(structure.configuration.Regions)) {
		region := structure.configuration.Regions[name]
		key := "regions." + string(name)
		structure.name(key, string(name))
		if region.Name != name {
			structure.addError(key, fmt.Sprintf("the region has another name, %q", region.Name), "publish the folder again")
		}
		if len(region.FailureDomains) == 0 {
			structure.addError(key+".failure_domains", "there is no failure domain", "name at least one")
		}
		for _, domain := range region.FailureDomains {
			structure.name(key+".failure_domains", string(domain))
			if other, found := structure.domains[domain]; found {
				structure.addError(key+".failure_domains", fmt.Sprintf("failure domain %q is already in region %q", domain, other),
					"give it a name that no other region uses, and name it once")
				continue
			}
			structure.domains[domain] = name
		}
		structure.regionSites(key, region)
	}
	if len(structure.domains) > MaxFailureDomains || len(structure.sites) > MaxSites {
		structure.addError("regions", "too many failure domains or sites",
			fmt.Sprintf("keep to %d failure domains and %d sites", MaxFailureDomains, MaxSites))
	}
}

func (structure *structure) regionSites(key string, region oleandervane.RegionSettings) {
	for _, site := range slices.Sorted(maps.Keys(region.Sites)) {
		siteKey := key + ".sites." + string(site)
		structure.name(siteKey, string(site))
		domain := region.Sites[site]
		if !slices.Contains(region.FailureDomains, domain) {
			structure.addError(siteKey, fmt.Sprintf("failure domain %q does not exist in region %q", domain, region.Name),
				"name one of "+quoted(region.FailureDomains))
		}
		if other, found := structure.sites[site]; found {
			structure.addError(siteKey, fmt.Sprintf("site %q is already in region %q", site, other), "give it a name that no other region uses")
			continue
		}
		structure.sites[site] = region.Name
	}
}

func (structure *structure) services() {
	for _, name := range slices.Sorted(maps.Keys(structure.configuration.Services)) {
		service := structure.configuration.Services[name]
		key := "services." + string(name)
		structure.name(key, string(name))
		if service.Name != name {
			structure.addError(key, fmt.Sprintf("the service has another name, %q", service.Name), "publish the folder again")
		}
		structure.number(key+".slots", float64(service.Slots), SlotsLimits)
		structure.number(key+".max_connections", float64(service.MaxConnections), MaxConnectionsLimits)
		structure.number(key+".headroom", service.Headroom, HeadroomLimits)
		structure.number(key+".shift_cap", service.ShiftCap, ShiftCapLimits)
		structure.number(key+".failover_cap", service.FailoverCap, ShiftCapLimits)
		structure.number(key+".request_bytes", float64(service.RequestBytes), RequestBytesLimits)
		structure.duration(key+".service_time", service.ServiceTime, ServiceTimeSpan)
		structure.duration(key+".probe_cost", service.ProbeCost, ProbeCostSpan)
		structure.duration(key+".shift_window", service.ShiftWindow, ShiftWindowSpan)
		structure.kinds(key, service)
		structure.objectives(key, service)
	}
}

func (structure *structure) kinds(key string, service oleandervane.Service) {
	if len(service.Kinds) == 0 || len(service.Kinds) > MaxKinds {
		structure.addError(key+".kinds", fmt.Sprintf("the service has %d kinds", len(service.Kinds)),
			fmt.Sprintf("add tables [%s.kinds.NAME], from 1 to %d", key, MaxKinds))
	}
	for _, name := range slices.Sorted(maps.Keys(service.Kinds)) {
		kind := service.Kinds[name]
		kindKey := key + ".kinds." + string(name)
		structure.name(kindKey, string(name))
		if kind.Name != name {
			structure.addError(kindKey, fmt.Sprintf("the kind has another name, %q", kind.Name), "publish the folder again")
		}
		structure.number(kindKey+".weight", float64(kind.Weight), WeightLimits)
		structure.duration(kindKey+".deadline", kind.Deadline, DeadlineSpan)
	}
}

func (structure *structure) objectives(key string, service oleandervane.Service) {
	for _, name := range slices.Sorted(maps.Keys(service.Objectives)) {
		objective := service.Objectives[name]
		objectiveKey := key + ".objectives." + string(name)
		if _, found := service.Kinds[name]; !found {
			structure.addError(objectiveKey, fmt.Sprintf("kind %q does not exist in service %q", name, service.Name),
				"name one of "+quoted(slices.Sorted(maps.Keys(service.Kinds))))
		}
		structure.number(objectiveKey+".availability", objective.Availability, AvailabilityLimits)
		structure.duration(objectiveKey+".latency", objective.Latency, LatencySpan)
		structure.duration(objectiveKey+".window", objective.Window, ObjectiveWindowSpan)
	}
}

func (structure *structure) region(key string, region oleandervane.Region) {
	if _, found := structure.configuration.Regions[region]; !found {
		structure.addError(key, fmt.Sprintf("region %q does not exist", region),
			"name one of "+quoted(slices.Sorted(maps.Keys(structure.configuration.Regions))))
	}
}

func (structure *structure) links() {
	seen := map[[2]oleandervane.Region]bool{}
	for _, link := range structure.configuration.Links {
		key := "links." + string(link.From) + "." + string(link.To)
		structure.region(key, link.From)
		structure.region(key, link.To)
		pair := [2]oleandervane.Region{link.From, link.To}
		if link.From == link.To || seen[pair] {
			structure.addError(key, "the link leads back to its own region or is given twice", "remove it")
		}
		seen[pair] = true
		structure.duration(key+".delay", link.Delay, DelaySpan)
		structure.number(key+".bytes_per_second", float64(link.BytesPerSecond), BytesPerSecondLimits)
	}
}

func (structure *structure) drains() {
	seen := map[string]bool{}
	for _, drain := range structure.configuration.Drains {
		key := "drains." + drain.Name
		structure.name(key, drain.Name)
		if seen[drain.Name] {
			structure.addError(key, "the drain is given twice", "remove one")
		}
		seen[drain.Name] = true
		structure.drainTarget(key, drain)
		if !drain.ReturnAt.After(drain.EmptyFrom) {
			structure.addError(key+".return_at", "the return is not after empty_from", "give a later time")
		}
	}
}

// drainTarget checks that a drain has the fields that its target needs, and rejects other fields, which would be ignored.
func (structure *structure) drainTarget(key string, drain oleandervane.Drain) {
	requiredFields := map[oleandervane.DrainTarget]string{
		oleandervane.DrainBackendGroup:  "service failure_domain",
		oleandervane.DrainFailureDomain: "failure_domain",
		oleandervane.DrainRegion:        "region",
		oleandervane.DrainEntryVMs:      "entry_vms",
	}
	required, known := requiredFields[drain.Target]
	if !known {
		structure.addError(key+".target", fmt.Sprintf("%q is not a target", drain.Target),
			`use "backend_group", "failure_domain", "region" or "entry_vms"`)
		return
	}
	for _, field := range []struct {
		name string
		set  bool
	}{
		{"service", drain.Service != ""},
		{"failure_domain", drain.FailureDomain != ""},
		{"region", drain.Region != ""},
		{"entry_vms", len(drain.EntryVMs) > 0},
	} {
		isRequired := slices.Contains(fields(required), field.name)
		if isRequired && !field.set {
			structure.addError(key+"."+field.name, fmt.Sprintf("target %q needs %s", drain.Target, field.name), "add the key")
		}
		if !isRequired && field.set {
			structure.addError(key+"."+field.name, fmt.Sprintf("target %q has no use for %s", drain.Target, field.name), "remove the key")
		}
	}
	if drain.Region != "" {
		structure.region(key+".region", drain.Region)
	}
	if _, found := structure.domains[drain.FailureDomain]; drain.FailureDomain != "" && !found {
		structure.addError(key+".failure_domain", fmt.Sprintf("failure domain %q does not exist", drain.FailureDomain),
			"name one of "+quoted(slices.Sorted(maps.Keys(structure.domains))))
	}
	if _, found := structure.configuration.Services[drain.Service]; drain.Service != "" && !found {
		structure.addError(key+".service", fmt.Sprintf("service %q does not exist", drain.Service),
			"name one of "+quoted(slices.Sorted(maps.Keys(structure.configuration.Services))))
	}
	for _, vmID := range drain.EntryVMs {
		structure.name(key+".entry_vms", string(vmID))
	}
}

func (structure *structure) alertRules() {
	seen := map[string]bool{}
	for _, rule := range structure.configuration.AlertRules {
		key := "alert_rules." + rule.Name
		structure.name(key, rule.Name)
		if seen[rule.Name] {
			structure.addError(key, "the alert rule is given twice", "remove one")
		}
		seen[rule.Name] = true
		structure.duration(key+".long_window", rule.LongWindow, AlertWindowSpan)
		structure.duration(key+".short_window", rule.ShortWindow, AlertWindowSpan)
		structure.number(key+".factor", rule.Factor, FactorLimits)
		if rule.ShortWindow > rule.LongWindow {
			structure.addError(key+".short_window", "the short window is longer than the long one", "exchange them")
		}
	}
}

func (structure *structure) clientBlocks() {
	var before netip.Prefix
	for index, block := range structure.configuration.ClientBlocks {
		if !block.Prefix.IsValid() || block.Prefix != block.Prefix.Masked() || block.Prefix.Addr().Is4In6() {
			structure.addError(BlockKey(block.Prefix), "the block has bits set after its prefix, or is an IPv4 block written as IPv6",
				"write it as "+canonical(block.Prefix))
		} else if index > 0 && ComparePrefixes(before, block.Prefix) >= 0 {
			structure.addError(BlockKey(block.Prefix), "the block is given twice or out of order", "publish the folder again")
		}
		before = block.Prefix
		if _, found := structure.sites[block.Site]; !found {
			structure.addError(BlockKey(block.Prefix), fmt.Sprintf("site %q does not exist", block.Site),
				"add it to the sites of a region, or correct the name")
		}
	}
}

// BlockKey returns the Key of findings about a client block.
func BlockKey(prefix netip.Prefix) string {
	return "client_blocks." + prefix.String()
}

// ComparePrefixes orders prefixes by address, IPv4 first, and at the same address the shorter prefix first.
func ComparePrefixes(a, b netip.Prefix) int {
	if order := a.Addr().Compare(b.Addr()); order != 0 {
		return order
	}
	return a.Bits() - b.Bits()
}

func canonical(prefix netip.Prefix) string {
	if !prefix.IsValid() {
		return "an address and a length, such as 10.0.0.0/8"
	}
	if prefix.Addr().Is4In6() && prefix.Bits() >= 96 {
		prefix = netip.PrefixFrom(prefix.Addr().Unmap(), prefix.Bits()-96)
	}
	return prefix.Masked().String()
}
