package cancellation

import (
	"encoding/json"
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
	"github.com/harrierreel/harrierreel/internal/workers"
)

// Courier brings the stops of what this process has told to the machines of owners that
// have not confirmed it. A worker executes a command under the token that it shows, from
// any controller, and a stop of a cancelled task is safe under every token: it changes
// nothing that its owner decides, who frees the place by the worker's own report.
type Courier struct {
	open  []delivery // oldest first
	hosts map[string]*visit
	calls int
	next  time.Time
}

// delivery is a told cancellation that may still need this process's help.
type delivery struct {
	uid  string
	seq  uint64 // of its entry in the log
	told time.Time
}

// visit is where the courier stands with one machine.
type visit struct {
	state visitState
	next  time.Time // not before
}

// visitState names the step of a visit.
type visitState string

// States of a visit.
const (
	resting  visitState = "resting"  // until its time
	showing  visitState = "showing"  // asked for token, session and tasks
	stopping visitState = "stopping" // stops are under way
)

// begin enters what was told.
func (c *Courier) begin(uid string, seq uint64, now time.Time) {
	c.open = append(c.open, delivery{uid, seq, now})
}

// deliver looks which machines hold tasks of what was told, whose owners have not confirmed
// it, and visits them.
func (s *Service) deliver() {
	c := &s.courier
	if len(c.open) == 0 || s.Now.Before(c.next) {
		return
	}
	c.next = s.Now.Add(tuning.CourierLook)
	rest := c.open[:0]
	for _, d := range c.open {
		age := s.Now.Sub(d.told)
		if age > s.CancelFor {
			continue // by now the leases have ended it
		}
		if !s.confirmedByAll(d.seq) {
			rest = append(rest, d)
			if age >= tuning.CourierAfter {
				s.visitHosts(d)
			}
		}
	}
	clear(c.open[len(rest):])
	c.open = rest
	for host, v := range c.hosts {
		if v.state == resting && s.Now.Sub(v.next) > s.CancelFor {
			delete(c.hosts, host)
		}
	}
}

// visitHosts visits the machines that hold a job's tasks, of owners that have not
// confirmed that it is cancelled.
func (s *Service) visitHosts(d delivery) {
	j := s.Jobs[d.uid]
	if j == nil {
		return
	}
	for _, t := range j.Active {
		owner := s.OwnerOf(t.Host)
		if !t.On() || owner == s.Me || s.confirmed(owner, d.seq) {
			continue
		}
		if m := s.Machines[t.Host]; m != nil && m.Endpoint != "" {
			s.visit(t.Host, m.Endpoint)
		}
	}
}

// visit asks a machine what it holds, and has it stop what is cancelled.
func (s *Service) visit(host, endpoint string) {
	c := &s.courier
	v := c.hosts[host]
	if v == nil {
		if c.hosts == nil {
			c.hosts = map[string]*visit{}
		}
		v = &visit{state: resting}
		c.hosts[host] = v
	}
	if v.state != resting || s.Now.Before(v.next) || c.calls >= tuning.CourierCalls {
		return
	}
	v.state = showing
	rest := func(pause time.Duration) { v.state, v.next = resting, s.Now.Add(pause) }
	c.calls++
	s.Call(endpoint, "GET", "/show", nil, tuning.CommandTimeout, func(status int, answer []byte, err error) {
		c.calls--
		var r workers.Report
		if err != nil || status != 200 || json.Unmarshal(answer, &r) != nil || r.Host != host {
			rest(tuning.CourierAgain)
			return
		}
		orders := StopsFor(r.Pieces, func(uid string) bool { return s.log.known[uid] || s.Cancelled(uid) })
		if len(orders) == 0 {
			rest(tuning.CourierClean) // a launch may be on its way still
			return
		}
		v.state = stopping
		c.calls++
		s.Delivered += len(orders)
		s.Call(endpoint, "POST", "/commands", workers.Commands(r.Baton, r.Tenure, orders), tuning.CommandTimeout, func(int, []byte, error) {
			c.calls--
			rest(tuning.CourierAgain)
		})
	})
}

// StopsFor is a stop at once for each reported task that is not ended and whose job is
// cancelled.
func StopsFor(pieces []workers.Piece, cancelled func(uid string) bool) []workers.Order {
	var out []workers.Order
	for _, p := range pieces {
		if p.Status == workers.Ended || len(out) >= tuning.MaxOrders {
			continue
		}
		if uid, _, ok := jobs.SplitPiece(p.Piece); ok && cancelled(uid) {
			zero := 0.0
			out = append(out, workers.Order{Verb: workers.Stop, Piece: p.Piece, Try: p.Try, WindDownS: &zero})
		}
	}
	return out
}
