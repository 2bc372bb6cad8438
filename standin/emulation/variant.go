package emulation

import (
	"os"

	"github.com/rotisserie/eris"

	"oleandervane.example/entry/placement"
	"oleandervane.example/entryvm/settingsfile"
)

// Variant is a policy under a name. Zero fields take the policy that entry VMs use.
type Variant struct {
	Name          string  `toml:"name"`
	WarmChoices   int     `toml:"warm_choices"`
	UrgentBound   float64 `toml:"urgent_bound"`
	OrdinaryBound float64 `toml:"ordinary_bound"`
	QueueingBound float64 `toml:"queueing_bound"`
}

// policy returns the policy of the variant.
func (variant Variant) policy() placement.Policy {
	policy := placement.DefaultPolicy()
	if variant.WarmChoices > 0 {
		policy.WarmChoices = variant.WarmChoices
	}
	if variant.UrgentBound > 0 {
		policy.UrgentBound = variant.UrgentBound
	}
	if variant.OrdinaryBound > 0 {
		policy.OrdinaryBound = variant.OrdinaryBound
	}
	if variant.QueueingBound > 0 {
		policy.QueueingBound = variant.QueueingBound
	}
	return policy
}

// LoadVariants reads and checks variants in a TOML file.
func LoadVariants(path string) ([]Variant, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrapf(settingsfile.ErrSettings, "reading variants: %v", err)
	}
	var file struct {
		Variants []Variant `toml:"variants"`
	}
	err = settingsfile.Decode(path, text, &file, func(settings struct {
		Variants []Variant `toml:"variants"`
	}, faults *settingsfile.Faults,
	) {
		faults.Check(len(settings.Variants) > 0, "variants", "are missing")
		for _, variant := range settings.Variants {
			faults.Check(variant.Name != "", "variants.name", "is missing")
		}
	})
	return file.Variants, err
}
