// Package quota keeps what each team uses against a tree of guarantees and
// limits: organisations, the platform's teams, job classes. It has one writer, the
// leader, which charges a task when it releases it and uncharges it once it is
// truly gone.
package quota

import (
	"fmt"
	"math"
	"strings"
)

// unit is the smallest amount that counts: amounts are whole numbers of it, so
// that a million charges and their ends add up to nothing exactly.
const unit = 1e-6

// maxAmount bounds one task's amount, far above any machine: a thousand million of
// them still add up without overflow.
const maxAmount = 1e9

// Amount is what teams are measured in, in millionths of a core, an accelerator
// and a GB of memory.
type Amount struct {
	Cores, Accelerators, MemoryGB int64
}

// Of makes an amount of cores, accelerators and GB.
func Of(cores, accelerators, memoryGB float64) Amount {
	return Amount{units(cores), units(accelerators), units(memoryGB)}
}

func units(v float64) int64 {
	if math.IsNaN(v) {
		return 0
	}
	return int64(math.Round(min(max(v, -maxAmount), maxAmount) / unit))
}

// Float gives the amount in cores, accelerators and GB.
func (a Amount) Float() (cores, accelerators, memoryGB float64) {
	return float64(a.Cores) * unit, float64(a.Accelerators) * unit, float64(a.MemoryGB) * unit
}

// Add adds n times o.
func (a Amount) Add(o Amount, n int) Amount {
	k := int64(n)
	return Amount{a.Cores + k*o.Cores, a.Accelerators + k*o.Accelerators, a.MemoryGB + k*o.MemoryGB}
}

// eachResource calls f with the three resources of some amounts.
func eachResource(f func(name string, of func(Amount) int64)) {
	f("cores", func(a Amount) int64 { return a.Cores })
	f("accelerators", func(a Amount) int64 { return a.Accelerators })
	f("memory_gb", func(a Amount) int64 { return a.MemoryGB })
}

// String names what is not 0.
func (a Amount) String() string {
	var out []string
	eachResource(func(name string, of func(Amount) int64) {
		if v := of(a); v != 0 {
			out = append(out, fmt.Sprintf("%g %s", float64(v)*unit, name))
		}
	})
	if len(out) == 0 {
		return "nothing"
	}
	return strings.Join(out, ", ")
}

// within tells whether an amount is within a limit, of which 0 is none.
func (a Amount) within(limit Amount) bool {
	return (limit.Cores == 0 || a.Cores <= limit.Cores) &&
		(limit.Accelerators == 0 || a.Accelerators <= limit.Accelerators) &&
		(limit.MemoryGB == 0 || a.MemoryGB <= limit.MemoryGB)
}

// Covers tells whether an amount is at least as large as o in every resource.
func (a Amount) Covers(o Amount) bool {
	return a.Cores >= o.Cores && a.Accelerators >= o.Accelerators && a.MemoryGB >= o.MemoryGB
}

// minus takes o away, but leaves no less than nothing.
func (a Amount) minus(o Amount) Amount {
	return Amount{max(a.Cores-o.Cores, 0), max(a.Accelerators-o.Accelerators, 0), max(a.MemoryGB-o.MemoryGB, 0)}
}

// Helps tells whether an amount that goes takes anything off an excess.
func (a Amount) Helps(excess Amount) bool {
	return a.Cores > 0 && excess.Cores > 0 || a.Accelerators > 0 && excess.Accelerators > 0 ||
		a.MemoryGB > 0 && excess.MemoryGB > 0
}

// countFitting is how many times each fits on top of used into a limit, up to n.
func countFitting(used, one, limit Amount, n int) int {
	left := int64(n)
	eachResource(func(_ string, of func(Amount) int64) {
		switch now, add, top := of(used), of(one), of(limit); {
		case top == 0:
		case now > top:
			left = 0
		case add > 0:
			left = min(left, (top-now)/add)
		}
	})
	return int(max(left, 0))
}
