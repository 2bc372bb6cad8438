package balance

import (
	"fmt"

	"oleandervane.example"
)

// The reasons for which Choose finds no instance. All wrap oleandervane.ErrNoBackendServer and are shared values, so
// that a refusal allocates nothing.
var (
	ErrUnknownService     = fmt.Errorf("no instance of the service is listed in this region: %w", oleandervane.ErrNoBackendServer)
	ErrNoEligibleInstance = fmt.Errorf("every instance is full, leaving, ejected or excluded: %w", oleandervane.ErrNoBackendServer)
)
