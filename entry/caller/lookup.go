package caller

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"oleandervane.example"
)

// ErrNoEntryVM means that no entry VM responded to the look-up with a list, and there is none from an earlier look-up.
var ErrNoEntryVM = errors.New("no entry VM answers")

// lookupRetryInterval is the time between failed look-ups while an expired list is in use. Without it, each request
// would wait for look-ups that fail.
const lookupRetryInterval = time.Second

type listKey struct {
	service oleandervane.ServiceName
	kind    oleandervane.KindName
}

func (listKey listKey) query() string {
	values := url.Values{"service": {string(listKey.service)}, "kind": {string(listKey.kind)}}
	return "?" + values.Encode()
}

// vmList is the cached result of a look-up. The mutex of the client guards it.
type vmList struct {
	addresses []netip.AddrPort
	expiresAt time.Time
	// tickets are unused tickets that issuer issued.
	tickets []string
	issuer  netip.AddrPort
}

// addresses returns the entry VMs to use, best first. It still returns an expired list if no entry VM responds to a
// look-up.
func (client *Client) addresses(ctx context.Context, key listKey) ([]netip.AddrPort, error) {
	if list := client.cached(key); list != nil {
		return list, nil
	}
	err := client.lookUp(ctx, key)
	client.mutex.Lock()
	defer client.mutex.Unlock()
	list := client.lists[key]
	if list == nil {
		return nil, err
	}
	if err != nil {
		list.expiresAt = client.timerService.Now().Add(lookupRetryInterval)
	}
	return slices.Clone(list.addresses), nil
}

func (client *Client) cached(key listKey) []netip.AddrPort {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	list := client.lists[key]
	if list == nil || !client.timerService.Now().Before(list.expiresAt) {
		return nil
	}
	return slices.Clone(list.addresses)
}

// lookUp queries the entry VMs of the cached list and then the seeds, until one responds.
func (client *Client) lookUp(ctx context.Context, key listKey) error {
	errs := []error{ErrNoEntryVM}
	for _, address := range client.lookupCandidates(key) {
		err := client.lookUpAt(ctx, key, address)
		if err == nil {
			return nil
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

func (client *Client) lookupCandidates(key listKey) []netip.AddrPort {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	var candidates []netip.AddrPort
	if list := client.lists[key]; list != nil {
		candidates = slices.Clone(list.addresses)
	}
	for _, seed := range client.settings.Seeds {
		if !slices.Contains(candidates, seed) {
			candidates = append(candidates, seed)
		}
	}
	return candidates
}

func (client *Client) lookUpAt(ctx context.Context, key listKey, address netip.AddrPort) error {
	var response struct {
		EntryVMs []struct {
			ID      oleandervane.VMID `json:"id"`
			Address netip.AddrPort    `json:"address"`
		} `json:"entry_vms"`
		LifetimeMillis int64    `json:"lifetime_ms"`
		Tickets        []string `json:"tickets"`
	}
	if err := client.control(ctx, http.MethodGet, address, "/v1/lookup"+key.query(), &response); err != nil {
		return err
	}
	if len(response.EntryVMs) == 0 {
		return eris.Wrapf(ErrNoEntryVM, "looking up at %s", address)
	}
	list := &vmList{
		expiresAt: client.timerService.Now().Add(time.Duration(response.LifetimeMillis) * time.Millisecond),
		tickets:   response.Tickets,
	}
	for _, entryVM := range response.EntryVMs {
		list.addresses = append(list.addresses, entryVM.Address)
	}
	list.issuer = list.addresses[0]
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.lists[key] = list
	return nil
}

// demote moves an entry VM that is unavailable or leaving to the end of the list, until the next look-up.
func (client *Client) demote(key listKey, address netip.AddrPort) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	list := client.lists[key]
	if list == nil {
		return
	}
	index := slices.Index(list.addresses, address)
	if index < 0 {
		return
	}
	list.addresses = append(slices.Delete(list.addresses, index, index+1), address)
}

// popTicket removes and returns a ticket of the cached look-up, or returns an empty text if the VM at the address
// issued none.
func (client *Client) popTicket(key listKey, address netip.AddrPort) string {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	list := client.lists[key]
	if list == nil || list.issuer != address || len(list.tickets) == 0 {
		return ""
	}
	ticket := list.tickets[0]
	list.tickets = list.tickets[1:]
	return ticket
}
