package queue

import (
	"fmt"
	"slices"
	"testing"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/quota"
)

// Gangs may claim 4,000 machines, one all of them or several their shares; each claim is
// one transaction, is held as it was made, and is dropped whole. What no transaction can hold is
// refused, and nothing is claimed in part.
func TestClaimsOf4000MachinesAreHeldWhole(t *testing.T) {
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
		held   int // gangs
		values int
	}{
		{
			name:   "one small gang",
			gangs:  [][]string{machines(0, 100, 6)},
			held:   1,
			values: 1,
		},
		{
			name:   "as many as one value holds",
			gangs:  [][]string{machines(0, 742, 6)},
			held:   1,
			values: 1,
		},
		{
			name:   "more than one value holds",
			gangs:  [][]string{machines(0, 744, 6)},
			held:   1,
			values: 2,
		},
		{
			name:   "one gang of 4000",
			gangs:  [][]string{machines(0, 4000, 6)},
			held:   1,
			values: 6,
		},
		{
			name:   "three gangs of a third",
			gangs:  [][]string{machines(0, 1333, 6), machines(1333, 2666, 6), machines(2666, 4000, 6)},
			held:   3,
			values: 6,
		},
		{
			name:   "one gang of 4000, names of 12 bytes",
			gangs:  [][]string{machines(0, 4000, 10)},
			held:   1,
			values: 8,
		},
		{
			name:   "long names that no transaction holds are refused",
			gangs:  [][]string{machines(0, 200, 6), machines(200, 4000, 140)},
			held:   1,
			values: 1,
		},
	} {
		t.Run(c.name, func(t *testing.T) { checkClaims(t, c.gangs, c.held, c.values) })
	}
}

// checkClaims claims machines for gangs, of which the first wantHeld must get theirs, in wantValues
// values, and then lets go of them.
func checkClaims(t *testing.T, gangs [][]string, wantHeld, wantValues int) {
	t.Helper()
	d := newTestQueue(t, map[string]quota.Team{"t": {Name: "t"}})
	held := 0
	for i, gang := range gangs {
		jobID := fmt.Sprintf("wk-%06d", i)
		d.claimMachines(jobID, gang, func(ok bool) {
			if !ok {
				return
			}
			held++
			if !slices.Equal(d.state.MachineClaims[jobID], gang) {
				t.Errorf("%d machines are claimed", len(d.state.MachineClaims[jobID]))
			}
		})
	}
	if held != wantHeld || len(d.claimValues) != wantValues {
		t.Errorf("%d gangs hold their machines, in %d values", held, len(d.claimValues))
	}
	machines := 0
	for _, gang := range gangs[:wantHeld] {
		machines += len(gang)
	}
	if len(d.state.ClaimedBy) != machines {
		t.Errorf("%d machines are claimed, not %d", len(d.state.ClaimedBy), machines)
	}
	for _, decision := range d.committed {
		if len(decision.Writes) == 0 || decision.Writes[0].Put != "claims" {
			t.Errorf("a claim without the first value, whose revision is the precondition: %v", decision.Writes)
		}
	}
	clear(d.claims)
	if d.ReconcileClaims(); len(d.claimValues) != 0 || len(d.state.ClaimedBy) != 0 {
		t.Errorf("%d values and %d machines are left", len(d.claimValues), len(d.state.ClaimedBy))
	}
}

// A leader of the former version writes the first value alone: the others count for nothing,
// and go with the next write. Its reading of the first is that of a shorter claim.
func TestClaimsWithLeaderOfFormerVersion(t *testing.T) {
	d := newTestQueue(t, map[string]quota.Team{"t": {Name: "t"}})
	var gang []string
	for i := range 2000 {
		gang = append(gang, fmt.Sprintf("i-%06d", i))
	}
	d.claimMachines("wk-000001", gang, func(bool) {})
	former, err := fleet.DecodeClaims(d.committed[0].Writes[0].Value)
	if err != nil || len(former) != 2 || len(former["wk-000001"]) < 500 ||
		!slices.Equal(former["more"], []string{"2", "3"}) {
		t.Errorf("%d machines, more %v, %v", len(former["wk-000001"]), former["more"], err)
	}
	clear(d.claims)
	err = d.ApplyClaims("claims", []byte(`{"wk-000002":["i-1"]}`))
	if err != nil || len(d.state.ClaimedBy) != 1 || len(d.claimValues) != 3 {
		t.Errorf("%d machines claimed, %d values, %v", len(d.state.ClaimedBy), len(d.claimValues), err)
	}
	if d.ReconcileClaims(); len(d.claimValues) != 0 {
		t.Errorf("%d values are left", len(d.claimValues))
	}
	if d.ApplyClaims("claims", []byte("7")) == nil || len(d.state.ClaimedBy) != 0 {
		t.Error("a value that is no claims was read")
	}
}
