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
	here        bool // the worker came to this member
}

// Note enters a complaint; here tells that the worker came to this member and
// that it was not heard of from a peer.
func (c Complaints) Note(owner, host string, here bool, now time.Time) {
	if c[owner] == nil {
		c[owner] = map[string]*complaint{}
	}
	v := c[owner][host]
	if v == nil || now.Sub(v.last) > tuning.ComplaintGap {
		v = &complaint{first: now}
		c[owner][host] = v
	}
	v.last = now
	v.here = v.here || here
}

// Here lists machines whose workers lately came here in vain, for the peers.
func (c Complaints) Here(now time.Time) []string {
	var out []string
	room := tuning.MaxUnreachedBytes
	for _, owner := range slices.Sorted(maps.Keys(c)) {
		for _, host := range slices.Sorted(maps.Keys(c[owner])) {
			v := c[owner][host]
			if !v.here || now.Sub(v.last) >= tuning.PeerBeat {
				continue
			}
			if room -= listedBytes(host); room < 0 || len(out) >= tuning.MaxUnreached {
				return out
			}
			out = append(out, host)
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

// Lasting counts by owner the machines that are out of its reach: they have complained for
// long, or the owner itself tells that it does not hear them (quiet) though they were sent
// there again. A worker waits 4 s for an owner that does not answer before it complains,
// and once more after each complaint: where leases are short, a second complaint comes too
// late to save it. Those that stopped, or have another owner by now, are dropped.
func (c Complaints) Lasting(now time.Time, ownerOf func(host string) string, quiet func(owner, host string) bool) map[string]int {
	out := map[string]int{}
	for owner, hosts := range c {
		for h, v := range hosts {
			switch {
			case now.Sub(v.last) > tuning.ComplaintGap || ownerOf(h) != owner:
				delete(hosts, h)
			case v.last.Sub(v.first) >= tuning.SilentOwner, now.Sub(v.last) >= tuning.QuietVisit && quiet(owner, h):
				out[owner]++
			}
		}
	}
	return out
}
