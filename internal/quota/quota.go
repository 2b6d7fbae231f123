// Package quota keeps each team's use. It has one writer, the leader, which
// charges a task when it releases it and uncharges it once it is truly gone.
package quota

import (
	"maps"
	"math"
)

// Amount is what teams are measured in.
type Amount struct {
	Cores, Accelerators float64
}

// Add adds n times o.
func (a Amount) Add(o Amount, n float64) Amount {
	return Amount{a.Cores + n*o.Cores, a.Accelerators + n*o.Accelerators}
}

// Team is a team's guarantee and limit. A maximum of 0 means no cap.
type Team struct {
	Name       string
	Guaranteed Amount
	Max        Amount
}

const slack = 1e-6

// Allows tells whether a total use of want is inside the team's maximum.
func (t Team) Allows(want Amount) bool {
	return inside(want.Cores, t.Max.Cores) && inside(want.Accelerators, t.Max.Accelerators)
}

// More is how many more tasks of amount each, up to most, a team may have on top
// of what it uses.
func (t Team) More(used, each Amount, most int) int {
	for _, r := range [][3]float64{{used.Cores, each.Cores, t.Max.Cores}, {used.Accelerators, each.Accelerators, t.Max.Accelerators}} {
		switch now, one, limit := r[0], r[1], r[2]; {
		case limit == 0:
		case now > limit+slack:
			return 0
		case one > 0:
			most = min(most, int(math.Floor((limit+slack-now)/one)))
		}
	}
	return max(most, 0)
}

// Guarantees tells whether a total use of want is inside the team's guarantee.
// A guarantee of 0 in one resource says nothing about it while the other
// resource has one.
func (t Team) Guarantees(want Amount) bool {
	if t.Guaranteed == (Amount{}) {
		return false
	}
	return inside(want.Cores, t.Guaranteed.Cores) && inside(want.Accelerators, t.Guaranteed.Accelerators)
}

func inside(want, limit float64) bool { return limit == 0 || want <= limit+slack }

// Account is the use of all teams.
type Account struct {
	used map[string]Amount
}

// NewAccount makes an empty account.
func NewAccount() *Account { return &Account{used: map[string]Amount{}} }

// Charge books n tasks of amount a; n may be negative.
func (c *Account) Charge(team string, a Amount, n float64) {
	c.used[team] = c.used[team].Add(a, n)
}

// Clone copies the account, to charge in it what is only being considered.
func (c *Account) Clone() *Account { return &Account{used: maps.Clone(c.used)} }

// Used is a team's present use.
func (c *Account) Used(team string) Amount { return c.used[team] }
