package provisioning

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// supply is the machines that count as supply, by pool.
type supply struct {
	all     map[pool]int
	booting map[pool]int // those of all that are not up yet
}

func (s supply) addBooting(machines pool, count int) {
	s.all[machines] += count
	s.booting[machines] += count
}

// ofGroup is the number of machines of a group.
func (s supply) ofGroup(group fleet.Group) int {
	sum := 0
	for machines, count := range s.all {
		if machines.Group == group {
			sum += count
		}
	}
	return sum
}

// countSupply counts the machines with a record in use, those listed and booting in time,
// and those requested and not yet listed until their boot time has passed.
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
		// An overdue one may never come; a replacement is requested before the queue
		// suffers, and the late one is used or returned if it comes.
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
	attributed := map[string]bool{} // machines that came of some request
	for _, request := range c.requests {
		for _, name := range request.Machines {
			attributed[name] = true
		}
	}
	for i := range c.requests {
		request := &c.requests[i]
		// A list read long enough after the request has what there is: a machine that it
		// lacks was returned or lost meanwhile, perhaps by an earlier leader, and must
		// not count.
		if c.listedAt.UnixMilli()-request.AtMs > p.listDelay().Milliseconds() ||
			p.state.NowMs()-request.AtMs > p.bootLimit(request.MachineType).Milliseconds() {
			continue
		}
		for _, name := range request.Machines {
			if p.isYetUnknown(name) {
				counted.addBooting(request.pool(), 1)
			}
		}
		if len(request.Machines) == 0 {
			// Unanswered, or answered to a leader that has ended. Its machines come all the
			// same: left out of those that boot, machines for the queue would be requested a
			// second time (docs/incidents/rented-twice.md).
			counted.addBooting(request.pool(), request.Count-p.countArrived(request, attributed))
		}
	}
}

// isYetUnknown tells whether a machine was never listed, had a record or was deleted.
func (p *Provisioner) isYetUnknown(name string) bool {
	c := &p.cloud
	_, listed := c.listed[name]
	return !listed && p.state.Machines[name] == nil && c.unlistedAt[name].IsZero() && c.deletedAt[name].IsZero()
}

// countArrived counts the listed machines that an unanswered request may have brought, by
// their pool and age, each for one request only.
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
		// The age is that at the time which the list describes.
		startedAt := c.listedAt.Add(-jobs.Seconds(listed.AgeS))
		if startedAt.After(requestedAt.Add(-tuning.ListSlack)) &&
			startedAt.Add(-listLag).Before(requestedAt.Add(tuning.ListSlack)) {
			attributed[name] = true
			arrived++
		}
	}
	return arrived
}
