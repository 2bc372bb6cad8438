package account

const (
	// bytesShare is the part of a VM's memory that connections, headers, requests and responses of callers may take.
	bytesShare = 0.25
	// responseShare is the part that buffered beginnings of large responses may take in addition. It holds 27 of 256 KiB at the
	// smallest VM.
	responseShare = 0.05
	// totalShare is the part that they may take together with request bodies, which alone may take 0.55.
	totalShare = 0.6
	// smallBytesShare is the part of the directory and of the readiness each.
	smallBytesShare = 0.02
	// The parts of the descriptors. What is left, 0.14, is for idle connections to backend servers, the store and other VMs.
	callerDescriptorShare    = 0.5
	requestShare             = 0.2
	directoryDescriptorShare = 0.125
	readinessDescriptorShare = 0.03
)

// Limits are the limits of an account.
type Limits struct {
	// Connections are the most connections of each listener, Bytes the most memory that each may take.
	Connections [listenerCount]int
	Bytes       [listenerCount]int64
	// TotalBytes is the most memory that callers may take together with request bodies.
	TotalBytes int64
	// ResponseBytes is the most memory that buffered responses may take.
	ResponseBytes int64
	// Requests are the most requests that are served at a time. Each takes the descriptor of a connection to a backend server.
	Requests int
}

// NewLimits returns the limits of a VM with a memory in bytes and a number of descriptors.
func NewLimits(memory int64, descriptors int) Limits {
	part := func(share float64) int { return max(1, int(share*float64(descriptors))) }
	bytes := func(share float64) int64 { return int64(share * float64(memory)) }
	return Limits{
		Connections:   [listenerCount]int{part(callerDescriptorShare), part(directoryDescriptorShare), part(readinessDescriptorShare)},
		Bytes:         [listenerCount]int64{bytes(bytesShare), bytes(smallBytesShare), bytes(smallBytesShare)},
		TotalBytes:    bytes(totalShare),
		ResponseBytes: bytes(responseShare),
		Requests:      part(requestShare),
	}
}
