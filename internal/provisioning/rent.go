package provisioning

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

type rent struct {
	k     kind
	count int
}

// rentsFor splits a number of machines over zones: first as the queue asked,
// then evenly.
func (re *Provisioner) rentsFor(g fleet.Group, want int, counts map[kind]int) []rent {
	c := &re.cloud
	b := c.catalog[g.MachineType]
	per := map[kind]int{}
	var kinds []kind
	for _, zone := range b.Zones {
		k := kind{g, zone}
		if !re.Now.Before(c.refused[k.String()]) {
			kinds = append(kinds, k)
		}
	}
	sort.Slice(kinds, func(a, b int) bool { return kinds[a].String() < kinds[b].String() })
	for _, k := range kinds {
		take := min(want, max(0, c.planned[k]-counts[k]))
		per[k] += take
		want -= take
	}
	for ; want > 0 && len(kinds) > 0; want-- {
		best := kinds[0]
		for _, k := range kinds {
			if counts[k]+per[k] < counts[best]+per[best] {
				best = k
			}
		}
		per[best]++
	}
	var out []rent
	for _, k := range kinds {
		for left := per[k]; left > 0; left -= tuning.MaxRentMachines {
			out = append(out, rent{k, min(left, tuning.MaxRentMachines)})
		}
	}
	return out
}

// rentBatch sends one step's rents. A name is made of the view's epoch, which
// has one leader, and a counter of that leader's, so that none is ever used
// twice; only the same request is sent again under it.
func (re *Provisioner) rentBatch(rents []rent, sum *Summary) {
	c := &re.cloud
	rents = re.withinRate(rents)
	var keep []asked
	for _, a := range c.asked {
		if re.NowMs()-a.AtMs <= re.bootLimit(a.Build).Milliseconds() {
			keep = append(keep, a)
		}
	}
	c.asked = keep
	c.round, c.again = 0, false
	re.rentAll(rents)
	sum.Asked = append([]asked(nil), c.asked...)
}

// withinRate cuts a batch to what the cloud's rate allows in a step, the rest
// being for the list and for deletes. Larger requests go first.
func (re *Provisioner) withinRate(rents []rent) []rent {
	most := max(1, int(re.Cluster.Cloud.RPS*tuning.CloudBudget*tuning.RentShare*re.Operator.StepS))
	sort.SliceStable(rents, func(a, b int) bool { return rents[a].count > rents[b].count })
	return rents[:min(most, len(rents))]
}

// rentAll sends one round of a step's batch.
func (re *Provisioner) rentAll(rents []rent) {
	c := &re.cloud
	_, epoch := re.IsLeader()
	for _, r := range rents {
		c.open++
		c.hires++
		a := asked{
			Hire:   fmt.Sprintf("r-%d-%d", epoch, c.hires),
			Build:  r.k.MachineType,
			Site:   r.k.site,
			Loaner: r.k.Spot,
			Count:  r.count,
			AtMs:   re.NowMs(),
		}
		c.asked = append(c.asked, a)
		re.rent(a, 0)
	}
}

// rentEnded goes on with the batch once all its rents are answered: what the
// cloud refused is asked for as the next best kind, within the same step.
func (re *Provisioner) rentEnded(short bool) {
	c := &re.cloud
	c.open--
	c.again = c.again || short
	if c.open > 0 || !c.again || c.round >= tuning.RentRounds {
		return
	}
	c.round++
	c.again = false
	counts, booting := re.supplyOf()
	fit, _ := re.packQueue(
		counts,
		booting,
		map[fleet.Group]float64{},
		append(re.Queue.StillWaiting(), re.Queue.NotExamined()...),
	)
	var groups []fleet.Group
	for g := range fit {
		groups = append(groups, g)
	}
	sort.Slice(groups, func(a, b int) bool { return groups[a].String() < groups[b].String() })
	var rents []rent
	for _, g := range groups {
		rents = append(rents, re.rentsFor(g, fit[g], counts)...)
	}
	re.rentAll(re.withinRate(rents))
}

func (re *Provisioner) rent(a asked, again int) {
	body := jobs.Encode(
		map[string]any{"hire": a.Hire, "build": a.Build, "site": a.Site, "loaner": a.Loaner, "count": a.Count},
	)
	k := kind{fleet.Group{MachineType: a.Build, Spot: a.Loaner}, a.Site}
	re.Log.Info("rent", "hire", a.Hire, "kind", k.String(), "count", a.Count)
	re.cloudCall("POST", "/hosts", body, func(status int, answer []byte, err error) {
		c := &re.cloud
		var got struct {
			Hosts []string `json:"hosts"`
			Error string   `json:"error"`
		}
		switch {
		case err == nil && status == 200 && json.Unmarshal(answer, &got) == nil:
			for i := range c.asked {
				if c.asked[i].Hire == a.Hire {
					c.asked[i].Hosts, c.asked[i].Count = got.Hosts, len(got.Hosts)
				}
			}
			if len(got.Hosts) < a.Count {
				c.refused[k.String()] = re.Now.Add(tuning.NoCapacity)
			}
			re.rentEnded(len(got.Hosts) < a.Count)
		case err == nil && status == 503:
			_ = json.Unmarshal(answer, &got)
			re.Log.Info("rent refused", "kind", k.String(), "error", got.Error)
			re.dropRequested(a.Hire)
			if got.Error == "no capacity" {
				c.refused[k.String()] = re.Now.Add(tuning.NoCapacity)
			}
			re.rentEnded(got.Error == "no capacity")
		case again < tuning.RentRetries && err != errOldView && (err != nil || status == 429):
			re.rent(a, again+1)
		case status == 400:
			// Asked for alike at every step it would be refused at every step: the
			// catalogue may have changed, and is read again.
			c.refused[k.String()] = re.Now.Add(tuning.NoCapacity)
			c.catalogAt = time.Time{}
			re.dropRequested(a.Hire)
			re.rentEnded(true)
		case status == 429:
			re.dropRequested(a.Hire)
			re.rentEnded(false)
		default:
			re.rentEnded(false) // unanswered: counted as supply until its boot time has passed
		}
	})
}

func (re *Provisioner) dropRequested(hire string) {
	c := &re.cloud
	for i := range c.asked {
		if c.asked[i].Hire == hire {
			c.asked = append(c.asked[:i:i], c.asked[i+1:]...)
			return
		}
	}
}
