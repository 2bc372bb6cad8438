package placement

// Policy has the figures by which Decide chooses and refuses. It is immutable.
type Policy struct {
	// WarmChoices is the number of servers that share the requests of an object.
	WarmChoices int
	// UrgentBound and OrdinaryBound are the loads, in requests for each slot, from which the first choices take no more
	// requests.
	UrgentBound   float64
	OrdinaryBound float64
	// ColdCost is how many times longer a request takes on a server that did not handle its object recently.
	ColdCost float64
	// Margin is by how much sooner another server has to answer to be used in the place of the first choice.
	Margin float64
	// AvoidedShare is the largest share of servers that is passed over for failing often.
	AvoidedShare float64
	// EqualRunTimes takes all requests of a service to be equally long.
	EqualRunTimes bool
}

const (
	// warmChoices is two: they even out their load nearly as well as all servers would, while each object takes memory
	// on two servers only.
	warmChoices = 2
	// coldCost: objects save 0.7 of the work, and what a server learns it can use later, so that it counts for less than
	// the 3.3 times that the request itself takes.
	coldCost = 2.4
	// margin keeps requests at the first choice when the other would hardly be sooner.
	margin = 0.2
	// urgentBound and ordinaryBound: requests above them are refused and not sent to servers that do not know the
	// object. Those would take longer and forget objects of their own, until nothing is where it is known. Less urgent
	// requests stop earlier, so that the room that is left goes to the urgent ones.
	urgentBound   = 3.5
	ordinaryBound = 2.5
	// avoidedShare: when more servers fail, the others would drown in the load of all.
	avoidedShare = 0.34
)

// DefaultPolicy returns the policy that entry VMs use.
func DefaultPolicy() Policy {
	return Policy{
		WarmChoices:   warmChoices,
		UrgentBound:   urgentBound,
		OrdinaryBound: ordinaryBound,
		ColdCost:      coldCost,
		Margin:        margin,
		AvoidedShare:  avoidedShare,
	}
}

// WithWarmChoices returns a copy with another number of servers for each object.
func (policy Policy) WithWarmChoices(warmChoices int) Policy {
	policy.WarmChoices = warmChoices
	return policy
}

// WithBounds returns a copy that refuses from other loads on.
func (policy Policy) WithBounds(urgent, ordinary float64) Policy {
	policy.UrgentBound, policy.OrdinaryBound = urgent, ordinary
	return policy
}

// WithColdCost returns a copy with another cost of a server that does not know the object.
func (policy Policy) WithColdCost(coldCost float64) Policy {
	policy.ColdCost = coldCost
	return policy
}

// WithEqualRunTimes returns a copy that does or does not take all requests of a service to be equally long.
func (policy Policy) WithEqualRunTimes(equalWork bool) Policy {
	policy.EqualRunTimes = equalWork
	return policy
}
