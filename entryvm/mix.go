package entryvm

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"oleandervane.example"
	"oleandervane.example/steering/share"
)

// mixPeriod is how often the mix of kinds is renewed.
const mixPeriod = 5 * time.Second

// mix knows which share of a service's requests each kind makes up, so that shed work is the lightest.
type mix struct {
	configuration oleandervane.ConfigurationSource
	counts        sync.Map // mixKey to *atomic.Int64
	shares        atomic.Pointer[map[oleandervane.ServiceName]map[oleandervane.KindName]float64]
}

type mixKey struct {
	service oleandervane.ServiceName
	kind    oleandervane.KindName
}

func newMix(configuration oleandervane.ConfigurationSource) *mix {
	mix := &mix{configuration: configuration}
	mix.shares.Store(&map[oleandervane.ServiceName]map[oleandervane.KindName]float64{})
	return mix
}

func (mix *mix) count(serviceName oleandervane.ServiceName, kindName oleandervane.KindName) {
	cached(&mix.counts, mixKey{serviceName, kindName}, func() *atomic.Int64 { return &atomic.Int64{} }).Add(1)
}

// renew makes the shares of the next period from the counts of the last.
func (mix *mix) renew(time.Time) {
	counts := map[oleandervane.ServiceName]map[oleandervane.KindName]float64{}
	totals := map[oleandervane.ServiceName]float64{}
	mix.counts.Range(func(key, value any) bool {
		mixKey := key.(mixKey)
		count := float64(value.(*atomic.Int64).Swap(0))
		if counts[mixKey.service] == nil {
			counts[mixKey.service] = map[oleandervane.KindName]float64{}
		}
		counts[mixKey.service][mixKey.kind] = count
		totals[mixKey.service] += count
		return true
	})
	for serviceName, kinds := range counts {
		for kindName, count := range kinds {
			kinds[kindName] = count / max(1, totals[serviceName])
		}
	}
	mix.shares.Store(&counts)
}

// Point returns a random point for a request; the heavier its kind, the lower.
func (mix *mix) Point(serviceName oleandervane.ServiceName, kind oleandervane.Kind) float64 {
	configuration := mix.configuration.Configuration()
	return share.PointByWeight(configuration.Services[serviceName], (*mix.shares.Load())[serviceName], kind.Name, rand.Float64())
}
