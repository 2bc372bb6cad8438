package figure

import (
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"syscall"
	"time"
)

// Cost is the resource use of a piece of work and the memory that it left on the heap.
type Cost struct {
	// Processor is the processor time of all threads of the process, including garbage collections.
	Processor time.Duration
	// HeldBytes is the heap in use after the work and a forced collection, minus the base.
	HeldBytes float64
	// PeakBytes is the largest size of the heap's objects during the work, including garbage, minus the base.
	PeakBytes float64
}

// peakPeriod is how often the size of the heap is read. An allocation that a collection frees sooner may be missed.
const peakPeriod = 100 * time.Microsecond

// HeapInUse returns the bytes of heap in use after a forced collection.
func HeapInUse() float64 {
	debug.FreeOSMemory()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapInuse)
}

// Measure runs work after a forced collection. It subtracts base, which HeapInUse returned earlier, from the byte
// counts. The garbage collector runs as usual during the work.
func Measure(base float64, work func()) Cost {
	HeapInUse()
	stop, peak := make(chan struct{}), make(chan uint64)
	go func() { peak <- samplePeak(stop) }()
	before := processorTime()
	work()
	cost := Cost{Processor: processorTime() - before}
	close(stop)
	cost.PeakBytes = float64(<-peak) - base
	cost.HeldBytes = HeapInUse() - base
	return cost
}

// samplePeak returns the largest of the heap object sizes that it reads until stop is closed.
func samplePeak(stop <-chan struct{}) (peak uint64) {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	ticker := time.NewTicker(peakPeriod)
	defer ticker.Stop()
	for {
		metrics.Read(sample)
		peak = max(peak, sample[0].Value.Uint64())
		select {
		case <-stop:
			return peak
		case <-ticker.C:
		}
	}
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
