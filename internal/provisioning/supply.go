package provisioning

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// supply is the number of machines that count as supply, by pool.
type supply struct {
	all     map[pool]int
	booting map[pool]int // the machines in all that are not up yet
}

func (s supply) addBooting(target pool, count int) {
	s.all[target] += count
	s.booting[target] += count
}

// ofGroup returns the number of machines of a group.
func (s supply) ofGroup(group fleet.Group) int {
	sum := 0
	for candidate, count := range s.all {
		if candidate.Group == group {
			sum += count
		}
	}
	return sum
}

// countSupply counts the machines in use that do not drain, the listed machines that have no record
// yet and are not overdue, and the requested machines that are not listed yet, up to their boot
// limit.
func (p *Provisioner) countSupply() supply {
	counted := supply{all: map[pool]int{}, booting: map[pool]int{}}
	for name, machine := range p.state.Machines {
		if p.collaborators.Machines.InUse(machine) {
			if _, draining := p.Summary.Draining[name]; !draining {
				counted.all[poolOf(machine)]++
			}
		}
	}
	sinceList := p.state.Now.Sub(p.cloud.listedAt)
	for name, listed := range p.cloud.listed {
		// An overdue machine may never come up. It does not count, so that a replacement is
		// requested before tasks are delayed. If it does come up, it is used or drained.
		if p.state.Machines[name] == nil && (listed.Status == "booting" || listed.Status == "running") &&
			jobs.Seconds(listed.AgeS)+sinceList <= p.bootOverdue(listed.MachineType) {
			group := fleet.Group{MachineType: listed.MachineType, Spot: listed.Spot}
			counted.addBooting(pool{group, listed.Zone}, 1)
		}
	}
	p.countRequested(counted)
	return counted
}

// countRequested adds the requested machines that are not listed yet.
func (p *Provisioner) countRequested(counted supply) {
	c := &p.cloud
	attributed := map[string]bool{} // machines assigned to a request
	for _, request := range c.requests {
		for _, name := range request.Machines {
			attributed[name] = true
		}
	}
	for i := range c.requests {
		request := &c.requests[i]
		// A list read long enough after the request contains all of its machines that still
		// exist. A machine that is missing from it has been deleted in the meantime, perhaps by an
		// earlier leader, or lost, and must not count.
		if c.listedAt.UnixMilli()-request.AtMs > p.listDelay().Milliseconds() ||
			p.state.NowMs()-request.AtMs > p.bootLimit(request.MachineType).Milliseconds() {
			continue
		}
		for _, name := range request.Machines {
			if p.neverSeen(name) {
				counted.addBooting(request.pool(), 1)
			}
		}
		if len(request.Machines) == 0 {
			// The request is unanswered, or was answered to a leader that no longer runs. Its
			// machines are launched all the same. If they did not count as booting, machines for
			// the queue would be requested a second time (docs/incidents/rented-twice.md).
			counted.addBooting(request.pool(), request.Count-p.countArrived(request, attributed))
		}
	}
}

// neverSeen reports whether a machine has not been listed, has no record and has not been deleted.
func (p *Provisioner) neverSeen(name string) bool {
	c := &p.cloud
	_, listed := c.listed[name]
	return !listed && p.state.Machines[name] == nil && c.unlistedAt[name].IsZero() && c.deletedAt[name].IsZero()
}

// countArrived returns the number of listed machines that an unanswered request may have launched,
// judging by their pool and age. It adds them to attributed, so that each counts for one request
// only.
func (p *Provisioner) countArrived(request *launchRequest, attributed map[string]bool) int {
	c := &p.cloud
	listLag := jobs.Seconds(2 * p.config.Cluster.Cloud.ListLagS)
	requestedAt := time.UnixMilli(request.AtMs)
	arrived := 0
	for _, name := range clusterstate.SortedKeys(c.listed) {
		listed := c.listed[name]
		if arrived == request.Count || attributed[name] || listed.MachineType != request.MachineType ||
			listed.Zone != request.Zone || listed.Spot != request.Spot {
			continue
		}
		// The age is as of the time when the list was taken.
		startedAt := c.listedAt.Add(-jobs.Seconds(listed.AgeS))
		if startedAt.After(requestedAt.Add(-tuning.ListSlack)) &&
			startedAt.Add(-listLag).Before(requestedAt.Add(tuning.ListSlack)) {
			attributed[name] = true
			arrived++
		}
	}
	return arrived
}
