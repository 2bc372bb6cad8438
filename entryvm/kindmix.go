package entryvm

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"oleandervane.example"
	"oleandervane.example/steering/share"
)

// kindMixPeriod is how often the shares of the kinds are recomputed.
const kindMixPeriod = 5 * time.Second

// kindMix measures the share of each kind in the requests of a service, so that kinds of the smallest weight are
// shed first.
type kindMix struct {
	configuration oleandervane.ConfigurationSource
	counts        sync.Map // kindMixKey to *atomic.Int64
	shares        atomic.Pointer[map[oleandervane.ServiceName]map[oleandervane.KindName]float64]
}

type kindMixKey struct {
	service oleandervane.ServiceName
	kind    oleandervane.KindName
}

func newKindMix(configuration oleandervane.ConfigurationSource) *kindMix {
	kindMix := &kindMix{configuration: configuration}
	kindMix.shares.Store(&map[oleandervane.ServiceName]map[oleandervane.KindName]float64{})
	return kindMix
}

func (kindMix *kindMix) count(serviceName oleandervane.ServiceName, kindName oleandervane.KindName) {
	cached(&kindMix.counts, kindMixKey{serviceName, kindName}, func() *atomic.Int64 { return &atomic.Int64{} }).Add(1)
}

// update computes the shares for the next period from the counts of the last period.
func (kindMix *kindMix) update(time.Time) {
	counts := map[oleandervane.ServiceName]map[oleandervane.KindName]float64{}
	totals := map[oleandervane.ServiceName]float64{}
	kindMix.counts.Range(func(key, value any) bool {
		kindMixKey := key.(kindMixKey)
		count := float64(value.(*atomic.Int64).Swap(0))
		if counts[kindMixKey.service] == nil {
			counts[kindMixKey.service] = map[oleandervane.KindName]float64{}
		}
		counts[kindMixKey.service][kindMixKey.kind] = count
		totals[kindMixKey.service] += count
		return true
	})
	for serviceName, kinds := range counts {
		for kindName, count := range kinds {
			kinds[kindName] = count / max(1, totals[serviceName])
		}
	}
	kindMix.shares.Store(&counts)
}

// Point returns a random point with which a region is chosen for a request; heavier kinds get lower points.
func (kindMix *kindMix) Point(serviceName oleandervane.ServiceName, kind oleandervane.Kind) float64 {
	configuration := kindMix.configuration.Configuration()
	return share.PointByWeight(configuration.Services[serviceName], (*kindMix.shares.Load())[serviceName], kind.Name, rand.Float64())
}
