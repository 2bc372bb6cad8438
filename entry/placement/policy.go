package placement

// Policy has the figures by which Decide chooses and refuses. It is immutable.
type Policy struct {
	// WarmChoices is the number of servers that share the requests of an object.
	WarmChoices int
	// UrgentBound and OrdinaryBound are the loads, in requests for each slot, from which the first choices take no more
	// requests.
	UrgentBound   float64
	OrdinaryBound float64
	// QueueingBound is the load from which a request probably has to wait.
	QueueingBound float64
	// AvoidedShare is the largest share of servers that is passed over for failing often.
	AvoidedShare float64
}

const (
	// warmChoices is two: they even out their load nearly as well as all servers would, while each object takes memory
	// on two servers only.
	warmChoices = 2
	// coldCost is how many times longer a request takes on a server that did not handle its object recently.
	coldCost = 3.0
	// urgentBound and ordinaryBound: requests above them are refused and not sent to servers that do not know the
	// object. Those would take coldCost times longer and forget objects of their own, until nothing is where it is
	// known. Less urgent requests stop earlier, so that the room that is left goes to the urgent ones.
	urgentBound   = coldCost + 0.5
	ordinaryBound = coldCost - 0.5
	// queueingBound: below it the first choice has a free slot, and a second server that learns the object would forget
	// another one.
	queueingBound = 1.3
	// avoidedShare: when more servers fail, the others would drown in the load of all.
	avoidedShare = 0.34
)

// DefaultPolicy returns the policy that entry VMs use.
func DefaultPolicy() Policy {
	return Policy{
		WarmChoices:   warmChoices,
		UrgentBound:   urgentBound,
		OrdinaryBound: ordinaryBound,
		QueueingBound: queueingBound,
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
