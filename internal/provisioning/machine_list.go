package provisioning

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// listInterval returns the time between two readings of the cloud's list. The requests for its
// pages may use only a share of the cloud's rate limit.
func (p *Provisioner) listInterval() time.Duration {
	pages := float64(1 + len(p.cloud.listed)/tuning.CloudPage)
	return max(tuning.ListEvery, jobs.Seconds(pages/(p.config.Cluster.Cloud.RPS*tuning.ListShare)))
}

// listDelay returns the time after its launch request by which a machine must be in the cloud's
// list.
func (p *Provisioner) listDelay() time.Duration {
	return jobs.Seconds(2*p.config.Cluster.Cloud.ListLagS) + tuning.ListSlack
}

// readList reads the whole list of machines.
func (p *Provisioner) readList() {
	p.cloud.readingList = true
	started := p.state.Now
	send := func(target string, done responseFunc) { p.call(http.MethodGet, target, nil, done) }
	readPages(send, func(machines map[string]fleet.ListedMachine, complete bool) {
		p.cloud.readingList = false
		if complete {
			p.applyList(machines, started)
		}
	})
}

// applyList applies a complete list. started is when its reading started.
func (p *Provisioner) applyList(machines map[string]fleet.ListedMachine, started time.Time) {
	c := &p.cloud
	now := p.state.Now
	for name := range c.listed {
		if _, listed := machines[name]; !listed && c.unlistedAt[name].IsZero() {
			c.unlistedAt[name] = now
		}
	}
	for name := range machines {
		delete(c.unlistedAt, name)
		if _, deleted := c.deletedAt[name]; deleted {
			delete(machines, name) // the list predates the delete
		}
	}
	removeExpired(c.deletedAt, now)
	c.listed, c.listedAt = machines, started
	removeExpired(c.unlistedAt, now)
}

// removeExpired removes machines that have been gone for so long that no list can still contain
// them.
func removeExpired(goneAt map[string]time.Time, now time.Time) {
	for name, at := range goneAt {
		if now.Sub(at) > tuning.ForgetGone {
			delete(goneAt, name)
		}
	}
}

// readPages reads the whole list page by page, using send for the requests, and passes it to done.
// complete is false if the request for a page failed. Machines whose names cannot be part of a key
// are left out.
func readPages(
	send func(target string, done responseFunc),
	done func(machines map[string]fleet.ListedMachine, complete bool),
) {
	machines := map[string]fleet.ListedMachine{}
	var readPage func(since string)
	readPage = func(since string) {
		target := fmt.Sprintf("/hosts?limit=%d", tuning.CloudPage)
		if since != "" {
			target += "&since=" + since
		}
		send(target, func(status int, body []byte, err error) {
			var page struct {
				Machines []fleet.ListedMachine `json:"hosts"`
				HasNext  bool                  `json:"has_next"`
			}
			if err != nil || status != http.StatusOK || json.Unmarshal(body, &page) != nil {
				done(nil, false)
				return
			}
			for _, machine := range page.Machines {
				if fleet.ValidName(machine.Name) {
					machines[machine.Name] = machine
				}
			}
			if page.HasNext && len(page.Machines) > 0 {
				readPage(page.Machines[len(page.Machines)-1].Name)
				return
			}
			done(machines, true)
		})
	}
	readPage("")
}
