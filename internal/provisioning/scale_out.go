package provisioning

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sort"
	"time"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// launchRequest is a request for machines that may not be in the cloud's list yet.
type launchRequest struct {
	LaunchRequestID string   `json:"hire"`
	MachineType     string   `json:"build"`
	Zone            string   `json:"site"`
	Spot            bool     `json:"loaner,omitempty"`
	Count           int      `json:"count"`
	AtMs            int64    `json:"at"`              // when it was made, Unix time in milliseconds
	Machines        []string `json:"hosts,omitempty"` // by the cloud's answer
}

// pool is where the machines are requested.
func (r *launchRequest) pool() pool {
	return pool{fleet.Group{MachineType: r.MachineType, Spot: r.Spot}, r.Zone}
}

// body is the request as the cloud takes it.
func (r *launchRequest) body() []byte {
	return jobs.Encode(map[string]any{
		"hire":   r.LaunchRequestID,
		"build":  r.MachineType,
		"site":   r.Zone,
		"loaner": r.Spot,
		"count":  r.Count,
	})
}

// scaleOut is a number of machines to request in a pool.
type scaleOut struct {
	pool
	count int
}

// scaleOutsFor splits a number of machines of a group over zones: first as the queue needs
// them, then evenly.
func (p *Provisioner) scaleOutsFor(group fleet.Group, wanted int, counts map[pool]int) []scaleOut {
	var pools []pool
	for _, zone := range p.cloud.catalog[group.MachineType].Zones {
		if candidate := (pool{group, zone}); !p.refuses(candidate) {
			pools = append(pools, candidate)
		}
	}
	slices.SortFunc(pools, comparePools)
	requested := map[pool]int{}
	for _, candidate := range pools {
		needed := min(wanted, max(0, p.cloud.plannedMachines[candidate]-counts[candidate]))
		requested[candidate] += needed
		wanted -= needed
	}
	for ; wanted > 0 && len(pools) > 0; wanted-- {
		smallest := pools[0]
		for _, candidate := range pools {
			if counts[candidate]+requested[candidate] < counts[smallest]+requested[smallest] {
				smallest = candidate
			}
		}
		requested[smallest]++
	}
	var scaleOuts []scaleOut
	for _, candidate := range pools {
		for left := requested[candidate]; left > 0; left -= tuning.MaxLaunchMachines {
			scaleOuts = append(scaleOuts, scaleOut{candidate, min(left, tuning.MaxLaunchMachines)})
		}
	}
	return scaleOuts
}

// startScaleOuts sends the launch requests of one step, and forgets those whose machines
// must have booted by now.
func (p *Provisioner) startScaleOuts(scaleOuts []scaleOut) {
	c := &p.cloud
	scaleOuts = p.withinRate(scaleOuts)
	var recent []launchRequest
	for _, request := range c.requests {
		if p.state.NowMs()-request.AtMs <= p.bootLimit(request.MachineType).Milliseconds() {
			recent = append(recent, request)
		}
	}
	c.requests = recent
	c.round, c.shortfall = 0, false
	p.sendScaleOuts(scaleOuts)
}

// withinRate cuts the scale-outs to what the cloud's rate allows in a step, the rest being
// for the list and for deletes. The largest go first.
func (p *Provisioner) withinRate(scaleOuts []scaleOut) []scaleOut {
	share := p.config.Cluster.Cloud.RPS * tuning.CloudBudget * tuning.LaunchShare
	limit := max(1, int(share*p.config.Operator.StepS))
	sort.SliceStable(scaleOuts, func(i, j int) bool { return scaleOuts[i].count > scaleOuts[j].count })
	return scaleOuts[:min(limit, len(scaleOuts))]
}

// sendScaleOuts sends one round of a step's launch requests. An ID is made of the view's
// epoch, which has one leader, and a counter of that leader's, so that none is ever used
// twice; only the same request is sent again under it.
func (p *Provisioner) sendScaleOuts(scaleOuts []scaleOut) {
	c := &p.cloud
	_, epoch := p.collaborators.Leadership.IsLeader()
	for _, wanted := range scaleOuts {
		c.openRequests++
		c.requestCount++
		request := launchRequest{
			LaunchRequestID: fmt.Sprintf("r-%d-%d", epoch, c.requestCount),
			MachineType:     wanted.MachineType,
			Zone:            wanted.zone,
			Spot:            wanted.Spot,
			Count:           wanted.count,
			AtMs:            p.state.NowMs(),
		}
		c.requests = append(c.requests, request)
		p.sendLaunchRequest(request, 0)
	}
}

// requestEnded continues the step once all its launch requests are answered: what the cloud
// refused is requested in the next best pool, within the same step.
func (p *Provisioner) requestEnded(fellShort bool) {
	c := &p.cloud
	c.openRequests--
	c.shortfall = c.shortfall || fellShort
	if c.openRequests > 0 || !c.shortfall || c.round >= tuning.MaxLaunchRounds {
		return
	}
	c.round++
	c.shortfall = false
	machines := p.countSupply()
	packing := p.packQueue(machines, map[fleet.Group]float64{}, p.waiting())
	var groups []fleet.Group
	for group := range packing.needed {
		groups = append(groups, group)
	}
	slices.SortFunc(groups, compareGroups)
	var scaleOuts []scaleOut
	for _, group := range groups {
		scaleOuts = append(scaleOuts, p.scaleOutsFor(group, packing.needed[group], machines.all)...)
	}
	p.sendScaleOuts(p.withinRate(scaleOuts))
}

// sendLaunchRequest sends a request, after so many retries.
func (p *Provisioner) sendLaunchRequest(request launchRequest, retries int) {
	p.config.Log.Info("machines requested",
		"launch_request_id", request.LaunchRequestID,
		"pool", request.pool().String(),
		"count", request.Count)
	p.call(http.MethodPost, "/hosts", request.body(), func(status int, body []byte, err error) {
		p.launchRequestAnswered(request, retries, status, body, err)
	})
}

// launchRequestAnswered takes in the cloud's answer to a launch request.
func (p *Provisioner) launchRequestAnswered(
	request launchRequest, retries int, status int, body []byte, err error,
) {
	var answer struct {
		Machines []string `json:"hosts"`
		Error    string   `json:"error"`
	}
	switch {
	case err == nil && status == http.StatusOK && json.Unmarshal(body, &answer) == nil:
		p.machinesLaunched(request, answer.Machines)
	case err == nil && status == http.StatusServiceUnavailable:
		_ = json.Unmarshal(body, &answer)
		p.config.Log.Info("machine request refused", "pool", request.pool().String(), "error", answer.Error)
		p.dropRequest(request.LaunchRequestID)
		noCapacity := answer.Error == "no capacity"
		if noCapacity {
			p.refuse(request.pool())
		}
		p.requestEnded(noCapacity)
	case retries < tuning.MaxLaunchRetries && !errors.Is(err, errLeaderChanged) &&
		(err != nil || status == http.StatusTooManyRequests):
		p.sendLaunchRequest(request, retries+1)
	case status == http.StatusBadRequest:
		// Requested alike at every step it would be refused at every step: the catalogue
		// may have changed, and is read again.
		p.refuse(request.pool())
		p.cloud.catalogAt = time.Time{}
		p.dropRequest(request.LaunchRequestID)
		p.requestEnded(true)
	case status == http.StatusTooManyRequests:
		p.dropRequest(request.LaunchRequestID)
		p.requestEnded(false)
	default:
		p.requestEnded(false) // unanswered: counted as supply until its boot time has passed
	}
}

// machinesLaunched notes the machines that the cloud has launched for a request, which may be
// fewer than requested.
func (p *Provisioner) machinesLaunched(request launchRequest, machines []string) {
	c := &p.cloud
	for i := range c.requests {
		if c.requests[i].LaunchRequestID == request.LaunchRequestID {
			c.requests[i].Machines, c.requests[i].Count = machines, len(machines)
		}
	}
	fellShort := len(machines) < request.Count
	if fellShort {
		p.refuse(request.pool())
	}
	p.requestEnded(fellShort)
}

// refuse keeps from requesting machines in a pool for a while.
func (p *Provisioner) refuse(refused pool) {
	p.cloud.refusedUntil[refused.String()] = p.state.Now.Add(tuning.NoCapacity)
}

func (p *Provisioner) dropRequest(launchRequestID string) {
	c := &p.cloud
	for i := range c.requests {
		if c.requests[i].LaunchRequestID == launchRequestID {
			c.requests = append(c.requests[:i:i], c.requests[i+1:]...)
			return
		}
	}
}
