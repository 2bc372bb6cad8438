package emulation

import (
	"cmp"

	"oleandervane.example/entry/placement"
	"oleandervane.example/entryvm/settingsfile"
)

// Variant is a named placement policy. Zero fields default to the policy of entry VMs.
type Variant struct {
	Name          string  `toml:"name"`
	WarmChoices   int     `toml:"warm_choices"`
	UrgentBound   float64 `toml:"urgent_bound"`
	OrdinaryBound float64 `toml:"ordinary_bound"`
	ColdCost      float64 `toml:"cold_cost"`
	Margin        float64 `toml:"margin"`
	// EqualRunTimes makes placement assume that all requests of a service have the same run time.
	EqualRunTimes bool `toml:"equal_work"`
	// OwnAffinity limits cache affinity to the VM's own requests: VMs do not exchange it.
	OwnAffinity bool `toml:"own_familiarity"`
	// SharedState makes all VMs share one placement state and retry budget without delay: the upper bound of what the
	// exchange can gain.
	SharedState bool `toml:"one_mind"`
	// ExchangePeriod is the interval between two notices of a VM.
	ExchangePeriod settingsfile.Duration `toml:"exchange_period"`
	// Isolated stops the exchange: each VM uses only what it observes itself.
	Isolated bool `toml:"alone"`
	// IgnoreDirectives makes VMs ignore what servers ask for: rate limits, no more requests because they leave, or none for a while.
	IgnoreDirectives bool `toml:"ignore_directives"`
}

// policy returns the placement policy of the variant.
func (variant Variant) policy() placement.Policy {
	policy := placement.DefaultPolicy()
	policy.Margin = cmp.Or(variant.Margin, policy.Margin)
	return policy.
		WithWarmChoices(cmp.Or(variant.WarmChoices, policy.WarmChoices)).
		WithBounds(cmp.Or(variant.UrgentBound, policy.UrgentBound), cmp.Or(variant.OrdinaryBound, policy.OrdinaryBound)).
		WithColdCost(cmp.Or(variant.ColdCost, policy.ColdCost)).
		WithEqualRunTimes(variant.EqualRunTimes)
}

// variantFile is a TOML file with variants.
type variantFile struct {
	Variants []Variant `toml:"variants"`
}

func (variantFile variantFile) check(faults *settingsfile.Faults) {
	faults.Check(len(variantFile.Variants) > 0, "variants", "are missing")
	for _, variant := range variantFile.Variants {
		faults.Check(variant.Name != "", "variants.name", "is missing")
	}
}

// LoadVariants reads variants from a TOML file and validates them.
func LoadVariants(path string) ([]Variant, error) {
	var file variantFile
	err := settingsfile.Load(path, &file, variantFile.check)
	return file.Variants, err
}
