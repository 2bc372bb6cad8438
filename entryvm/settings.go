package entryvm

import (
	"net/netip"
	"net/url"
	"time"

	"github.com/sirupsen/logrus"

	"oleandervane.example"
	"oleandervane.example/entryvm/settingsfile"
)

// Settings are the settings of one entry VM. They are immutable after LoadSettings.
type Settings struct {
	ID            oleandervane.VMID          `toml:"id"`
	Region        oleandervane.Region        `toml:"region"`
	FailureDomain oleandervane.FailureDomain `toml:"failure_domain"`
	// CallerAddress serves callers and relayed requests.
	CallerAddress netip.AddrPort `toml:"caller_address"`
	// PeerAddress serves other entry VMs.
	PeerAddress netip.AddrPort `toml:"peer_address"`
	// OperationsAddress serves health, metrics, status, explain and burn.
	OperationsAddress netip.AddrPort `toml:"operations_address"`
	StoreURL          string         `toml:"store_url"`
	VMListURL         string         `toml:"vm_list_url"`
	LogLevel          string         `toml:"log_level"`
	LogFormat         string         `toml:"log_format"`
	// TrustCallerAddressHeader makes the VM read the caller's address from X-Forwarded-For. It is for tests on one
	// machine, where all callers share an address.
	TrustCallerAddressHeader bool     `toml:"trust_caller_address_header"`
	Queue                    Queue    `toml:"queue"`
	Requests                 Requests `toml:"requests"`
	Shutdown                 Shutdown `toml:"shutdown"`
	PeerTLS                  PeerTLS  `toml:"peer_tls"`
}

// Queue bounds the requests that wait on this VM.
type Queue struct {
	// Length is the number of requests of one service that may wait.
	Length int `toml:"length"`
}

// Requests limits the size of one request and the lifetime of its ticket.
type Requests struct {
	MaxBodyBytes   int64                 `toml:"max_body_bytes"`
	TicketLifetime settingsfile.Duration `toml:"ticket_lifetime"`
}

// Shutdown sets the time limits of a planned stop.
type Shutdown struct {
	// LookupGrace is how long the VM still serves after it has announced that it leaves. It must cover the lifetime of
	// look-up responses that callers cache.
	LookupGrace settingsfile.Duration `toml:"lookup_grace"`
	// DrainLimit is how long requests in flight may continue after that.
	DrainLimit settingsfile.Duration `toml:"drain_limit"`
}

// PeerTLS names the files of the certificate that this VM presents to its peers, of its key, and of the authorities
// that it trusts. All are set, or none.
type PeerTLS struct {
	CertificateFile string `toml:"certificate_file"`
	KeyFile         string `toml:"key_file"`
	AuthorityFile   string `toml:"authority_file"`
}

// maxBodyLimitBytes bounds max_body_bytes: bodies of requests that may be retried are kept in memory.
const maxBodyLimitBytes = 64 << 20

// DefaultSettings returns the settings that apply when a file leaves out their keys.
func DefaultSettings() Settings {
	return Settings{
		LogLevel:  "info",
		LogFormat: "json",
		Queue:     Queue{Length: 64},
		Requests:  Requests{MaxBodyBytes: 1 << 20, TicketLifetime: settingsfile.Duration(10 * time.Minute)},
		Shutdown:  Shutdown{LookupGrace: settingsfile.Duration(10 * time.Second), DrainLimit: settingsfile.Duration(30 * time.Second)},
	}
}

// LoadSettings reads and checks the settings in a TOML file. All faults of the file are reported at once.
func LoadSettings(path string) (Settings, error) {
	settings := DefaultSettings()
	if err := settingsfile.Load(path, &settings, Settings.check); err != nil {
		return Settings{}, err
	}
	return settings, nil
}

// ParseSettings reads and checks the settings in text; errors use name as the name of the file.
func ParseSettings(name string, text []byte) (Settings, error) {
	settings := DefaultSettings()
	if err := settingsfile.Decode(name, text, &settings, Settings.check); err != nil {
		return Settings{}, err
	}
	return settings, nil
}

func (settings Settings) check(faults *settingsfile.Faults) {
	check := faults.Check
	check(settings.ID != "", "id", "is missing")
	check(settings.Region != "", "region", "is missing")
	check(settings.FailureDomain != "", "failure_domain", "is missing")
	check(settings.CallerAddress.IsValid(), "caller_address", "must be an IP address and port")
	check(settings.PeerAddress.IsValid(), "peer_address", "must be an IP address and port")
	check(settings.OperationsAddress.IsValid(), "operations_address", "must be an IP address and port")
	check(isHTTPURL(settings.StoreURL), "store_url", "must be an http or https URL")
	check(isHTTPURL(settings.VMListURL), "vm_list_url", "must be an http or https URL")
	_, err := logrus.ParseLevel(settings.LogLevel)
	check(err == nil, "log_level", "must be one of error, warn, info, debug")
	check(settings.LogFormat == "json" || settings.LogFormat == "text", "log_format", `must be "json" or "text"`)
	check(settings.Queue.Length > 0 && settings.Queue.Length <= 10_000, "queue.length", "must be from 1 to 10000")
	check(settings.Requests.MaxBodyBytes > 0 && settings.Requests.MaxBodyBytes <= maxBodyLimitBytes, "requests.max_body_bytes", "must be from 1 to 67108864")
	check(settings.Requests.TicketLifetime >= settingsfile.Duration(time.Second), "requests.ticket_lifetime", "must be at least 1s")
	check(settings.Shutdown.LookupGrace >= 0, "shutdown.lookup_grace", "must not be negative")
	check(settings.Shutdown.DrainLimit > 0, "shutdown.drain_limit", "must be above 0s")
	check(settings.PeerTLS.complete(), "peer_tls", "needs certificate_file, key_file and authority_file together")
}

func (peerTLS PeerTLS) complete() bool {
	set := 0
	for _, file := range []string{peerTLS.CertificateFile, peerTLS.KeyFile, peerTLS.AuthorityFile} {
		if file != "" {
			set++
		}
	}
	return set == 0 || set == 3
}

func isHTTPURL(text string) bool {
	parsed, err := url.Parse(text)
	return err == nil && (parsed.Scheme == "http" || parsed.Scheme == "https") && parsed.Host != ""
}

// Self returns this VM's entry in the membership, as its peers receive it.
func (settings Settings) Self(incarnation oleandervane.Incarnation) oleandervane.EntryVM {
	return oleandervane.EntryVM{
		ID:            settings.ID,
		Incarnation:   incarnation,
		Region:        settings.Region,
		FailureDomain: settings.FailureDomain,
		CallerAddress: settings.CallerAddress,
		PeerAddress:   settings.PeerAddress,
	}
}
