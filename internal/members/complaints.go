package members

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Complaints are reports by workers that came to another member although they
// were sent to their owner: owner to machine.
type Complaints map[string]map[string]*complaint

type complaint struct {
	first, last time.Time
	local       bool // the worker came to this member
}

// Add enters a complaint; here tells that the worker came to this member and
// that it was not heard of from a peer.
func (c Complaints) Add(owner, machine string, here bool, now time.Time) {
	if c[owner] == nil {
		c[owner] = map[string]*complaint{}
	}
	v := c[owner][machine]
	if v == nil || now.Sub(v.last) > tuning.ComplaintGap {
		v = &complaint{first: now}
		c[owner][machine] = v
	}
	v.last = now
	v.local = v.local || here
}

// Local lists machines whose workers lately came here in vain, for the peers.
func (c Complaints) Local(now time.Time) []string {
	var out []string
	room := tuning.MaxUnreachedBytes
	for _, owner := range slices.Sorted(maps.Keys(c)) {
		for _, machine := range slices.Sorted(maps.Keys(c[owner])) {
			v := c[owner][machine]
			if !v.local || now.Sub(v.last) >= tuning.GossipEvery {
				continue
			}
			if room -= listedBytes(machine); room < 0 || len(out) >= tuning.MaxUnreached {
				return out
			}
			out = append(out, machine)
		}
	}
	return out
}

// listedBytes is what a name takes of a list in JSON, comma and all.
func listedBytes(name string) int {
	text, err := json.Marshal(name)
	if err != nil {
		return len(name)
	}
	return len(text) + 1
}

// PersistentByOwner counts by owner the machines that are out of its reach: they have complained for
// long, or the owner itself tells that it does not hear them (quiet) though they were sent
// there again. A worker waits 4 s for an owner that does not answer before it complains,
// and once more after each complaint: where leases are short, a second complaint comes too
// late to save it. Those that stopped, or have another owner by now, are dropped.
func (c Complaints) PersistentByOwner(now time.Time, ownerOf func(machine string) string, unresponsive func(owner, machine string) bool) map[string]int {
	out := map[string]int{}
	for owner, machines := range c {
		for h, v := range machines {
			switch {
			case now.Sub(v.last) > tuning.ComplaintGap || ownerOf(h) != owner:
				delete(machines, h)
			case v.last.Sub(v.first) >= tuning.UnreachableOwnerAfter, now.Sub(v.last) >= tuning.UnresponsiveRetryAfter && unresponsive(owner, h):
				out[owner]++
			}
		}
	}
	return out
}
