package members

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Complaints are the reports by agents that came to another member although they were sent to
// the owner of their machine, by owner and machine.
type Complaints map[string]map[string]*complaint

type complaint struct {
	first, last time.Time
	local       bool // the agent came to this member
}

// Add records a complaint; local tells that the agent came to this member, rather than that a
// peer reported it.
func (c Complaints) Add(owner, machine string, local bool, now time.Time) {
	if c[owner] == nil {
		c[owner] = map[string]*complaint{}
	}
	entry := c[owner][machine]
	if entry == nil || now.Sub(entry.last) > tuning.ComplaintGap {
		entry = &complaint{first: now}
		c[owner][machine] = entry
	}
	entry.last = now
	entry.local = entry.local || local
}

// Local lists machines whose agents recently complained to this member, for its peers: as many
// as one gossip line takes.
func (c Complaints) Local(now time.Time) []string {
	var out []string
	bytesLeft := tuning.MaxUnreachedBytes
	for _, owner := range slices.Sorted(maps.Keys(c)) {
		for _, machine := range slices.Sorted(maps.Keys(c[owner])) {
			entry := c[owner][machine]
			if !entry.local || now.Sub(entry.last) >= tuning.GossipEvery {
				continue
			}
			if bytesLeft -= listedBytes(machine); bytesLeft < 0 || len(out) >= tuning.MaxUnreached {
				return out
			}
			out = append(out, machine)
		}
	}
	return out
}

// listedBytes returns how many bytes a name takes in a list in JSON, with its comma.
func listedBytes(name string) int {
	text, err := json.Marshal(name)
	if err != nil {
		return len(name)
	}
	return len(text) + 1
}

// PersistentByOwner counts by owner the machines that cannot reach it. Complaints that stopped,
// or whose machine has another owner by now, are dropped. unresponsive tells whether the owner
// itself reports that it receives no heartbeats of a machine.
func (c Complaints) PersistentByOwner(
	now time.Time,
	ownerOf func(machine string) string,
	unresponsive func(owner, machine string) bool,
) map[string]int {
	out := map[string]int{}
	for owner, machines := range c {
		for machine, entry := range machines {
			if now.Sub(entry.last) > tuning.ComplaintGap || ownerOf(machine) != owner {
				delete(machines, machine)
				continue
			}
			if entry.persistent(now, func() bool { return unresponsive(owner, machine) }) {
				out[owner]++
			}
		}
	}
	return out
}

// persistent reports whether a machine cannot reach its owner: it has complained for long, or the
// owner itself reports it unresponsive though its agent was sent there again. An agent waits 4 s for an
// owner that does not answer before it complains, and once more after each complaint: where
// leases are short, a second complaint comes too late to save its lease.
func (c *complaint) persistent(now time.Time, unresponsive func() bool) bool {
	if c.last.Sub(c.first) >= tuning.UnreachableOwnerAfter {
		return true
	}
	return now.Sub(c.last) >= tuning.UnresponsiveRetryAfter && unresponsive()
}
