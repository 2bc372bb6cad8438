package revision

import (
	"bytes"
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"oleandervane.example"
	"oleandervane.example/operator/check"
)

const settingsTitle = "oleandervane settings 1\n"

// textDuration is a time.Duration that is encoded as text, such as "20ms".
type textDuration time.Duration

func (textDuration textDuration) MarshalText() ([]byte, error) {
	return []byte(check.Duration(time.Duration(textDuration))), nil
}

func (textDuration *textDuration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*textDuration = toTextDuration(parsed)
	return err
}

func toTextDuration(duration time.Duration) textDuration {
	return textDuration(duration)
}

// setting is one line of a chunk of settings: exactly one of its fields is set.
type setting struct {
	LookupLifetime *textDuration `json:"lookup_lifetime,omitempty"`
	Region         *regionWire   `json:"region,omitempty"`
	Site           *siteWire     `json:"site,omitempty"`
	Service        *service      `json:"service,omitempty"`
	Link           *link         `json:"link,omitempty"`
	Drain          *drain        `json:"drain,omitempty"`
	AlertRule      *alertRule    `json:"alert_rule,omitempty"`
}

type regionWire struct {
	Name           oleandervane.Region          `json:"name"`
	FailureDomains []oleandervane.FailureDomain `json:"failure_domains"`
}

type siteWire struct {
	Name          oleandervane.Site          `json:"name"`
	Region        oleandervane.Region        `json:"region"`
	FailureDomain oleandervane.FailureDomain `json:"failure_domain"`
}

type kind struct {
	Idempotent bool         `json:"idempotent"`
	Weight     int          `json:"weight"`
	Deadline   textDuration `json:"deadline"`
}

type objective struct {
	Availability float64      `json:"availability"`
	Latency      textDuration `json:"latency"`
	Window       textDuration `json:"window"`
}

type service struct {
	Name           oleandervane.ServiceName            `json:"name"`
	Slots          int                                 `json:"slots"`
	MaxConnections int                                 `json:"max_connections"`
	ServiceTime    textDuration                        `json:"service_time"`
	ProbeCost      textDuration                        `json:"probe_cost"`
	Headroom       float64                             `json:"headroom"`
	ShiftCap       float64                             `json:"shift_cap"`
	FailoverCap    float64                             `json:"failover_cap"`
	ShiftWindow    textDuration                        `json:"shift_window"`
	RequestBytes   int64                               `json:"request_bytes"`
	Kinds          map[oleandervane.KindName]kind      `json:"kinds"`
	Objectives     map[oleandervane.KindName]objective `json:"objectives"`
}

type link struct {
	From           oleandervane.Region `json:"from"`
	To             oleandervane.Region `json:"to"`
	Delay          textDuration        `json:"delay"`
	BytesPerSecond int64               `json:"bytes_per_second"`
}

type drain struct {
	Name          string                     `json:"name"`
	Target        oleandervane.DrainTarget   `json:"target"`
	Service       oleandervane.ServiceName   `json:"service,omitempty"`
	Region        oleandervane.Region        `json:"region,omitempty"`
	FailureDomain oleandervane.FailureDomain `json:"failure_domain,omitempty"`
	EntryVMs      []oleandervane.VMID        `json:"entry_vms,omitempty"`
	EmptyFrom     time.Time                  `json:"empty_from"`
	ReturnAt      time.Time                  `json:"return_at"`
}

type alertRule struct {
	Name        string       `json:"name"`
	LongWindow  textDuration `json:"long_window"`
	ShortWindow textDuration `json:"short_window"`
	Factor      float64      `json:"factor"`
}

// settingsOf returns the settings of a configuration in the order in which they are encoded, and their keys.
func settingsOf(configuration oleandervane.Configuration) (list []setting, keys []string) {
	add := func(key string, setting setting) {
		list = append(list, setting)
		keys = append(keys, key)
	}
	lifetime := textDuration(configuration.LookupLifetime)
	add("lookup_lifetime", setting{LookupLifetime: &lifetime})
	for _, name := range slices.Sorted(maps.Keys(configuration.Regions)) {
		region := configuration.Regions[name]
		add("regions."+string(name), setting{Region: &regionWire{region.Name, region.FailureDomains}})
		for _, site := range slices.Sorted(maps.Keys(region.Sites)) {
			add("regions."+string(name)+".sites."+string(site), setting{Site: &siteWire{site, name, region.Sites[site]}})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(configuration.Services)) {
		add("services."+string(name), setting{Service: serviceOf(configuration.Services[name])})
	}
	links := slices.SortedFunc(slices.Values(configuration.Links), func(a, b oleandervane.Link) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To))
	})
	for _, value := range links {
		add("links."+string(value.From)+"."+string(value.To),
			setting{Link: &link{value.From, value.To, textDuration(value.Delay), value.BytesPerSecond}})
	}
	drains := slices.SortedFunc(slices.Values(configuration.Drains), func(a, b oleandervane.Drain) int { return cmp.Compare(a.Name, b.Name) })
	for _, value := range drains {
		wire := drain(value)
		wire.EmptyFrom, wire.ReturnAt = wire.EmptyFrom.UTC(), wire.ReturnAt.UTC()
		add("drains."+value.Name, setting{Drain: &wire})
	}
	rules := slices.SortedFunc(slices.Values(configuration.AlertRules), func(a, b oleandervane.AlertRule) int { return cmp.Compare(a.Name, b.Name) })
	for _, value := range rules {
		add("alert_rules."+value.Name, setting{AlertRule: &alertRule{value.Name, textDuration(value.LongWindow), textDuration(value.ShortWindow), value.Factor}})
	}
	return list, keys
}

func serviceOf(value oleandervane.Service) *service {
	wire := &service{
		Name: value.Name, Slots: value.Slots, MaxConnections: value.MaxConnections, ServiceTime: textDuration(value.ServiceTime),
		ProbeCost: textDuration(value.ProbeCost), Headroom: value.Headroom, ShiftCap: value.ShiftCap, FailoverCap: value.FailoverCap,
		ShiftWindow: textDuration(value.ShiftWindow), RequestBytes: value.RequestBytes,
		Kinds: map[oleandervane.KindName]kind{}, Objectives: map[oleandervane.KindName]objective{},
	}
	for name, of := range value.Kinds {
		wire.Kinds[name] = kind{of.Idempotent, of.Weight, textDuration(of.Deadline)}
	}
	for name, of := range value.Objectives {
		wire.Objectives[name] = objective{of.Availability, textDuration(of.Latency), textDuration(of.Window)}
	}
	return wire
}

func (wire service) value() oleandervane.Service {
	value := oleandervane.Service{
		Name: wire.Name, Slots: wire.Slots, MaxConnections: wire.MaxConnections, ServiceTime: time.Duration(wire.ServiceTime),
		ProbeCost: time.Duration(wire.ProbeCost), Headroom: wire.Headroom, ShiftCap: wire.ShiftCap, FailoverCap: wire.FailoverCap,
		ShiftWindow: time.Duration(wire.ShiftWindow), RequestBytes: wire.RequestBytes,
		Kinds:      map[oleandervane.KindName]oleandervane.Kind{},
		Objectives: map[oleandervane.KindName]oleandervane.Objective{},
	}
	for name, of := range wire.Kinds {
		value.Kinds[name] = oleandervane.Kind{Name: name, Idempotent: of.Idempotent, Weight: of.Weight, Deadline: time.Duration(of.Deadline)}
	}
	for name, of := range wire.Objectives {
		value.Objectives[name] = oleandervane.Objective{
			Availability: of.Availability, Latency: time.Duration(of.Latency), Window: time.Duration(of.Window),
		}
	}
	return value
}

func encodeSettings(configuration oleandervane.Configuration) ([]Chunk, error) {
	list, keys := settingsOf(configuration)
	lines := make([]line, len(list))
	for index, setting := range list {
		text, err := json.Marshal(setting)
		if err != nil {
			return nil, eris.Wrapf(err, "encode %s", keys[index])
		}
		if len(text) > MaxChunkBytes-len(settingsTitle)-1 {
			return nil, eris.Errorf("encode %s: %d bytes do not fit into a chunk", keys[index], len(text))
		}
		lines[index] = line{keys[index], append(text, '\n')}
	}
	return textChunks(settingsTitle, lines, settingChunker), nil
}

// decodeSettings adds the settings of a chunk to a configuration.
func decodeSettings(content []byte, configuration *oleandervane.Configuration) error {
	rest, found := bytes.CutPrefix(content, []byte(settingsTitle))
	if !found || !bytes.HasSuffix(content, []byte("\n")) {
		return eris.New("the chunk does not contain settings")
	}
	for text := range bytes.Lines(rest) {
		var setting setting
		decoder := json.NewDecoder(bytes.NewReader(text))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&setting); err != nil {
			return eris.Wrapf(err, "decode setting %.60q", text)
		}
		if err := setting.addTo(configuration); err != nil {
			return eris.Wrapf(err, "decode setting %.60q", text)
		}
	}
	return nil
}

func (setting setting) addTo(configuration *oleandervane.Configuration) error {
	switch {
	case setting.LookupLifetime != nil:
		configuration.LookupLifetime = time.Duration(*setting.LookupLifetime)
	case setting.Region != nil:
		configuration.Regions[setting.Region.Name] = oleandervane.RegionSettings{
			Name: setting.Region.Name, FailureDomains: setting.Region.FailureDomains,
			Sites: map[oleandervane.Site]oleandervane.FailureDomain{},
		}
	case setting.Site != nil:
		region, found := configuration.Regions[setting.Site.Region]
		if !found {
			return eris.Errorf("the region %q of the site does not come before it", setting.Site.Region)
		}
		region.Sites[setting.Site.Name] = setting.Site.FailureDomain
	case setting.Service != nil:
		configuration.Services[setting.Service.Name] = setting.Service.value()
	case setting.Link != nil:
		wire := setting.Link
		configuration.Links = append(configuration.Links, oleandervane.Link{
			From: wire.From, To: wire.To, Delay: time.Duration(wire.Delay), BytesPerSecond: wire.BytesPerSecond,
		})
	case setting.Drain != nil:
		configuration.Drains = append(configuration.Drains, oleandervane.Drain(*setting.Drain))
	case setting.AlertRule != nil:
		wire := setting.AlertRule
		configuration.AlertRules = append(configuration.AlertRules, oleandervane.AlertRule{
			Name: wire.Name, LongWindow: time.Duration(wire.LongWindow), ShortWindow: time.Duration(wire.ShortWindow), Factor: wire.Factor,
		})
	default:
		return eris.New("the line has no setting")
	}
	return nil
}
