package balance

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

// Prints the comparison of all policies that docs/decisions/0002-backend-choice.md quotes. It is a benchmark because
// it runs for minutes. Its values do not depend on the machine.
func BenchmarkPolicies(*testing.B) {
	for _, deployment := range deployments {
		for _, load := range []float64{0.7, 0.85, 0.95} {
			for _, reportCase := range reportCases {
				for _, policy := range []Policy{Random, RoundRobin, LeastLoaded, TwoChoices, Owned} {
					if only := os.Getenv("ONLY"); only != "" && !strings.Contains(only, policy.String()) {
						continue
					}
					result := run(scenario{deployment: deployment, reportCase: reportCase, policy: policy, load: load, duration: 20 * time.Second, seed: 1}).outcome
					fmt.Printf("| %s | %.2f | %s | %s | %.2f | %.2f%% | %.1f | %.1f | %.2f%% |\n", deployment.name, load, reportCase.name, policy,
						result.peak, 100*result.shedRate(), float64(result.p50.Microseconds())/1000, float64(result.p99.Microseconds())/1000,
						100*float64(result.failed)/float64(result.requests))
				}
			}
		}
	}
}
