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

// roundingTolerance is the tolerated rounding error of sums of shares and prices.
const roundingTolerance = 1e-9

// pool identifies the machines of a group in one zone, the unit in which the cloud offers capacity.
type pool struct {
	fleet.Group
	zone string
}

func (p pool) String() string { return p.Group.String() + "@" + p.zone }

func comparePools(a, b pool) int { return cmp.Compare(a.String(), b.String()) }

func compareGroups(a, b fleet.Group) int { return cmp.Compare(a.String(), b.String()) }

// poolOf returns the pool of a machine.
func poolOf(machine *clusterstate.Machine) pool {
	return pool{groupOf(machine), machine.Zone}
}

// groupOf returns the group of a machine.
func groupOf(machine *clusterstate.Machine) fleet.Group {
	return fleet.Group{MachineType: machine.MachineType, Spot: machine.Spot}
}

// price returns the price per hour of a machine of a group, or +Inf if its type is not in the
// catalogue.
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

// recentlyRefused reports whether the cloud recently refused a launch request for a pool.
func (p *Provisioner) recentlyRefused(candidate pool) bool {
	return p.state.Now.Before(p.cloud.refusedUntil[candidate.String()])
}

// poolPrice is a pool with the price of running a task there for an hour.
type poolPrice struct {
	pool
	taskPrice float64
}

// poolsFor returns the pools in which a task may run, in no particular order. tasksByZone holds the
// number of the job's tasks by zone, which some jobs limit.
func (p *Provisioner) poolsFor(spec *jobs.Spec, tasksByZone map[string]int) []poolPrice {
	var pools []poolPrice
	for name, machineType := range p.cloud.catalog {
		share := spec.Resources().ShareOf(machineType.Capacity())
		if share > 1+roundingTolerance || !spec.AllowsMachineType(name) {
			continue
		}
		// A machine's price is divided among the whole tasks that fit on it.
		tasksPerMachine := math.Floor(1/share + roundingTolerance)
		for _, spot := range []bool{false, true} {
			if spot && (!spec.Spot || machineType.SpotHourly <= 0) {
				continue
			}
			group := fleet.Group{MachineType: name, Spot: spot}
			for _, zone := range machineType.Zones {
				if spec.Allows(name, zone, spot) && clusterstate.ZoneAllowed(spec, tasksByZone, zone) {
					pools = append(pools, poolPrice{pool{group, zone}, p.price(group) / tasksPerMachine})
				}
			}
		}
	}
	return pools
}

// cheapest returns the pool with the lowest price for a waiting task, among the pools that the
// cloud has not recently refused. Of equally cheap pools it returns the one with the fewest
// machines. It returns false if there is no such pool, or if the task can wait and the cheapest
// pool costs more than tuning.PatientPriceRatio times as much as the cheapest one including the
// refused pools.
func (p *Provisioner) cheapest(record *jobs.Record, tasksByZone map[string]int, counts map[pool]int) (pool, bool) {
	best, found, bestPrice, lowestPrice := pool{}, false, math.Inf(1), math.Inf(1)
	for _, candidate := range p.poolsFor(&record.Spec, tasksByZone) {
		lowestPrice = min(lowestPrice, candidate.taskPrice)
		if p.recentlyRefused(candidate.pool) {
			continue
		}
		cheaper := candidate.taskPrice < bestPrice-roundingTolerance
		equal := candidate.taskPrice < bestPrice+roundingTolerance
		if cheaper || equal && found && hasFewerMachines(candidate.pool, best, counts) {
			best, found, bestPrice = candidate.pool, true, candidate.taskPrice
		}
	}
	if found && bestPrice > lowestPrice*tuning.PatientPriceRatio && p.canWaitForPrice(record, best) {
		return pool{}, false
	}
	return best, found
}

// hasFewerMachines reports whether a precedes b in the order of equally cheap pools: by number of
// machines, then by name.
func hasFewerMachines(a, b pool, counts map[pool]int) bool {
	if counts[a] != counts[b] {
		return counts[a] < counts[b]
	}
	return comparePools(a, b) < 0
}

// canWaitForPrice reports whether a task can still wait before a machine of the pool has to be
// requested for it. An overdue gang cannot: the capacity that it accumulates is idle until there is
// enough for all of its tasks.
func (p *Provisioner) canWaitForPrice(record *jobs.Record, candidate pool) bool {
	spec := &record.Spec
	job := p.state.Jobs[spec.ID]
	if job != nil && spec.IsGang() && p.collaborators.Queue.Overdue(job) {
		return false
	}
	bootS := p.cloud.catalog[candidate.MachineType].BootS
	margin := jobs.Seconds(bootS+spec.ExpectedDurationS/2) + 2*jobs.Seconds(p.config.Operator.StepS)
	return p.collaborators.Queue.StartBy(record, false)-p.state.NowMs() > margin.Milliseconds()
}

// bootOverdue returns the age from which a machine that has not come up is overdue and no longer
// counts as supply.
func (p *Provisioner) bootOverdue(machineType string) time.Duration {
	return p.bootTime(machineType, tuning.BootLateFactor)
}

// bootLimit returns the age from which a machine that has not come up is given up.
func (p *Provisioner) bootLimit(machineType string) time.Duration {
	return p.bootTime(machineType, tuning.BootFailedFactor)
}

// bootTime returns a machine type's boot time times factor, but at least tuning.MinBootSlack.
func (p *Provisioner) bootTime(machineType string, factor float64) time.Duration {
	if known := p.state.MachineTypes[machineType]; known != nil {
		return max(tuning.MinBootSlack, jobs.Seconds(known.BootS*factor))
	}
	return tuning.MinBootSlack
}

// sortedPools returns the keys of a map, sorted by name.
func sortedPools(counts map[pool]int) []pool {
	pools := make([]pool, 0, len(counts))
	for candidate := range counts {
		pools = append(pools, candidate)
	}
	slices.SortFunc(pools, comparePools)
	return pools
}
