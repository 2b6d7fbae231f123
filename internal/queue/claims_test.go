package queue

import (
	"fmt"
	"slices"
	"testing"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/quota"
)

// Claims of up to 4,000 machines, by one gang or several, are written in one transaction each,
// stored unchanged, and removed completely. A claim that does not fit in a transaction is refused,
// and no part of it is stored.
func TestClaimsOf4000MachinesAreStoredCompletely(t *testing.T) {
	machines := func(from, to, width int) []string {
		var out []string
		for i := from; i < to; i++ {
			out = append(out, fmt.Sprintf("i-%0*d", width, i))
		}
		return out
	}
	for _, c := range []struct {
		name   string
		gangs  [][]string
		held   int // number of gangs whose claims are held
		values int
	}{
		{
			name:   "one small gang",
			gangs:  [][]string{machines(0, 100, 6)},
			held:   1,
			values: 1,
		},
		{
			name:   "as many machines as one value holds",
			gangs:  [][]string{machines(0, 742, 6)},
			held:   1,
			values: 1,
		},
		{
			name:   "more machines than one value holds",
			gangs:  [][]string{machines(0, 744, 6)},
			held:   1,
			values: 2,
		},
		{
			name:   "one gang on 4000 machines",
			gangs:  [][]string{machines(0, 4000, 6)},
			held:   1,
			values: 6,
		},
		{
			name:   "three gangs on a third of the machines each",
			gangs:  [][]string{machines(0, 1333, 6), machines(1333, 2666, 6), machines(2666, 4000, 6)},
			held:   3,
			values: 6,
		},
		{
			name:   "one gang on 4000 machines, names of 12 bytes",
			gangs:  [][]string{machines(0, 4000, 10)},
			held:   1,
			values: 8,
		},
		{
			name:   "names too long for one transaction are refused",
			gangs:  [][]string{machines(0, 200, 6), machines(200, 4000, 140)},
			held:   1,
			values: 1,
		},
	} {
		t.Run(c.name, func(t *testing.T) { checkClaims(t, c.gangs, c.held, c.values) })
	}
}

// checkClaims claims machines for gangs and then drops the claims. It expects that the first
// wantHeld gangs get their machines, and that the claims take wantValues values in the store.
func checkClaims(t *testing.T, gangs [][]string, wantHeld, wantValues int) {
	t.Helper()
	q := newTestQueue(t, map[string]quota.Team{"t": {Name: "t"}})
	held := 0
	for i, gang := range gangs {
		jobID := fmt.Sprintf("wk-%06d", i)
		q.claimMachines(jobID, gang, func(ok bool) {
			if !ok {
				return
			}
			held++
			if !slices.Equal(q.state.MachineClaims[jobID], gang) {
				t.Errorf("%d machines are claimed, want those of the gang", len(q.state.MachineClaims[jobID]))
			}
		})
	}
	if held != wantHeld || len(q.claimValues) != wantValues {
		t.Errorf("claims of %d gangs are held, in %d values", held, len(q.claimValues))
	}
	machines := 0
	for _, gang := range gangs[:wantHeld] {
		machines += len(gang)
	}
	if len(q.state.ClaimedBy) != machines {
		t.Errorf("%d machines are claimed, want %d", len(q.state.ClaimedBy), machines)
	}
	for _, decision := range q.committed {
		if len(decision.Writes) == 0 || decision.Writes[0].Put != "claims" {
			t.Errorf("claim does not write the first value, whose revision is the precondition: %v", decision.Writes)
		}
	}
	clear(q.claims)
	if q.ReconcileClaims(); len(q.claimValues) != 0 || len(q.state.ClaimedBy) != 0 {
		t.Errorf("%d values and %d claimed machines are left after the claims were dropped",
			len(q.claimValues), len(q.state.ClaimedBy))
	}
}

// A leader of the previous version writes only the first value. The other values are then ignored,
// and the next write removes them. Such a leader reads the first value of a larger claim as a claim
// of fewer machines.
func TestClaimsWithLeaderOfPreviousVersion(t *testing.T) {
	q := newTestQueue(t, map[string]quota.Team{"t": {Name: "t"}})
	var gang []string
	for i := range 2000 {
		gang = append(gang, fmt.Sprintf("i-%06d", i))
	}
	q.claimMachines("wk-000001", gang, func(bool) {})
	decoded, err := fleet.DecodeClaims(q.committed[0].Writes[0].Value)
	if err != nil || len(decoded) != 2 || len(decoded["wk-000001"]) < 500 ||
		!slices.Equal(decoded["more"], []string{"2", "3"}) {
		t.Errorf("first value holds %d machines, more: %v, error: %v", len(decoded["wk-000001"]), decoded["more"], err)
	}
	clear(q.claims)
	err = q.ApplyClaims("claims", []byte(`{"wk-000002":["i-1"]}`))
	if err != nil || len(q.state.ClaimedBy) != 1 || len(q.claimValues) != 3 {
		t.Errorf("%d machines claimed, %d values, error: %v", len(q.state.ClaimedBy), len(q.claimValues), err)
	}
	if q.ReconcileClaims(); len(q.claimValues) != 0 {
		t.Errorf("%d values are left after the next write", len(q.claimValues))
	}
	if q.ApplyClaims("claims", []byte("7")) == nil || len(q.state.ClaimedBy) != 0 {
		t.Error("a value that is not valid claims was accepted")
	}
}
