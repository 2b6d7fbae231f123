package queue

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// claim is the set of machines claimed for one gang while the leader places it. It is pending until
// the store holds the claim, and then held until the records of the gang's tasks are settled.
type claim struct {
	machines     []string
	onSettled    func(ok bool) // called once it is known whether the store holds the claim
	writePending bool          // a write of the claim is in flight
	held         bool
}

// HasClaim reports whether this leader is claiming or holding machines for a gang.
func (q *Queue) HasClaim(jobID string) bool { return q.claims[jobID] != nil }

// claimMachines claims machines for a gang. From now on nothing else is released to them. onSettled
// is called at most once, possibly before claimMachines returns.
func (q *Queue) claimMachines(jobID string, machines []string, onSettled func(ok bool)) {
	q.claims[jobID] = &claim{machines: machines, onSettled: onSettled}
	q.ReconcileClaims()
}

// claimPending reports whether this leader is claiming a machine for a gang. The store may not hold
// the claim yet.
func (q *Queue) claimPending(machineName string) bool {
	for _, c := range q.claims {
		if slices.Contains(c.machines, machineName) {
			return true
		}
	}
	return false
}

// ReconcileClaims writes the claims of this leader to the store. The first write also removes the
// claims that an earlier leader left. Only one write is in flight at a time.
func (q *Queue) ReconcileClaims() {
	want := fleet.Claims{}
	for jobID, c := range q.claims {
		want[jobID] = c.machines
	}
	if q.commits.Busy(fleet.ClaimsKey) {
		return
	}
	if maps.EqualFunc(want, q.state.MachineClaims, slices.Equal[[]string]) {
		q.settleClaims(true, func(c *claim) bool { return !c.held }) // left by an earlier leader
		return
	}
	writes := q.claimWrites(want)
	if writes == nil {
		// The claims do not fit in one transaction. Those that are not held yet are dropped, and
		// their gangs are examined again.
		q.settleClaims(false, func(c *claim) bool { return !c.held && !c.writePending })
		return
	}
	for _, c := range q.claims {
		c.writePending = true
	}
	q.commits.Commit([]decide.Decision{{Writes: writes, Urgent: true, OnSettled: func(ok bool) {
		q.settleClaims(ok, func(c *claim) bool { return !c.held && c.writePending })
	}}})
}

// claimWrites returns the writes that replace the claims in the store with want, or nil if they do
// not fit in one transaction.
func (q *Queue) claimWrites(want fleet.Claims) []store.Write {
	var writes []store.Write
	values := want.Divide(q.config.MaxValueBytes)
	bytes := 0
	for i, value := range values {
		w := decide.Put(fleet.ClaimsKeyOf(i+1), value)
		if len(want) == 0 {
			w = decide.Remove(fleet.ClaimsKey)
		}
		if bytes += len(w.Value); len(w.Value) > q.config.MaxValueBytes {
			return nil
		}
		writes = append(writes, w)
	}
	if len(writes) > q.config.MaxTxnWrites || len(writes) > 1 && bytes > tuning.MaxClaimBytes {
		return nil
	}
	// Values that are no longer needed are removed in the same transaction as far as they fit.
	// Those left over are ignored, because the first value does not refer to them.
	for _, number := range slices.Sorted(maps.Keys(q.claimValues)) {
		if number > len(values) && len(writes) < q.config.MaxTxnWrites {
			writes = append(writes, decide.Remove(fleet.ClaimsKeyOf(number)))
		}
	}
	return writes
}

// ApplyClaims applies one of the values that hold the claims; nil removes it. It returns an error
// for a value that cannot be decoded. Such a value is ignored entirely, and the leader rewrites it.
func (q *Queue) ApplyClaims(key string, value json.RawMessage) error {
	claims, err := fleet.DecodeClaims(value)
	if value == nil {
		delete(q.claimValues, fleet.ClaimsNumber(key))
	} else {
		q.claimValues[fleet.ClaimsNumber(key)] = claims
	}
	q.state.MachineClaims = fleet.JoinClaims(q.claimValues)
	q.state.ClaimedBy = q.state.MachineClaims.ByMachine()
	return err
}

// settleClaims settles all claims for which matches returns true: they are held if ok is true, and
// dropped otherwise. It calls their onSettled functions.
func (q *Queue) settleClaims(ok bool, matches func(*claim) bool) {
	for _, jobID := range clusterstate.SortedKeys(q.claims) {
		c := q.claims[jobID]
		if c == nil || !matches(c) {
			continue
		}
		if c.writePending = false; ok {
			c.held = true
		} else {
			delete(q.claims, jobID)
		}
		c.onSettled(ok)
	}
}

// ClaimedFor returns the ID of the job that a machine is claimed for, or "" if there is none.
// Earlier versions kept the claim in the machine record.
func (q *Queue) ClaimedFor(m *clusterstate.Machine) string {
	if m.Claim != "" {
		return m.Claim
	}
	return q.state.ClaimedBy[m.Name]
}

// DropLegacyClaims removes claims that a leader of an earlier version left in machine records.
func (q *Queue) DropLegacyClaims() {
	var decisions []decide.Decision
	for _, m := range q.state.MachinesByName() {
		if m.Claim != "" {
			record := m.MachineRecord
			record.Claim = ""
			decisions = append(decisions, decide.Decision{Writes: []store.Write{decide.Put(fleet.MachinePrefix+m.Name, record)}})
		}
	}
	q.commits.Commit(decisions)
}
