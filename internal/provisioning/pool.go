package provisioning

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// roundingError is what sums of shares and prices may be off by.
const roundingError = 1e-9

// pool is one thing that the cloud offers: the machines of a group in a zone.
type pool struct {
	fleet.Group
	zone string
}

func (p pool) String() string { return p.Group.String() + "@" + p.zone }

func comparePools(a, b pool) int { return cmp.Compare(a.String(), b.String()) }

func compareGroups(a, b fleet.Group) int { return cmp.Compare(a.String(), b.String()) }

// poolOf is the pool of a machine with a record.
func poolOf(machine *clusterstate.Machine) pool {
	return pool{groupOf(machine), machine.Zone}
}

// groupOf is the group of a machine with a record.
func groupOf(machine *clusterstate.Machine) fleet.Group {
	return fleet.Group{MachineType: machine.MachineType, Spot: machine.Spot}
}

// price is what a machine of a group costs an hour.
func (p *Provisioner) price(group fleet.Group) float64 {
	machineType := p.cloud.catalog[group.MachineType]
	if machineType == nil {
		return math.Inf(1)
	}
	if group.Spot {
		return machineType.SpotHourly
	}
	return machineType.Hourly
}

// refuses tells whether the cloud had no capacity in a pool a short while ago.
func (p *Provisioner) refuses(candidate pool) bool {
	return p.state.Now.Before(p.cloud.refusedUntil[candidate.String()])
}

// poolPrice is a pool with what a task costs there an hour.
type poolPrice struct {
	pool
	taskPrice float64
}

// poolsFor is the pools that a task may use, in no order. zones is the tasks of its job by
// zone, which some jobs limit.
func (p *Provisioner) poolsFor(spec *jobs.Spec, zones map[string]int) []poolPrice {
	var pools []poolPrice
	for name, machineType := range p.cloud.catalog {
		share := spec.Resources().ShareOf(machineType.Capacity())
		if share > 1+roundingError || !spec.AllowsMachineType(name) {
			continue
		}
		// Only whole tasks fit on a machine: that is what a task really costs there.
		tasksPerMachine := math.Floor(1/share + roundingError)
		for _, spot := range []bool{false, true} {
			if spot && (!spec.Spot || machineType.SpotHourly <= 0) {
				continue
			}
			group := fleet.Group{MachineType: name, Spot: spot}
			for _, zone := range machineType.Zones {
				if spec.Allows(name, zone, spot) && clusterstate.ZoneAllowed(spec, zones, zone) {
					pools = append(pools, poolPrice{pool{group, zone}, p.price(group) / tasksPerMachine})
				}
			}
		}
	}
	return pools
}

// cheapest is the pool where a waiting task costs least, of those that the cloud has not
// just refused; of equally cheap ones that with the fewest machines. It is none for a task
// that can wait, if it costs much more there than it would if the cloud had what it refused.
func (p *Provisioner) cheapest(record *jobs.Record, zones map[string]int, counts map[pool]int) (pool, bool) {
	best, found, bestPrice, lowestPrice := pool{}, false, math.Inf(1), math.Inf(1)
	for _, candidate := range p.poolsFor(&record.Spec, zones) {
		lowestPrice = min(lowestPrice, candidate.taskPrice)
		if p.refuses(candidate.pool) {
			continue
		}
		cheaper := candidate.taskPrice < bestPrice-roundingError
		asCheap := candidate.taskPrice < bestPrice+roundingError
		if cheaper || asCheap && found && fewerMachines(candidate.pool, best, counts) {
			best, found, bestPrice = candidate.pool, true, candidate.taskPrice
		}
	}
	if found && bestPrice > lowestPrice*tuning.PatientPrice && p.canWaitForPrice(record, best) {
		return pool{}, false
	}
	return best, found
}

// fewerMachines orders equally cheap pools: by their machines, then by name.
func fewerMachines(a, b pool, counts map[pool]int) bool {
	if counts[a] != counts[b] {
		return counts[a] < counts[b]
	}
	return comparePools(a, b) < 0
}

// canWaitForPrice tells whether a task has time left before a machine of the pool must be
// requested for it. A gang that is overdue has none: it accumulates capacity that stands idle
// until it is whole.
func (p *Provisioner) canWaitForPrice(record *jobs.Record, candidate pool) bool {
	spec := &record.Spec
	job := p.state.Jobs[spec.ID]
	if job != nil && spec.IsGang() && p.collaborators.Queue.Overdue(job) {
		return false
	}
	boot := p.cloud.catalog[candidate.MachineType].BootS
	margin := jobs.Seconds(boot+spec.ExpectedDurationS/2) + 2*jobs.Seconds(p.config.Operator.StepS)
	return p.collaborators.Queue.StartBy(record, false)-p.state.NowMs() > margin.Milliseconds()
}

// bootOverdue is the age from which a machine that has not come up is overdue, and no supply.
func (p *Provisioner) bootOverdue(machineType string) time.Duration {
	return p.bootTime(machineType, tuning.BootLate)
}

// bootLimit is the age from which a machine that has not come up is given up.
func (p *Provisioner) bootLimit(machineType string) time.Duration {
	return p.bootTime(machineType, tuning.BootSlack)
}

// bootTime is a multiple of a machine type's boot time, or the least that any type is given.
func (p *Provisioner) bootTime(machineType string, factor float64) time.Duration {
	if known := p.state.MachineTypes[machineType]; known != nil {
		return max(tuning.MinBootSlack, jobs.Seconds(known.BootS*factor))
	}
	return tuning.MinBootSlack
}

// sortedPools is the pools of a map, by name.
func sortedPools(counts map[pool]int) []pool {
	pools := make([]pool, 0, len(counts))
	for candidate := range counts {
		pools = append(pools, candidate)
	}
	slices.SortFunc(pools, comparePools)
	return pools
}
