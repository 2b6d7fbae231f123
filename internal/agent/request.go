package agent

import (
	"sync/atomic"
	"time"
)

// Request is an HTTP request of a controller to a machine's agent.
type Request struct {
	Endpoint string
	Method   string
	Target   string
	Body     []byte
	Timeout  time.Duration
	Permit   *Permit // nil if the request may be sent at any time
}

// Permit is the right to send a request. It is checked again right before the request is written,
// since opening a connection, or a pause of the process, may take longer than the permit lasts. It is
// safe for concurrent use.
type Permit struct {
	until   time.Time
	revoked atomic.Bool
}

// NewPermit returns a permit that ends at the given time, unless it is revoked before.
func NewPermit(until time.Time) *Permit { return &Permit{until: until} }

// Revoke ends the permit at once.
func (p *Permit) Revoke() { p.revoked.Store(true) }

// Valid reports whether the request may be sent now. No permit (nil) is always valid.
func (p *Permit) Valid(now time.Time) bool {
	return p == nil || !p.revoked.Load() && now.Before(p.until)
}
