package harness

import (
	"sync"
	"time"
)

// Times of the load balancer (PROTOCOL, Users).
const (
	probeEvery   = time.Second
	probeTimeout = time.Second
	firstPause   = 3 * time.Second
	longestPause = 60 * time.Second
	pauseGrowsIn = 2 * time.Minute // a further removal within this time doubles the pause
)

// Balancer probes the controllers like the load balancer and tells which are healthy.
type Balancer struct {
	mu      sync.Mutex
	healthy []bool
	since   time.Time     // since when no controller has been healthy; zero while one is
	longest time.Duration // the longest time without a healthy controller
}

// Balance probes all controllers until stop is closed.
func (w *World) Balance(stop <-chan struct{}) *Balancer {
	b := &Balancer{healthy: make([]bool, len(w.Controllers))}
	for i := range w.Controllers {
		go w.probe(b, i, stop)
	}
	return b
}

// health is what the load balancer knows of one node.
type health struct {
	healthy, ever bool
	last          []bool // the latest results, the newest first
	removedAt     time.Time
	pause         time.Duration // from the removal until the node may be healthy again
}

// probe probes one controller.
func (w *World) probe(b *Balancer, i int, stop <-chan struct{}) {
	h := health{pause: firstPause}
	tick := time.NewTicker(probeEvery)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		status, _, err := w.Call(i, "GET", "/up", nil, probeTimeout, Fault{})
		if h.observe(err == nil && status == 200, time.Now()) {
			w.Note("load balancer: %s healthy: %v", w.Controllers[i].Name, h.healthy)
		}
		b.set(i, h.healthy)
	}
}

// observe takes in the result of a probe and reports whether the node's health changed.
func (h *health) observe(ok bool, now time.Time) bool {
	h.last = append([]bool{ok}, h.last...)
	h.last = h.last[:min(len(h.last), 6)]
	failures := 0
	for _, result := range h.last {
		if !result {
			failures++
		}
	}
	twice := len(h.last) > 1 && h.last[1] == ok
	switch {
	case h.healthy && !ok && (twice || failures >= 3):
		h.pause = min(2*h.pause, longestPause)
		if h.removedAt.IsZero() || now.Sub(h.removedAt) > pauseGrowsIn {
			h.pause = firstPause
		}
		h.healthy, h.removedAt = false, now
		return true
	case !h.healthy && ok && (!h.ever || twice && now.Sub(h.removedAt) >= h.pause):
		h.healthy, h.ever = true, true
		return true
	}
	return false
}

func (b *Balancer) set(i int, healthy bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.healthy[i] = healthy
	now := time.Now()
	for _, h := range b.healthy {
		if h {
			b.since = time.Time{}
			return
		}
	}
	if b.since.IsZero() {
		b.since = now
	}
	b.longest = max(b.longest, now.Sub(b.since))
}

// Healthy reports whether a controller is healthy.
func (b *Balancer) Healthy(i int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.healthy[i]
}

// Choose returns a healthy controller, any if there is none; n spreads the choices.
func (b *Balancer) Choose(n int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	for k := range b.healthy {
		if i := (n + k) % len(b.healthy); b.healthy[i] {
			return i
		}
	}
	return n % len(b.healthy)
}

// LongestWithout returns the longest time for which no controller was healthy.
func (b *Balancer) LongestWithout() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.longest
}
