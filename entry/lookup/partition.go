package lookup

import (
	"math"
	"slices"

	"github.com/rotisserie/eris"

	"oleandervane.example"
)

// partitionCells is the number of equal cells of the hash space of blocks. A share is met to within half a cell, which
// is 0.003%.
const partitionCells = 1 << 14

// Partition divides the blocks of a home region among entry regions. The hash of its prefix assigns a block to a cell,
// and each cell is assigned to a region. A Partition is immutable.
//
// With starts from the cells of its receiver, because a pure function of the shares cannot limit the moved blocks to a
// fraction d for every change of the shares by d among three or more regions: weighted rendezvous hashing moves
// 2d/(1+d), and cumulative intervals move more.
type Partition struct {
	home    oleandervane.Region
	regions []oleandervane.Region
	cells   []uint8
}

// NewPartition returns a partition that assigns all blocks to the home region.
func NewPartition(home oleandervane.Region) *Partition {
	return &Partition{home: home, regions: []oleandervane.Region{home}, cells: make([]uint8, partitionCells)}
}

// With returns a partition with the given shares of other regions. The home region gets the rest, including the part
// that is shed. When the shares change by d, cells move only from regions whose share falls to regions whose share
// grows: at most a fraction d of the cells, plus one cell per region.
func (partition *Partition) With(shares oleandervane.ShareVector) (*Partition, error) {
	regions, targets, err := partition.targets(shares)
	if err != nil {
		return nil, err
	}
	cells := slices.Clone(partition.cells)
	surplus := make([]int, len(regions))
	for _, region := range cells {
		surplus[region]++
	}
	for index, target := range targets {
		surplus[index] -= target
	}
	receiver := 0
	for index, region := range cells {
		if surplus[region] <= 0 {
			continue
		}
		for surplus[receiver] >= 0 {
			receiver++
		}
		surplus[region]--
		surplus[receiver]++
		cells[index] = uint8(receiver)
	}
	return &Partition{home: partition.home, regions: regions, cells: cells}, nil
}

// Region returns the entry region for a block with the given hash.
func (partition *Partition) Region(blockHash uint64) oleandervane.Region {
	return partition.regions[partition.cells[blockHash%partitionCells]]
}

// Share returns the fraction of the cells that is assigned to a region.
func (partition *Partition) Share(region oleandervane.Region) float64 {
	count := 0
	for _, cell := range partition.cells {
		if partition.regions[cell] == region {
			count++
		}
	}
	return float64(count) / partitionCells
}

// targets returns the regions, starting with the home region, and the number of cells for each.
func (partition *Partition) targets(shares oleandervane.ShareVector) ([]oleandervane.Region, []int, error) {
	regions := slices.Clone(partition.regions)
	for region := range shares {
		if !slices.Contains(regions, region) {
			regions = append(regions, region)
		}
	}
	slices.Sort(regions[len(partition.regions):])
	targets := make([]int, len(regions))
	targets[0] = partitionCells
	sum := 0.0
	for index, region := range regions {
		share := shares[region]
		sum += share
		if math.IsNaN(share) || share < 0 || sum > 1+1e-9 {
			return nil, nil, eris.Wrapf(ErrInvalidShares, "region %q, share %g", region, share)
		}
		if index > 0 {
			targets[index] = min(targets[0], int(math.Round(share*partitionCells)))
			targets[0] -= targets[index]
		}
	}
	return regions, targets, nil
}
