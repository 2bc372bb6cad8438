package revision

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"oleandervane.example"
	"oleandervane.example/operator/check"
)

// Change is one setting that differs. Before is empty if the setting is new, After if it is removed.
type Change struct {
	Key    string `json:"key"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Effect is the effect of a change on the traffic, as text and numbers. It is immutable.
type Effect struct {
	Service oleandervane.ServiceName `json:"service,omitempty"`
	Home    oleandervane.Region      `json:"home,omitempty"`
	// Share is the largest share of the flow that moves, AtCapSeconds the time that this takes at the shift cap.
	Share        float64 `json:"share,omitempty"`
	AtCapSeconds float64 `json:"at_cap_seconds,omitempty"`
	// Start is the time at which a drain starts to move traffic.
	Start time.Time `json:"start,omitzero"`
	Text  string    `json:"text"`
}

// Difference has the changes that a new configuration would make. It is immutable.
type Difference struct {
	From          oleandervane.Revision `json:"from"`
	Changes       []Change              `json:"changes"`
	BlocksAdded   int                   `json:"blocks_added"`
	BlocksRemoved int                   `json:"blocks_removed"`
	BlocksMoved   int                   `json:"blocks_moved"`
	Effects       []Effect              `json:"effects"`
	// Findings are the findings of package check for the new configuration, which is rejected if one of them is an error.
	Findings []check.Finding `json:"findings"`
}

// Empty reports whether nothing changes.
func (difference Difference) Empty() bool {
	return len(difference.Changes) == 0 && difference.BlocksAdded+difference.BlocksRemoved+difference.BlocksMoved == 0
}

// Diff compares a configuration with the one in force.
func Diff(before, after oleandervane.Configuration) Difference {
	difference := Difference{From: before.Revision, Changes: changes(flatten(before), flatten(after))}
	moves := difference.blocks(before, after)
	difference.capacity(before, after)
	difference.homes(before, after, moves)
	difference.drains(before, after)
	difference.removals(before, after)
	return difference
}

func (difference *Difference) effect(effect Effect, format string, values ...any) {
	effect.Text = fmt.Sprintf(format, values...)
	difference.Effects = append(difference.Effects, effect)
}

// flatten returns the settings by dotted key, as used in a folder.
func flatten(configuration oleandervane.Configuration) map[string]string {
	flat := map[string]string{}
	list, keys := settingsOf(configuration)
	for index, setting := range list {
		content, err := json.Marshal(setting)
		if err != nil {
			continue
		}
		var wrapped map[string]any
		if json.Unmarshal(content, &wrapped) != nil {
			continue
		}
		for _, value := range wrapped {
			flattenValue(flat, keys[index], value)
		}
	}
	return flat
}

func flattenValue(flat map[string]string, key string, value any) {
	table, isTable := value.(map[string]any)
	if !isTable {
		text, _ := json.Marshal(value)
		flat[key] = strings.Trim(string(text), `"`)
		return
	}
	for name, inner := range table {
		if name != "name" && name != "from" && name != "to" {
			flattenValue(flat, key+"."+name, inner)
		}
	}
}

func changes(before, after map[string]string) []Change {
	list := []Change{}
	for key, value := range after {
		if old := before[key]; old != value {
			list = append(list, Change{key, old, value})
		}
	}
	for key, value := range before {
		if _, found := after[key]; !found {
			list = append(list, Change{Key: key, Before: value})
		}
	}
	slices.SortFunc(list, func(a, b Change) int { return cmp.Compare(a.Key, b.Key) })
	return list
}

// move is a pair of regions between which client blocks move.
type move struct{ from, to oleandervane.Region }

// blocks counts added, removed and moved blocks, and returns the number of blocks that get another home region.
func (difference *Difference) blocks(before, after oleandervane.Configuration) map[move]int {
	homesBefore, homesAfter := siteHomes(before), siteHomes(after)
	moves := map[move]int{}
	old, fresh := before.ClientBlocks, after.ClientBlocks
	for len(old) > 0 || len(fresh) > 0 {
		order := 0
		switch {
		case len(old) == 0:
			order = 1
		case len(fresh) == 0:
			order = -1
		default:
			order = check.ComparePrefixes(old[0].Prefix, fresh[0].Prefix)
		}
		if order < 0 {
			difference.BlocksRemoved++
			old = old[1:]
			continue
		}
		if order > 0 {
			difference.BlocksAdded++
			fresh = fresh[1:]
			continue
		}
		if old[0].Site != fresh[0].Site {
			difference.BlocksMoved++
		}
		if from, to := homesBefore[old[0].Site], homesAfter[fresh[0].Site]; from != to {
			moves[move{from, to}]++
		}
		old, fresh = old[1:], fresh[1:]
	}
	return moves
}

func siteHomes(configuration oleandervane.Configuration) map[oleandervane.Site]oleandervane.Region {
	homes := map[oleandervane.Site]oleandervane.Region{}
	for name, region := range configuration.Regions {
		for site := range region.Sites {
			homes[site] = name
		}
	}
	return homes
}

// durationAtCap returns the time for moving a share of a flow at the cap of a service.
func durationAtCap(service oleandervane.Service, share float64) time.Duration {
	return time.Duration(check.ShiftWindowCount(share, service.ShiftCap)) * service.ShiftWindow
}

// usableCapacity returns the capacity of an instance without its headroom, in requests per second.
func usableCapacity(service oleandervane.Service) float64 {
	if service.ServiceTime <= 0 {
		return 0
	}
	return float64(service.Slots) / service.ServiceTime.Seconds() * (1 - service.Headroom)
}

func (difference *Difference) capacity(before, after oleandervane.Configuration) {
	for _, name := range slices.Sorted(maps.Keys(after.Services)) {
		old, found := before.Services[name]
		service := after.Services[name]
		if !found {
			difference.effect(Effect{Service: name}, "service %s is new: %.4g requests/s per instance within headroom", name, usableCapacity(service))
			continue
		}
		oldCapacity, newCapacity := usableCapacity(old), usableCapacity(service)
		if newCapacity < oldCapacity*(1-1e-9) {
			share := 1 - newCapacity/oldCapacity
			duration := durationAtCap(service, share)
			difference.effect(Effect{Service: name, Share: share, AtCapSeconds: duration.Seconds()},
				"service %s: usable capacity per instance falls from %.4g to %.4g requests/s; in a region that is full, up to %s of its traffic moves, over %s at the cap",
				name, oldCapacity, newCapacity, check.Percent(share), check.Duration(duration))
		}
		if newCapacity > oldCapacity*(1+1e-9) {
			difference.effect(Effect{Service: name}, "service %s: usable capacity per instance rises from %.4g to %.4g requests/s; overflow returns home, within the cap", name, oldCapacity, newCapacity)
		}
		if old.ShiftCap != service.ShiftCap || old.ShiftWindow != service.ShiftWindow {
			difference.effect(Effect{Service: name, AtCapSeconds: durationAtCap(service, 1).Seconds()},
				"service %s: emptying a region takes %s at the cap instead of %s", name, check.Duration(durationAtCap(service, 1)), check.Duration(durationAtCap(old, 1)))
		}
	}
}

// homes adds the effects of client blocks whose callers get another home region. The cap applies to the flow of the region
// that they leave, of which each block counts as an equal share.
func (difference *Difference) homes(before, after oleandervane.Configuration, moves map[move]int) {
	homes := siteHomes(before)
	blocks := map[oleandervane.Region]int{}
	for _, block := range before.ClientBlocks {
		blocks[homes[block.Site]]++
	}
	pairs := slices.SortedFunc(maps.Keys(moves), func(a, b move) int { return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to)) })
	for _, pair := range pairs {
		share := float64(moves[pair]) / float64(blocks[pair.from])
		for _, name := range slices.Sorted(maps.Keys(after.Services)) {
			duration := durationAtCap(after.Services[name], share)
			difference.effect(Effect{Service: name, Home: pair.from, Share: share, AtCapSeconds: duration.Seconds()},
				"service %s: %d client blocks, %s of those of %s, move home to %s, over %s at the cap",
				name, moves[pair], check.Percent(share), pair.from, pair.to, check.Duration(duration))
		}
	}
}

func (difference *Difference) drains(before, after oleandervane.Configuration) {
	old := map[string]bool{}
	for _, plan := range check.DrainPlans(before) {
		old[planKey(plan)] = true
	}
	for _, plan := range check.DrainPlans(after) {
		if old[planKey(plan)] {
			continue
		}
		effect := Effect{Service: plan.Service, Home: plan.Home, Share: plan.Share, AtCapSeconds: plan.MoveDuration().Seconds(), Start: plan.Start.UTC()}
		if plan.Service == "" {
			difference.effect(effect, "drain %s: look-ups stop naming %d entry VMs by %s", plan.Drain.Name, len(plan.Drain.EntryVMs), plan.Start.UTC().Format(time.RFC3339))
			continue
		}
		difference.effect(effect, "drain %s: service %s moves %s of its %s traffic from %s on, is empty from %s, and has returned by %s (%s each way, within the cap)",
			plan.Drain.Name, plan.Service, check.Percent(plan.Share), plan.Home, plan.Start.UTC().Format(time.RFC3339),
			plan.Drain.EmptyFrom.UTC().Format(time.RFC3339), plan.End.UTC().Format(time.RFC3339), check.Duration(plan.MoveDuration()))
	}
}

func planKey(plan check.DrainPlan) string {
	return fmt.Sprint(plan.Drain.Name, plan.Service, plan.Home, plan.Share, plan.Start.UTC(), plan.End.UTC(), plan.Drain.EntryVMs)
}

func (difference *Difference) removals(before, after oleandervane.Configuration) {
	for _, name := range slices.Sorted(maps.Keys(before.Services)) {
		if _, found := after.Services[name]; !found {
			difference.effect(Effect{Service: name}, "service %s is removed: its requests are refused as not run", name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(before.Regions)) {
		if _, found := after.Regions[name]; !found {
			difference.effect(Effect{Home: name, Share: 1}, "region %s is removed: all of its traffic moves at failover_cap", name)
		}
	}
	for _, drain := range before.Drains {
		if !slices.ContainsFunc(after.Drains, func(other oleandervane.Drain) bool { return other.Name == drain.Name }) {
			difference.effect(Effect{}, "drain %s is removed: what it moved returns within the cap", drain.Name)
		}
	}
}

// String returns the difference as text for an operator.
func (difference Difference) String() string {
	var text strings.Builder
	if difference.Empty() {
		fmt.Fprintf(&text, "no change against revision %d\n", difference.From)
	} else {
		fmt.Fprintf(&text, "changes against revision %d:\n", difference.From)
	}
	for _, change := range difference.Changes {
		fmt.Fprintf(&text, "  %s: %s -> %s\n", change.Key, orNone(change.Before), orNone(change.After))
	}
	if difference.BlocksAdded+difference.BlocksRemoved+difference.BlocksMoved > 0 {
		fmt.Fprintf(&text, "  client blocks: %d added, %d removed, %d at another site\n", difference.BlocksAdded, difference.BlocksRemoved, difference.BlocksMoved)
	}
	if len(difference.Effects) > 0 {
		text.WriteString("effect:\n")
	}
	for _, effect := range difference.Effects {
		text.WriteString("  " + effect.Text + "\n")
	}
	if check.HasErrors(difference.Findings) {
		text.WriteString("this would be refused:\n")
	}
	for _, finding := range difference.Findings {
		text.WriteString("  " + finding.String() + "\n")
	}
	return text.String()
}

func orNone(value string) string {
	if value == "" {
		return "(none)"
	}
	return value
}
