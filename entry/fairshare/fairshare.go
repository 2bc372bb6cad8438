// Package fairshare decides which organisations have a claim to a service that has too little capacity: by rank first, then in equal
// shares, with what one organisation does not use passed on to the others.
//
// It addresses the load in which one organisation sends many times its usual load while others send theirs. A VM decides by its own
// requests only. It keeps no requests back: an organisation without a claim is still served while servers have room, but is refused at a
// lower load than one with a claim.
package fairshare

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"oleandervane.example"
)

const (
	// memory is the time constant with which counts are forgotten. A VM of a hundred gets some 16 requests a second of 80
	// organisations, so that a shorter memory has less than one request of most of them.
	memory = 5 * time.Second
	// updatePeriod is the time between two computations of the shares, which cost some microseconds for each organisation.
	updatePeriod = 100 * time.Millisecond
	// scarceShare is the share of requests that are served below which a service counts as short of capacity. Above it, refusals are
	// those of single busy servers.
	scarceShare = 0.95
	// floorShare is the part of the share of all requests that are served to which each organisation has a claim whatever its rank. A
	// quarter is required; the rest allows for requests with a claim that are refused all the same. What it takes is taken from the
	// least urgent ranks.
	floorShare = 0.35
	// growth is the factor by which a rank may exceed its share while less urgent ones are served. Otherwise a VM that happens to be
	// served less than others keeps refusing urgent requests while others serve less urgent ones: 0.77 of the urgent ones were served in
	// a load in which there is room for all. With 1.25, the second of three ranks takes from the first.
	growth = 1.1
	// MaxAccounts bounds the organisations of a service that are counted one by one. The rest is counted together. An account has 80
	// bytes, and installations have some 80 organisations.
	MaxAccounts = 512
	// forgotten is the count below which an account is dropped: that of one request after four time constants.
	forgotten = 0.02
)

// Claimant is an organisation with the rank of its request. A lower rank is more urgent.
type Claimant struct {
	Organisation oleandervane.OrganisationName
	Rank         int
}

// Claim is what an organisation may expect at this moment. It is immutable.
type Claim struct {
	// Scarce says that the service has too little capacity for all. Otherwise nobody has to give way.
	Scarce bool
	// Entitled says that the organisation has had less than its share.
	Entitled bool
	// First says that it goes before others that are entitled: all of its requests are within its share, or less urgent organisations
	// are served too, or it has had less than the part that nobody is denied.
	First bool
	// SharePerSecond and UsePerSecond are the organisation's share and use at this VM, for logs. The share is infinite if all of its
	// requests are within it.
	SharePerSecond float64
	UsePerSecond   float64
}

// account has the counts of one claimant, which decay with the time constant.
type account struct {
	offered, served float64
	// share is the number of served requests up to which the claimant has a claim.
	share float64
	// firstShare is the part of share up to which the claimant goes before others.
	firstShare float64
}

// service has the accounts of one service.
type service struct {
	accounts  map[Claimant]*account
	updatedAt time.Time
	scarce    bool
}

// Ledger counts the requests of organisations at each service. It is safe for concurrent use.
type Ledger struct {
	mutex    sync.Mutex
	services map[oleandervane.ServiceName]*service
}

// NewLedger returns a ledger without requests.
func NewLedger() *Ledger {
	return &Ledger{services: map[oleandervane.ServiceName]*service{}}
}

// Offer counts a request and returns the claim of its organisation. The names of services come from the configuration.
func (ledger *Ledger) Offer(serviceName oleandervane.ServiceName, claimant Claimant, now time.Time) Claim {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	current, found := ledger.services[serviceName]
	if !found {
		current = &service{accounts: map[Claimant]*account{}, updatedAt: now}
		ledger.services[serviceName] = current
	}
	if elapsed := now.Sub(current.updatedAt); elapsed >= updatePeriod {
		current.update(elapsed)
		current.updatedAt = now
	}
	own := current.account(claimant)
	own.offered++
	return Claim{
		Scarce:         current.scarce,
		Entitled:       own.served < own.share,
		First:          own.served < own.firstShare,
		SharePerSecond: own.share / memory.Seconds(),
		UsePerSecond:   own.served / memory.Seconds(),
	}
}

// Serve counts that a request that was offered is sent to a server.
func (ledger *Ledger) Serve(serviceName oleandervane.ServiceName, claimant Claimant) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if current, found := ledger.services[serviceName]; found {
		current.account(claimant).served++
	}
}

// account returns the account of a claimant. Until the next update a new one has a claim to all of its requests.
func (service *service) account(claimant Claimant) *account {
	own, found := service.accounts[claimant]
	if found {
		return own
	}
	if len(service.accounts) >= MaxAccounts {
		claimant = Claimant{Rank: math.MaxInt}
		if own, found = service.accounts[claimant]; found {
			return own
		}
	}
	own = &account{share: math.Inf(1), firstShare: math.Inf(1)}
	service.accounts[claimant] = own
	return own
}

// update lets the counts decay, drops accounts without requests, and computes the shares.
func (service *service) update(elapsed time.Duration) {
	decay := math.Exp(-elapsed.Seconds() / memory.Seconds())
	claimants := make([]Claimant, 0, len(service.accounts))
	offered, served := 0.0, 0.0
	for claimant, account := range service.accounts {
		account.offered *= decay
		account.served *= decay
		if account.offered < forgotten {
			delete(service.accounts, claimant)
			continue
		}
		claimants = append(claimants, claimant)
		offered += account.offered
		served += account.served
	}
	service.scarce = served < scarceShare*offered
	if served == 0 {
		// Nothing shows how much there is to share.
		return
	}
	slices.SortFunc(claimants, func(a, b Claimant) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(service.accounts[a].offered, service.accounts[b].offered))
	})
	service.share(claimants, served, offered)
}

// share divides what is served among claimants that are sorted by rank and by what they offer. Each rank gets what the more urgent ones
// leave, but for the part of the less urgent ones that nobody is denied. Within a rank, a claimant that offers less than an equal share
// leaves the rest of it to the others.
func (service *service) share(claimants []Claimant, served, offered float64) {
	floor := floorShare * served / max(offered, served)
	left, behind := served, offered
	for len(claimants) > 0 {
		rank := claimants[0].Rank
		end := slices.IndexFunc(claimants, func(claimant Claimant) bool { return claimant.Rank != rank })
		if end < 0 {
			end = len(claimants)
		}
		for _, claimant := range claimants[:end] {
			behind -= service.accounts[claimant].offered
		}
		available := max(0, left-floor*behind)
		for i, claimant := range claimants[:end] {
			account := service.accounts[claimant]
			equal := available / float64(end-i)
			used := min(account.offered, equal)
			account.firstShare = floor * account.offered
			account.share = max(equal, account.firstShare)
			switch {
			case account.offered <= equal:
				account.share, account.firstShare = math.Inf(1), math.Inf(1)
			case end < len(claimants):
				account.share = max(growth*equal, account.firstShare)
				account.firstShare = account.share
			}
			available -= used
			left -= used
		}
		claimants = claimants[end:]
	}
}

// Accounts returns the number of claimants of a service that are counted one by one, and one more if others are counted together.
func (ledger *Ledger) Accounts(serviceName oleandervane.ServiceName) int {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if current, found := ledger.services[serviceName]; found {
		return len(current.accounts)
	}
	return 0
}
