package lookup

import (
	"math"
	"slices"

	"github.com/rotisserie/eris"

	"oleandervane.example"
)

// partitionCells is the number of equal parts of the hash space of blocks. A share is met to within half a cell,
// 0.003%.
const partitionCells = 1 << 14

// Partition divides the blocks of one home region between entry regions. A block belongs to a cell by the hash of
// its prefix, and a cell to a region. It is immutable.
//
// A pure function of the shares cannot move only a part d of the blocks for every change d among three or more
// regions (weighted rendezvous hashing moves 2d/(1+d), cumulative intervals more), so With starts from the cells of
// its receiver.
type Partition struct {
	home    oleandervane.Region
	regions []oleandervane.Region
	cells   []uint8
}

// NewPartition returns a partition that leaves every block in its home region.
func NewPartition(home oleandervane.Region) *Partition {
	return &Partition{home: home, regions: []oleandervane.Region{home}, cells: make([]uint8, partitionCells)}
}

// With returns a partition by the given shares of other regions; the home region has the rest, a part that is shed
// included. When the shares change by d, cells move only from regions whose share falls to regions whose share
// grows: at most d of the cells, plus one for each region.
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

// Region returns the entry region of a block with the given hash.
func (partition *Partition) Region(blockHash uint64) oleandervane.Region {
	return partition.regions[partition.cells[blockHash%partitionCells]]
}

// Share returns the share of the cells that a region has.
func (partition *Partition) Share(region oleandervane.Region) float64 {
	count := 0
	for _, cell := range partition.cells {
		if partition.regions[cell] == region {
			count++
		}
	}
	return float64(count) / partitionCells
}

// targets returns the regions, the home region first, and the number of cells of each.
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
