package comparison

import (
	"io/fs"
	"path"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rogpeppe/go-internal/txtar"
	"github.com/rotisserie/eris"

	"oleandervane.example"
)

// ErrCase is returned for a case that cannot be read.
var ErrCase = eris.New("the case cannot be read")

// Duration is a time.Duration that is written as text such as "30s".
type Duration time.Duration

// UnmarshalText parses a duration with time.ParseDuration.
func (duration *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*duration = Duration(parsed)
	return nil
}

// Case is the script of a simulation. It is immutable.
type Case struct {
	Name       string   `toml:"name"`
	Title      string   `toml:"title"`
	Deployment string   `toml:"deployment"`
	Duration   Duration `toml:"duration"`
	Seed       uint64   `toml:"seed"`
	// EntryVMs is the number of entry VMs in all regions together; 0 means the deployment's number.
	EntryVMs int `toml:"entry_vms"`
	// MeasurementAge is the delay until measurements of capacity and demand reach VMs.
	MeasurementAge Duration `toml:"measurement_age"`
	// Utilization is demand as a share of capacity; 0 means 0.55.
	Utilization float64 `toml:"utilization"`
	// OnlyService removes all other services from the deployment.
	OnlyService oleandervane.ServiceName `toml:"only_service"`
	// NoisePart is the largest relative random error of reported demand.
	NoisePart float64 `toml:"noise_part"`
	Events    []Event `toml:"event"`
	Drains    []Drain `toml:"drain"`
}

// Event is a change at a time since the start of the case. It is immutable.
type Event struct {
	At      Duration                 `toml:"at"`
	Action  Action                   `toml:"do"`
	Region  oleandervane.Region      `toml:"region"`
	Other   oleandervane.Region      `toml:"other"`
	Service oleandervane.ServiceName `toml:"service"`
	Factor  float64                  `toml:"factor"`
	Count   int                      `toml:"count"`
	// First is the number, within the region, of the first VM that the event affects.
	First int `toml:"first"`
}

// Drain is a planned drain of a case.
type Drain struct {
	Name          string                     `toml:"name"`
	Target        oleandervane.DrainTarget   `toml:"target"`
	Service       oleandervane.ServiceName   `toml:"service"`
	Region        oleandervane.Region        `toml:"region"`
	FailureDomain oleandervane.FailureDomain `toml:"failure_domain"`
	EmptyFrom     Duration                   `toml:"empty_from"`
	ReturnAt      Duration                   `toml:"return_at"`
}

// Action names what an event does.
type Action string

// The actions of events.
const (
	// SetDemand and SetCapacity set a factor on the nominal demand or capacity of a region, for one service or all.
	SetDemand   Action = "demand"
	SetCapacity Action = "capacity"
	// SetReport sets the factor between a region's actual and reported capacity and demand.
	SetReport Action = "report"
	SetCap    Action = "shift_cap"
	// SetLink sets a factor on the bandwidth of all links.
	SetLink Action = "link"
	// AddVMs starts VMs with new ids.
	AddVMs Action = "add_vms"
	// Kill stops VMs of a region; Start starts stopped VMs under their old ids, without state.
	Kill  Action = "kill"
	Start Action = "start"
	// Restart is Kill and Start within one second.
	Restart Action = "restart"
	// Pause suspends VMs and Resume continues them; they retain their state.
	Pause  Action = "pause"
	Resume Action = "resume"
	// LoseRegion stops all VMs and instances of a region; ReturnRegion starts them again with cold caches.
	LoseRegion   Action = "lose_region"
	ReturnRegion Action = "return_region"
	// Partition blocks messages between two regions, or without Other between the even and the odd VMs of a region.
	Partition Action = "partition"
	Heal      Action = "heal"
	// StopMeasurement freezes the reported measurements of one region or all.
	StopMeasurement  Action = "stop_measurement"
	StartMeasurement Action = "start_measurement"
	StoreDown        Action = "store_down"
	StoreUp          Action = "store_up"
	FreezeList       Action = "freeze_list"
	UnfreezeList     Action = "thaw_list"
	// SkewClocks sets clocks of VMs off by Factor seconds, alternately fast and slow.
	SkewClocks Action = "skew_clocks"
)

// ReadCases reads the cases of all txtar archives in a directory, in the order of their file names. It fails with
// ErrCase, wrapped.
func ReadCases(directory fs.FS) ([]Case, error) {
	paths, err := fs.Glob(directory, "*.txtar")
	if err != nil {
		return nil, eris.Wrap(ErrCase, err.Error())
	}
	slices.Sort(paths)
	var cases []Case
	for _, name := range paths {
		content, err := fs.ReadFile(directory, name)
		if err != nil {
			return nil, eris.Wrapf(ErrCase, "reading %s: %v", name, err)
		}
		for _, file := range txtar.Parse(content).Files {
			scripted, err := parseCase(file)
			if err != nil {
				return nil, eris.Wrapf(err, "reading %s", name)
			}
			cases = append(cases, scripted)
		}
	}
	return cases, nil
}

func parseCase(file txtar.File) (Case, error) {
	var scripted Case
	decoder := toml.NewDecoder(strings.NewReader(string(file.Data)))
	if err := decoder.DisallowUnknownFields().Decode(&scripted); err != nil {
		return Case{}, eris.Wrapf(ErrCase, "parsing %s: %v", file.Name, err)
	}
	if scripted.Name == "" {
		scripted.Name = strings.TrimSuffix(path.Base(file.Name), ".toml")
	}
	slices.SortStableFunc(scripted.Events, func(a, b Event) int { return int(a.At - b.At) })
	return scripted, nil
}
