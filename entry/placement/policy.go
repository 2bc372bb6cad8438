package placement

// Policy has the parameters by which Decide chooses servers and refuses requests. It is immutable.
type Policy struct {
	// WarmChoices is the number of servers that share the requests of an object.
	WarmChoices int
	// LocalChoices is the number of eligible servers among which one in the region of the caller comes first.
	LocalChoices int
	// UrgentBound and OrdinaryBound are the pressures, in requests per slot times the slowdown, from which the first
	// choices accept no more requests.
	UrgentBound   float64
	OrdinaryBound float64
	// ClaimStep is by how much the bounds are lower for organisations that send more than their share, and for less urgent routes, while
	// organisations compete for a service.
	ClaimStep float64
	// ColdCost is how many times longer a request takes on a server without affinity for its object.
	ColdCost float64
	// SecondCopyCredit is deducted from ColdCost while the machine of the first choice is slow: once the other server knows the object,
	// later requests can avoid the first choice.
	SecondCopyCredit float64
	// Margin is by how much sooner another server must respond to be chosen instead of the first choice, as a multiple
	// of the run time of the request on a server with affinity.
	Margin float64
	// AvoidedShare is the largest share of servers that may be skipped because they fail often.
	AvoidedShare float64
	// EqualRunTimes assumes that all requests of a service take equally long.
	EqualRunTimes bool
}

const (
	// warmChoices is two: two servers balance their load nearly as well as all servers would, and each object takes up
	// memory on two servers only.
	warmChoices = 2
	// localChoices is limited: if all servers of the region of the caller came first, they would run all requests of callers there,
	// and besides those of callers in regions with too few servers.
	localChoices = 4
	// Affinity saves 0.7 of the work, so a request without it takes 3.3 times as long. coldCost is lower, because a
	// server that loads the object benefits from it later.
	coldCost = 2.4
	// secondCopyCredit makes a server without affinity the choice when the first one takes 2.2 times as long as usual or longer.
	secondCopyCredit = 0.4
	// margin keeps requests at the first choice when the other server would respond only slightly sooner.
	margin = 0.2
	// Requests above urgentBound and ordinaryBound are refused instead of being sent to servers without affinity for
	// the object. Those would take longer and evict objects of their own, until no server had affinity for its objects.
	// Less urgent requests are refused at a lower load, so that the remaining capacity goes to the urgent ones.
	urgentBound   = 3.5
	ordinaryBound = 2.5
	// claimStep is half of the distance of the bounds: an organisation that sends more than its share is between one that does not and
	// one that has had its share. Otherwise the first would compete with the second for the last room.
	claimStep = 0.5
	// avoidedShare is limited: if more servers were skipped, the requests of all would overload the remaining ones.
	avoidedShare = 0.34
)

// DefaultPolicy returns the policy that entry VMs use.
func DefaultPolicy() Policy {
	return Policy{
		WarmChoices:      warmChoices,
		LocalChoices:     localChoices,
		UrgentBound:      urgentBound,
		OrdinaryBound:    ordinaryBound,
		ClaimStep:        claimStep,
		ColdCost:         coldCost,
		SecondCopyCredit: secondCopyCredit,
		Margin:           margin,
		AvoidedShare:     avoidedShare,
	}
}

// WithWarmChoices returns a copy with another number of servers for each object.
func (policy Policy) WithWarmChoices(warmChoices int) Policy {
	policy.WarmChoices = warmChoices
	return policy
}

// WithBounds returns a copy with other pressures from which requests are refused.
func (policy Policy) WithBounds(urgent, ordinary float64) Policy {
	policy.UrgentBound, policy.OrdinaryBound = urgent, ordinary
	return policy
}

// WithColdCost returns a copy with another cost of a server without affinity for the object.
func (policy Policy) WithColdCost(coldCost float64) Policy {
	policy.ColdCost = coldCost
	return policy
}

// WithEqualRunTimes returns a copy that does or does not assume that all requests of a service take equally long.
func (policy Policy) WithEqualRunTimes(equalRunTimes bool) Policy {
	policy.EqualRunTimes = equalRunTimes
	return policy
}
