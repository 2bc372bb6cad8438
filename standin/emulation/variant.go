package emulation

import (
	"cmp"

	"oleandervane.example/entry/placement"
	"oleandervane.example/entryvm/settingsfile"
)

// Variant is a policy under a name. Zero fields take the policy that entry VMs use.
type Variant struct {
	Name          string  `toml:"name"`
	WarmChoices   int     `toml:"warm_choices"`
	UrgentBound   float64 `toml:"urgent_bound"`
	OrdinaryBound float64 `toml:"ordinary_bound"`
	ColdCost      float64 `toml:"cold_cost"`
	Margin        float64 `toml:"margin"`
	// EqualWork takes all requests of a service to be equally long.
	EqualWork bool `toml:"equal_work"`
	// OwnFamiliarity lets VMs know only by their own requests which objects servers know.
	OwnFamiliarity bool `toml:"own_familiarity"`
	// OneMind lets all VMs know at once what any of them learns: the upper bound of what passing it on can bring.
	OneMind bool `toml:"one_mind"`
	// ExchangePeriod is the time between two notices of a VM.
	ExchangePeriod settingsfile.Duration `toml:"exchange_period"`
	// Alone lets VMs know only what they see themselves.
	Alone bool `toml:"alone"`
}

// policy returns the policy of the variant.
func (variant Variant) policy() placement.Policy {
	policy := placement.DefaultPolicy()
	policy.Margin = cmp.Or(variant.Margin, policy.Margin)
	return policy.
		WithWarmChoices(cmp.Or(variant.WarmChoices, policy.WarmChoices)).
		WithBounds(cmp.Or(variant.UrgentBound, policy.UrgentBound), cmp.Or(variant.OrdinaryBound, policy.OrdinaryBound)).
		WithColdCost(cmp.Or(variant.ColdCost, policy.ColdCost)).
		WithEqualRunTimes(variant.EqualWork)
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

// LoadVariants reads and checks variants in a TOML file.
func LoadVariants(path string) ([]Variant, error) {
	var file variantFile
	err := settingsfile.Load(path, &file, variantFile.check)
	return file.Variants, err
}
