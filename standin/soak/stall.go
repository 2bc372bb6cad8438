package soak

import (
	"context"
	"fmt"
	"time"
)

const (
	stallPeriod = 50 * time.Millisecond
	// minStall is longer than the delays of a busy machine that the time limits of the checks allow for.
	minStall = 500 * time.Millisecond
)

// watchStalls writes a line to the output whenever the soak itself could not run for a while, until ctx ends. A machine that stands
// still for longer than the time limits of a check breaks it without a fault of the VMs.
func (soak *Soak) watchStalls(ctx context.Context) {
	last := time.Now()
	for ctx.Err() == nil {
		time.Sleep(stallPeriod)
		now := time.Now()
		if stall := now.Sub(last) - stallPeriod; stall >= minStall {
			soak.writeLine(fmt.Sprintf("the soak itself stood still for %v", stall.Round(time.Millisecond)))
		}
		last = now
	}
}

// writeLine writes a line with the time to the output.
func (soak *Soak) writeLine(text string) {
	soak.outputMutex.Lock()
	defer soak.outputMutex.Unlock()
	fmt.Fprintf(soak.options.Output, "%7.3f %s\n", time.Since(soak.started).Seconds(), text)
}
