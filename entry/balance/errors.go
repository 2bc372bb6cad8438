package balance

import (
	"fmt"

	"oleandervane.example"
)

// Reasons why Choose finds no instance. All wrap oleandervane.ErrNoBackendServer. They are shared values, so that a
// refusal does not allocate.
var (
	ErrUnknownService     = fmt.Errorf("no instance of the service is listed in this region: %w", oleandervane.ErrNoBackendServer)
	ErrNoEligibleInstance = fmt.Errorf("every instance is full, leaving, ejected or excluded: %w", oleandervane.ErrNoBackendServer)
)
