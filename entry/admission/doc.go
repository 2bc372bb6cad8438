// Package admission decides whether and in what order requests may start on this entry VM. Each service has a
// concurrency limit and a bounded queue, from which requests are shed by weight and by deadline.
package admission
