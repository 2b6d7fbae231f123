// Package quota accounts for the resources that each team uses, against a tree of guarantees and
// limits whose nodes are organisations, the platform's teams and job classes. Only the leader
// changes the account: it charges a task when it releases it and reverses the charge once the task
// is certain to be gone. The package does no IO and reads no clock.
package quota

import (
	"fmt"
	"math"
	"strings"
)

// unit is the resolution of an Amount. Amounts are integer multiples of it, so that a million
// charges and their reversals add up to exactly zero.
const unit = 1e-6

// maxAmount is the largest amount of a resource in a task, a guarantee or a limit. It is far above
// the capacity of any machine, and the sum of 9,000 such amounts still fits in an int64.
const maxAmount = 1e9

// Amount is a quantity of each resource, in millionths of a core, of an accelerator and of a GB of
// memory.
type Amount struct {
	Cores, Accelerators, MemoryGB int64
}

// NewAmount returns the Amount for the given numbers of cores, accelerators and GB of memory.
func NewAmount(cores, accelerators, memoryGB float64) Amount {
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

// Float returns the amount in cores, accelerators and GB.
func (a Amount) Float() (cores, accelerators, memoryGB float64) {
	return float64(a.Cores) * unit, float64(a.Accelerators) * unit, float64(a.MemoryGB) * unit
}

// Add returns the amount plus count times other; count may be negative.
func (a Amount) Add(other Amount, count int) Amount {
	k := int64(count)
	return Amount{
		Cores:        a.Cores + k*other.Cores,
		Accelerators: a.Accelerators + k*other.Accelerators,
		MemoryGB:     a.MemoryGB + k*other.MemoryGB,
	}
}

// eachResource calls f for each resource, with its name and a function that returns the resource's
// value in an amount.
func eachResource(f func(name string, valueOf func(Amount) int64)) {
	f("cores", func(a Amount) int64 { return a.Cores })
	f("accelerators", func(a Amount) int64 { return a.Accelerators })
	f("memory_gb", func(a Amount) int64 { return a.MemoryGB })
}

// String returns the resources that are not 0 as a list, or "nothing" if all are 0.
func (a Amount) String() string {
	var texts []string
	eachResource(func(name string, valueOf func(Amount) int64) {
		if value := valueOf(a); value != 0 {
			texts = append(texts, fmt.Sprintf("%g %s", float64(value)*unit, name))
		}
	})
	if len(texts) == 0 {
		return "nothing"
	}
	return strings.Join(texts, ", ")
}

// within reports whether the amount is within a limit; 0 in a resource means no limit.
func (a Amount) within(limit Amount) bool {
	return (limit.Cores == 0 || a.Cores <= limit.Cores) &&
		(limit.Accelerators == 0 || a.Accelerators <= limit.Accelerators) &&
		(limit.MemoryGB == 0 || a.MemoryGB <= limit.MemoryGB)
}

// Covers reports whether the amount is at least as large as other in every resource.
func (a Amount) Covers(other Amount) bool {
	return a.Cores >= other.Cores && a.Accelerators >= other.Accelerators && a.MemoryGB >= other.MemoryGB
}

// subClamped returns the amount minus other, with 0 for each resource that would be negative.
func (a Amount) subClamped(other Amount) Amount {
	return Amount{
		Cores:        max(a.Cores-other.Cores, 0),
		Accelerators: max(a.Accelerators-other.Accelerators, 0),
		MemoryGB:     max(a.MemoryGB-other.MemoryGB, 0),
	}
}

// maskedBy returns the amount with 0 for each resource in which other is not positive.
func (a Amount) maskedBy(other Amount) Amount {
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

// ReducesExcess reports whether releasing the amount reduces an excess in at least one resource.
func (a Amount) ReducesExcess(excess Amount) bool {
	return a.Cores > 0 && excess.Cores > 0 ||
		a.Accelerators > 0 && excess.Accelerators > 0 ||
		a.MemoryGB > 0 && excess.MemoryGB > 0
}

// atLimit reports whether the amount equals the limit in at least one resource that has a limit.
func (a Amount) atLimit(limit Amount) bool {
	return limit.Cores > 0 && a.Cores == limit.Cores ||
		limit.Accelerators > 0 && a.Accelerators == limit.Accelerators ||
		limit.MemoryGB > 0 && a.MemoryGB == limit.MemoryGB
}

// countFitting returns how many times the amount each can be added to used without exceeding the
// limit, but at most count.
func countFitting(used, each, limit Amount, count int) int {
	fitting := int64(count)
	eachResource(func(_ string, valueOf func(Amount) int64) {
		usedNow, step, maximum := valueOf(used), valueOf(each), valueOf(limit)
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
