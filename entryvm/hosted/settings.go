package hosted

import (
	"maps"
	"net/netip"
	"net/url"
	"time"

	"github.com/sirupsen/logrus"

	"oleandervane.example"
	"oleandervane.example/entry/pipeline"
	"oleandervane.example/entryvm/settingsfile"
)

// Settings are the settings of a hosted entry VM. They are immutable after LoadSettings.
type Settings struct {
	ID            oleandervane.VMID          `toml:"id"`
	Region        oleandervane.Region        `toml:"region"`
	FailureDomain oleandervane.FailureDomain `toml:"failure_domain"`
	// CallerAddress serves the requests of callers.
	CallerAddress netip.AddrPort `toml:"caller_address"`
	// DirectoryAddress serves the directory, from which callers get the addresses of VMs.
	DirectoryAddress netip.AddrPort `toml:"directory_address"`
	// ReadinessAddress serves the readiness checks of the platform.
	ReadinessAddress netip.AddrPort `toml:"readiness_address"`
	// PeerAddress serves other entry VMs.
	PeerAddress netip.AddrPort `toml:"peer_address"`
	// OperationsAddress serves metrics, status and profiles.
	OperationsAddress netip.AddrPort `toml:"operations_address"`
	StoreURL          string         `toml:"store_url"`
	LogLevel          string         `toml:"log_level"`
	// MemoryMegabytes is the memory that the process may use.
	MemoryMegabytes int `toml:"memory_megabytes"`
	// ProcessorShare is the share of a core that the process may use. ProcessorSpeed is the speed of that core relative to
	// other cores.
	ProcessorShare float64 `toml:"processor_share"`
	ProcessorSpeed float64 `toml:"processor_speed"`
	// LinkMegabits is the bandwidth of the VM, in Mbit/s.
	LinkMegabits float64 `toml:"link_megabits"`
	// PipelinedRequests is the number of requests of a connection that may run while an earlier one is served; 0 disables
	// pipelining.
	PipelinedRequests int `toml:"pipelined_requests"`
	// MaxResponseMegabytes bounds the response of a backend server. A longer one is cut off.
	MaxResponseMegabytes int `toml:"max_response_megabytes"`
	// StopLimit is the time between the request to stop and the kill of the process.
	StopLimit settingsfile.Duration `toml:"stop_limit"`
	// DrainLimit is the time after which a leaving backend server must get no new requests. ApplyLimit is the time within
	// which a configuration must be in force.
	DrainLimit settingsfile.Duration `toml:"drain_limit"`
	ApplyLimit settingsfile.Duration `toml:"apply_limit"`
	// LookupLifetime is how long callers cache a response of the directory.
	LookupLifetime settingsfile.Duration                              `toml:"lookup_lifetime"`
	FailureDomains map[oleandervane.FailureDomain]oleandervane.Region `toml:"failure_domains"`
	Retries        Retries                                            `toml:"retries"`
	Organisations  Organisations                                      `toml:"organisations"`
	RateLimits     RateLimits                                         `toml:"rate_limits"`
}

// Organisations are the settings for organisations, which identify themselves by keys.
type Organisations struct {
	// StrictRevocation refuses requests that need a key while the VM has had no news of the store for RevocationLimit: a key may have
	// been removed meanwhile. Otherwise the VM serves with the keys that it knows.
	StrictRevocation bool                  `toml:"strict_revocation"`
	RevocationLimit  settingsfile.Duration `toml:"revocation_limit"`
}

// Retries bound the attempts beyond the first of each request, for all VMs together.
type Retries struct {
	// Ratio is the share of the requests of a window that may be retried.
	Ratio float64 `toml:"ratio"`
	// Base is the number of retries in a window beyond that share.
	Base   float64               `toml:"base"`
	Window settingsfile.Duration `toml:"window"`
}

// RateLimits bound the error of the rate limits of organisations: in each window, all VMs together admit at most 1 + Overage times what
// a limit allows, and Slack requests.
type RateLimits struct {
	Window  settingsfile.Duration `toml:"window"`
	Overage float64               `toml:"overage"`
	Slack   float64               `toml:"slack"`
}

// DefaultSettings returns the values of the settings that a file omits.
func DefaultSettings() Settings {
	return Settings{
		LogLevel:          "info",
		MemoryMegabytes:   128,
		ProcessorShare:    1,
		ProcessorSpeed:    1,
		LinkMegabits:      1000,
		PipelinedRequests: pipeline.DefaultMaxAhead,
		// Responses have at most some megabytes; a longer one is probably endless.
		MaxResponseMegabytes: 64,
		StopLimit:            settingsfile.Duration(6 * time.Second),
		DrainLimit:           settingsfile.Duration(2 * time.Second),
		ApplyLimit:           settingsfile.Duration(2 * time.Second),
		LookupLifetime:       settingsfile.Duration(2 * time.Second),
		RateLimits:           RateLimits{Window: settingsfile.Duration(5 * time.Second), Overage: 0.1, Slack: 20},
		// A VM in contact hears of the store each second; a limit of some seconds allows for lost calls.
		Organisations: Organisations{RevocationLimit: settingsfile.Duration(5 * time.Second)},
		Retries:       Retries{Ratio: 0.1, Window: settingsfile.Duration(10 * time.Second)},
	}
}

// LoadSettings reads and checks the settings in a TOML file. The error reports all faults of the file.
func LoadSettings(path string) (Settings, error) {
	settings := DefaultSettings()
	if err := settingsfile.Load(path, &settings, Settings.check); err != nil {
		return Settings{}, err
	}
	return settings, nil
}

// minStopLimit leaves callers time to find out that the VM is leaving.
const minStopLimit = settingsfile.Duration(2 * time.Second)

func (settings Settings) check(faults *settingsfile.Faults) {
	faults.Check(settings.ID != "", "id", "is missing")
	faults.Check(settings.Region != "", "region", "is missing")
	faults.Check(settings.FailureDomain != "", "failure_domain", "is missing")
	for key, address := range settings.addresses() {
		faults.Check(address.IsValid(), key, "must be an IP address and port")
	}
	location, err := url.Parse(settings.StoreURL)
	faults.Check(err == nil && location.Scheme == "http" && location.Host != "", "store_url", "must be an http URL")
	_, err = logrus.ParseLevel(settings.LogLevel)
	faults.Check(err == nil, "log_level", "must be one of error, warn, info, debug")
	faults.Check(settings.MemoryMegabytes > 0, "memory_megabytes", "must be above 0")
	faults.Check(settings.PipelinedRequests >= 0, "pipelined_requests", "must not be negative")
	faults.Check(settings.MaxResponseMegabytes > 0, "max_response_megabytes", "must be above 0")
	faults.Check(settings.ProcessorShare > 0 && settings.ProcessorSpeed > 0, "processor_share", "and processor_speed must be above 0")
	faults.Check(settings.LinkMegabits > 0, "link_megabits", "must be above 0")
	faults.Check(settings.StopLimit >= minStopLimit, "stop_limit", "must be at least 2s")
	faults.Check(settings.DrainLimit > 0 && settings.ApplyLimit > 0, "drain_limit", "and apply_limit must be above 0s")
	faults.Check(settings.LookupLifetime > 0, "lookup_lifetime", "must be above 0s")
	faults.Check(settings.FailureDomains[settings.FailureDomain] == settings.Region, "failure_domains", "must have failure_domain in region")
	faults.Check(settings.Retries.Ratio >= 0 && settings.Retries.Base >= 0, "retries", "ratio and base must not be negative")
	faults.Check(settings.Organisations.RevocationLimit > 0, "organisations.revocation_limit", "must be above 0s")
	faults.Check(settings.Retries.Window > 0, "retries.window", "must be above 0s")
	faults.Check(settings.RateLimits.Window > 0, "rate_limits.window", "must be above 0s")
	faults.Check(settings.RateLimits.Overage >= 0 && settings.RateLimits.Slack >= 0, "rate_limits", "overage and slack must not be negative")
}

func (settings Settings) addresses() map[string]netip.AddrPort {
	return map[string]netip.AddrPort{
		"caller_address":     settings.CallerAddress,
		"directory_address":  settings.DirectoryAddress,
		"readiness_address":  settings.ReadinessAddress,
		"peer_address":       settings.PeerAddress,
		"operations_address": settings.OperationsAddress,
	}
}

// sameIdentity reports whether other settings have the same VM, store and addresses, which a running process cannot change.
func (settings Settings) sameIdentity(other Settings) bool {
	return settings.ID == other.ID && settings.FailureDomain == other.FailureDomain && settings.StoreURL == other.StoreURL &&
		maps.Equal(settings.addresses(), other.addresses())
}

const (
	// requestProcessorTime is the processor time of a request, including its part of all other work.
	requestProcessorTime = 1500 * time.Microsecond
	// requestBytes is the size of a request and its response, counted on both sides of the VM, with some large downloads
	// included.
	requestBytes = 30e3
	// megabit is the number of bytes in a megabit.
	megabit = 1e6 / 8
)

// capacity returns the number of requests per second that processor and link allow.
func (settings Settings) capacity() float64 {
	byProcessor := settings.ProcessorShare * settings.ProcessorSpeed / requestProcessorTime.Seconds()
	byLink := settings.LinkMegabits * megabit / requestBytes
	return min(byProcessor, byLink)
}

// changeLimit returns the time within which every change in the store must be in force.
func (settings Settings) changeLimit() time.Duration {
	return time.Duration(min(settings.DrainLimit, settings.ApplyLimit))
}

// Self returns this VM as its peers see it.
func (settings Settings) Self(incarnation oleandervane.Incarnation) oleandervane.EntryVM {
	return oleandervane.EntryVM{
		ID:            settings.ID,
		Incarnation:   incarnation,
		Region:        settings.Region,
		FailureDomain: settings.FailureDomain,
		CallerAddress: settings.CallerAddress,
		PeerAddress:   settings.PeerAddress,
		Capacity:      settings.capacity(),
	}
}
