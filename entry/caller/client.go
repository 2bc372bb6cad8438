package caller

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"oleandervane.example"
	"oleandervane.example/responsehead"
)

const (
	// DefaultControlTimeout bounds a look-up, a ticket request and an outcome query. Entry VMs answer them from memory,
	// and the longest path to an entry VM takes 35 ms.
	DefaultControlTimeout = time.Second
	// DefaultOutcomeQueries is how often an unknown outcome is queried before it is returned to the caller.
	DefaultOutcomeQueries = 3
	// DefaultOutcomeQueryInterval is the time between two such queries.
	DefaultOutcomeQueryInterval = 500 * time.Millisecond
	// DefaultMaxResponseBytes bounds a response, which is buffered in memory until it is complete.
	DefaultMaxResponseBytes = 64 << 20
	// maxSends bounds how often a request is sent when entry VMs repeatedly respond with not_run or cannot be reached.
	maxSends = 3
	// idleConnectionTimeout is short because an idle connection can fail silently.
	idleConnectionTimeout = 2 * time.Second
	// maxIdleConnections is the limit for one entry VM. It is high enough that a busy caller does not open a connection
	// for each request.
	maxIdleConnections = 32
	dialTimeout        = time.Second
)

// Settings are the settings of a Client. Defaults apply to zero values.
type Settings struct {
	// Seeds are a few entry VMs for look-ups before any look-up has succeeded, or when the entry VMs of the last
	// look-up do not respond.
	Seeds []netip.AddrPort
	// LocalAddress is the source address of requests, by which look-ups choose entry VMs. With the zero value, the
	// operating system chooses it.
	LocalAddress         netip.Addr
	ControlTimeout       time.Duration
	OutcomeQueries       int
	OutcomeQueryInterval time.Duration
	MaxResponseBytes     int64
}

func (settings Settings) withDefaults() Settings {
	if settings.ControlTimeout == 0 {
		settings.ControlTimeout = DefaultControlTimeout
	}
	if settings.OutcomeQueries == 0 {
		settings.OutcomeQueries = DefaultOutcomeQueries
	}
	if settings.OutcomeQueryInterval == 0 {
		settings.OutcomeQueryInterval = DefaultOutcomeQueryInterval
	}
	if settings.MaxResponseBytes == 0 {
		settings.MaxResponseBytes = DefaultMaxResponseBytes
	}
	return settings
}

func (settings Settings) dialer() *net.Dialer {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if settings.LocalAddress.IsValid() {
		dialer.LocalAddr = &net.TCPAddr{IP: settings.LocalAddress.AsSlice()}
	}
	return dialer
}

// Client sends requests through entry VMs. It is safe for concurrent use.
type Client struct {
	settings     Settings
	timerService oleandervane.TimerService
	httpClient   *http.Client
	// unpooledClient opens a connection for each request, for non-idempotent requests. On a pooled connection that has
	// failed silently, the outcome of such a request would be unknown, although a new connection could have served it.
	unpooledClient *http.Client

	mutex sync.Mutex
	lists map[listKey]*vmList
}

// New returns a client.
func New(settings Settings, timerService oleandervane.TimerService) *Client {
	return &Client{
		settings:       settings.withDefaults(),
		timerService:   timerService,
		httpClient:     newHTTPClient(settings, false),
		unpooledClient: newHTTPClient(settings, true),
		lists:          map[listKey]*vmList{},
	}
}

func newHTTPClient(settings Settings, newConnections bool) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Client{
		Transport: responsehead.NewTransport(&http.Transport{
			Protocols:           protocols,
			DisableCompression:  true,
			DisableKeepAlives:   newConnections,
			DialContext:         settings.dialer().DialContext,
			MaxIdleConnsPerHost: maxIdleConnections,
			IdleConnTimeout:     idleConnectionTimeout,
		}),
		// Following a redirect would send the request again, to an address that is not from the look-up.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close closes idle connections.
func (client *Client) Close() {
	client.httpClient.CloseIdleConnections()
}
