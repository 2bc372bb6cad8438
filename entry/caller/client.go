package caller

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"oleandervane.example"
)

const (
	// DefaultControlTimeout bounds a look-up, a ticket and an outcome query. Entry VMs answer them from memory, and
	// the longest way to one takes 35 ms.
	DefaultControlTimeout = time.Second
	// DefaultOutcomeQueries is how often an unknown outcome is asked for before the caller is left with it.
	DefaultOutcomeQueries = 3
	// DefaultOutcomeQueryInterval is the time between two such queries.
	DefaultOutcomeQueryInterval = 500 * time.Millisecond
	// DefaultMaxResponseBytes bounds a response, which is held in memory until it is complete.
	DefaultMaxResponseBytes = 64 << 20
	// maxSends bounds how often a request is sent when entry VMs keep answering not_run or cannot be reached.
	maxSends = 3
	// idleConnectionLimit is short because an idle connection may go silent unnoticed.
	idleConnectionLimit = 2 * time.Second
	// maxIdleConnections to one entry VM keeps a busy caller from opening a connection for each request.
	maxIdleConnections = 32
	dialTimeout        = time.Second
)

// Settings are the settings of a Client. Zero values take the defaults.
type Settings struct {
	// Seeds are a few entry VMs that are asked when no look-up has succeeded yet, or when the known VMs are gone.
	Seeds []netip.AddrPort
	// LocalAddress is the address to send from; the zero value leaves it to the machine. Look-ups go by it.
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

// Client sends requests through entry VMs. All methods may be called from many goroutines at once.
type Client struct {
	settings     Settings
	timerService oleandervane.TimerService
	httpClient   *http.Client
	// filingClient opens a connection for each request. On a pooled one that went silent, a filing would be unknown
	// although a new connection could have served it.
	filingClient *http.Client

	mutex sync.Mutex
	lists map[listKey]*vmList
}

// New returns a client.
func New(settings Settings, timerService oleandervane.TimerService) *Client {
	return &Client{
		settings:     settings.withDefaults(),
		timerService: timerService,
		httpClient:   newHTTPClient(settings, false),
		filingClient: newHTTPClient(settings, true),
		lists:        map[listKey]*vmList{},
	}
}

func newHTTPClient(settings Settings, newConnections bool) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Client{
		Transport: &http.Transport{
			Protocols:           protocols,
			DisableCompression:  true,
			DisableKeepAlives:   newConnections,
			DialContext:         settings.dialer().DialContext,
			MaxIdleConnsPerHost: maxIdleConnections,
			IdleConnTimeout:     idleConnectionLimit,
		},
		// A redirect would send the request again, to somewhere that the look-up did not name.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close closes idle connections.
func (client *Client) Close() {
	client.httpClient.CloseIdleConnections()
}
