package admission

import (
	"fmt"

	"oleandervane.example"
)

// Reasons why a request is shed, without having been run. All wrap oleandervane.ErrShed. They are shared values, so
// that shedding does not allocate.
var (
	ErrQueueFull  = fmt.Errorf("the queue is full of requests of the same or a larger weight: %w", oleandervane.ErrShed)
	ErrOutweighed = fmt.Errorf("a request of a larger weight took the place in the queue: %w", oleandervane.ErrShed)
	ErrTooLate    = fmt.Errorf("the request cannot be answered before its deadline: %w", oleandervane.ErrShed)
	ErrNoLimit    = fmt.Errorf("this entry VM may use no slot of the service: %w", oleandervane.ErrShed)
)
