// Package quota keeps what each team uses against a tree of guarantees and
// limits: organisations, the platform's teams, job classes. It has one writer, the
// leader, which charges a task when it releases it and uncharges it once it is
// truly gone. No IO, no clock.
package quota

import (
	"fmt"
	"math"
	"strings"
)

// unit is the smallest amount that counts: amounts are whole numbers of it, so
// that a million charges and their ends add up to nothing exactly.
const unit = 1e-6

// maxAmount limits one task's amount of a resource, far above any machine: a thousand
// million of them still add up without overflow.
const maxAmount = 1e9

// Amount is what teams are measured in, in millionths of a core, an accelerator
// and a GB of memory.
type Amount struct {
	Cores, Accelerators, MemoryGB int64
}

// Of is the amount of so many cores, accelerators and GB of memory.
func Of(cores, accelerators, memoryGB float64) Amount {
	return Amount{
		Cores:        toUnits(cores),
		Accelerators: toUnits(accelerators),
		MemoryGB:     toUnits(memoryGB),
	}
}

func toUnits(value float64) int64 {
	if math.IsNaN(value) {
		return 0
	}
	return int64(math.Round(min(max(value, -maxAmount), maxAmount) / unit))
}

// Float gives the amount in cores, accelerators and GB.
func (a Amount) Float() (cores, accelerators, memoryGB float64) {
	return float64(a.Cores) * unit, float64(a.Accelerators) * unit, float64(a.MemoryGB) * unit
}

// Add adds count times other; count may be negative.
func (a Amount) Add(other Amount, count int) Amount {
	k := int64(count)
	return Amount{
		Cores:        a.Cores + k*other.Cores,
		Accelerators: a.Accelerators + k*other.Accelerators,
		MemoryGB:     a.MemoryGB + k*other.MemoryGB,
	}
}

// eachResource calls f with the name of each resource and with what reads it of an amount.
func eachResource(f func(name string, of func(Amount) int64)) {
	f("cores", func(a Amount) int64 { return a.Cores })
	f("accelerators", func(a Amount) int64 { return a.Accelerators })
	f("memory_gb", func(a Amount) int64 { return a.MemoryGB })
}

// String names what is not 0.
func (a Amount) String() string {
	var texts []string
	eachResource(func(name string, of func(Amount) int64) {
		if value := of(a); value != 0 {
			texts = append(texts, fmt.Sprintf("%g %s", float64(value)*unit, name))
		}
	})
	if len(texts) == 0 {
		return "nothing"
	}
	return strings.Join(texts, ", ")
}

// within tells whether an amount is within a limit; a limit of 0 in a resource is none.
func (a Amount) within(limit Amount) bool {
	return (limit.Cores == 0 || a.Cores <= limit.Cores) &&
		(limit.Accelerators == 0 || a.Accelerators <= limit.Accelerators) &&
		(limit.MemoryGB == 0 || a.MemoryGB <= limit.MemoryGB)
}

// Covers tells whether an amount is at least as large as other in every resource.
func (a Amount) Covers(other Amount) bool {
	return a.Cores >= other.Cores && a.Accelerators >= other.Accelerators && a.MemoryGB >= other.MemoryGB
}

// minus takes other away, but leaves no less than nothing.
func (a Amount) minus(other Amount) Amount {
	return Amount{
		Cores:        max(a.Cores-other.Cores, 0),
		Accelerators: max(a.Accelerators-other.Accelerators, 0),
		MemoryGB:     max(a.MemoryGB-other.MemoryGB, 0),
	}
}

// whereSet leaves the amount in the resources in which other is more than 0, and 0 in those
// in which it is not.
func (a Amount) whereSet(other Amount) Amount {
	if other.Cores <= 0 {
		a.Cores = 0
	}
	if other.Accelerators <= 0 {
		a.Accelerators = 0
	}
	if other.MemoryGB <= 0 {
		a.MemoryGB = 0
	}
	return a
}

// Helps tells whether an amount that is no longer used takes anything off an excess.
func (a Amount) Helps(excess Amount) bool {
	return a.Cores > 0 && excess.Cores > 0 ||
		a.Accelerators > 0 && excess.Accelerators > 0 ||
		a.MemoryGB > 0 && excess.MemoryGB > 0
}

// reaches tells whether an amount is exactly a limit in a resource that has one.
func (a Amount) reaches(limit Amount) bool {
	return limit.Cores > 0 && a.Cores == limit.Cores ||
		limit.Accelerators > 0 && a.Accelerators == limit.Accelerators ||
		limit.MemoryGB > 0 && a.MemoryGB == limit.MemoryGB
}

// countFitting is how many times each fits on top of used into a limit, up to count.
func countFitting(used, each, limit Amount, count int) int {
	fitting := int64(count)
	eachResource(func(_ string, of func(Amount) int64) {
		usedNow, step, maximum := of(used), of(each), of(limit)
		switch {
		case maximum == 0:
		case usedNow > maximum:
			fitting = 0
		case step > 0:
			fitting = min(fitting, (maximum-usedNow)/step)
		}
	})
	return int(max(fitting, 0))
}
