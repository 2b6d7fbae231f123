package members

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Complaints records, by owner and machine, agents that contacted another member although they had
// been redirected to the owner of their machine.
type Complaints map[string]map[string]*complaint

type complaint struct {
	first, last time.Time
	local       bool // the agent contacted this member
}

// Add records a complaint. local is set if the agent contacted this member, and not set if a peer
// reported the complaint.
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

// Local lists the machines whose agents recently complained to this member, as many as fit into one
// gossip message to its peers.
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

// listedBytes returns the size of a name as an element of a JSON list, including the comma.
func listedBytes(name string) int {
	text, err := json.Marshal(name)
	if err != nil {
		return len(name)
	}
	return len(text) + 1
}

// PersistentByOwner counts, by owner, the machines that cannot reach their owner. It drops
// complaints that have stopped and those whose machine has another owner by now. unresponsive
// reports whether the owner itself says that it receives no heartbeats from a machine.
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

// persistent reports whether a machine cannot reach its owner: either its agent has kept
// complaining for long enough, or the owner still reports the machine as unresponsive after the
// agent was redirected to it. An agent waits 4 s for an owner that does not answer before it
// complains, and again after each complaint. Where leases are short, a second complaint would come
// too late to save the lease.
func (c *complaint) persistent(now time.Time, unresponsive func() bool) bool {
	if c.last.Sub(c.first) >= tuning.UnreachableOwnerAfter {
		return true
	}
	return now.Sub(c.last) >= tuning.UnresponsiveRetryAfter && unresponsive()
}
