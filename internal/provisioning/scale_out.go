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

// launchRequest is a request for machines that may not be in the cloud's list yet. It is stored in
// the summary.
type launchRequest struct {
	LaunchRequestID string   `json:"hire"`
	MachineType     string   `json:"build"`
	Zone            string   `json:"site"`
	Spot            bool     `json:"loaner,omitempty"`
	Count           int      `json:"count"`
	AtMs            int64    `json:"at"`              // when it was made, Unix time in ms
	Machines        []string `json:"hosts,omitempty"` // from the cloud's response
}

// pool returns the pool in which the machines are requested.
func (r *launchRequest) pool() pool {
	return pool{fleet.Group{MachineType: r.MachineType, Spot: r.Spot}, r.Zone}
}

// body returns the body of the request to the cloud.
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

// scaleOutsFor distributes a number of machines of a group over zones: first according to the needs
// of the queue, then evenly.
func (p *Provisioner) scaleOutsFor(group fleet.Group, wanted int, counts map[pool]int) []scaleOut {
	var pools []pool
	for _, zone := range p.cloud.catalog[group.MachineType].Zones {
		if candidate := (pool{group, zone}); !p.recentlyRefused(candidate) {
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

// startScaleOuts sends the launch requests of one step, and drops earlier requests whose machines
// have exceeded their boot limit.
func (p *Provisioner) startScaleOuts(scaleOuts []scaleOut) {
	c := &p.cloud
	scaleOuts = p.limitToRate(scaleOuts)
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

// limitToRate limits the scale-outs to the number of launch requests that the cloud's rate limit
// allows in a step; the rest of the rate is reserved for the list and for deletes. The largest
// scale-outs are kept.
func (p *Provisioner) limitToRate(scaleOuts []scaleOut) []scaleOut {
	launchRate := p.config.Cluster.Cloud.RPS * tuning.CloudBudgetShare * tuning.LaunchShare
	limit := max(1, int(launchRate*p.config.Operator.StepS))
	sort.SliceStable(scaleOuts, func(i, j int) bool { return scaleOuts[i].count > scaleOuts[j].count })
	return scaleOuts[:min(limit, len(scaleOuts))]
}

// sendScaleOuts sends one round of a step's launch requests. A request's ID consists of the view's
// epoch, which has a single leader, and a counter kept by that leader. IDs are thus unique, and
// only retries of the same request share one.
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

// finishLaunchRequest continues the step once all its launch requests have ended: machines that the
// cloud refused are requested in the next best pool, within the same step.
func (p *Provisioner) finishLaunchRequest(fellShort bool) {
	c := &p.cloud
	c.openRequests--
	c.shortfall = c.shortfall || fellShort
	if c.openRequests > 0 || !c.shortfall || c.round >= tuning.MaxLaunchRounds {
		return
	}
	c.round++
	c.shortfall = false
	counted := p.countSupply()
	packing := p.packQueue(counted, map[fleet.Group]float64{}, p.waiting())
	var groups []fleet.Group
	for group := range packing.needed {
		groups = append(groups, group)
	}
	slices.SortFunc(groups, compareGroups)
	var scaleOuts []scaleOut
	for _, group := range groups {
		scaleOuts = append(scaleOuts, p.scaleOutsFor(group, packing.needed[group], counted.all)...)
	}
	p.sendScaleOuts(p.limitToRate(scaleOuts))
}

// sendLaunchRequest sends a request. retries is the number of times that it has been retried so
// far.
func (p *Provisioner) sendLaunchRequest(request launchRequest, retries int) {
	p.config.Log.Info("machines requested",
		"launch_request_id", request.LaunchRequestID,
		"pool", request.pool().String(),
		"count", request.Count)
	p.call(http.MethodPost, "/hosts", request.body(), func(status int, body []byte, err error) {
		p.handleLaunchResponse(request, retries, status, body, err)
	})
}

// handleLaunchResponse handles the cloud's response to a launch request.
func (p *Provisioner) handleLaunchResponse(
	request launchRequest, retries int, status int, body []byte, err error,
) {
	var response struct {
		Machines []string `json:"hosts"`
		Error    string   `json:"error"`
	}
	switch {
	case err == nil && status == http.StatusOK && json.Unmarshal(body, &response) == nil:
		p.recordLaunched(request, response.Machines)
	case err == nil && status == http.StatusServiceUnavailable:
		_ = json.Unmarshal(body, &response)
		p.config.Log.Info("machine request refused", "pool", request.pool().String(), "error", response.Error)
		p.dropRequest(request.LaunchRequestID)
		noCapacity := response.Error == "no capacity"
		if noCapacity {
			p.markRefused(request.pool())
		}
		p.finishLaunchRequest(noCapacity)
	case retries < tuning.MaxLaunchRetries && !errors.Is(err, errLeaderChanged) &&
		(err != nil || status == http.StatusTooManyRequests):
		p.sendLaunchRequest(request, retries+1)
	case status == http.StatusBadRequest:
		// The same request would be refused at every step. The catalogue may have changed, so it is
		// read again.
		p.markRefused(request.pool())
		p.cloud.catalogAt = time.Time{}
		p.dropRequest(request.LaunchRequestID)
		p.finishLaunchRequest(true)
	case status == http.StatusTooManyRequests:
		p.dropRequest(request.LaunchRequestID)
		p.finishLaunchRequest(false)
	default:
		p.finishLaunchRequest(false) // unanswered: counts as supply until its boot limit
	}
}

// recordLaunched records the machines that the cloud has launched for a request, which may be fewer
// than requested.
func (p *Provisioner) recordLaunched(request launchRequest, machines []string) {
	c := &p.cloud
	for i := range c.requests {
		if c.requests[i].LaunchRequestID == request.LaunchRequestID {
			c.requests[i].Machines, c.requests[i].Count = machines, len(machines)
		}
	}
	fellShort := len(machines) < request.Count
	if fellShort {
		p.markRefused(request.pool())
	}
	p.finishLaunchRequest(fellShort)
}

// markRefused prevents launch requests in a pool for tuning.NoCapacityPause.
func (p *Provisioner) markRefused(refused pool) {
	p.cloud.refusedUntil[refused.String()] = p.state.Now.Add(tuning.NoCapacityPause)
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
