package provisioning

import (
	"net/http"
	"time"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// followedCloud is the knowledge of the cloud kept by a controller that may be the next leader.
type followedCloud struct {
	catalog   map[string]*jobs.MachineType
	catalogAt time.Time
	listed    map[string]fleet.ListedMachine
	listedAt  time.Time // start of the reading of listed
	startedAt time.Time // start of the latest attempt
	running   bool
}

// FollowCloud periodically reads the catalogue and the cloud's list, for a controller that is among
// the next candidates for leader. order is its position among the candidates, from 0, which
// staggers their requests. It sends few requests compared with the leader: one for the catalogue
// and one for each page of the list, every half minute.
func (p *Provisioner) FollowCloud(order int) {
	f := &p.followed
	if f.running || !p.followDue(order) {
		return
	}
	started := p.state.Now
	f.running, f.startedAt = true, started
	send := func(target string, done responseFunc) {
		p.collaborators.Cloud.Send(http.MethodGet, target, nil, tuning.CloudTimeout, done)
	}
	send("/catalog", func(status int, body []byte, err error) {
		machineTypes := decodeCatalog(status, body, err)
		if machineTypes == nil {
			f.running = false
			return
		}
		f.catalog, f.catalogAt = machineTypes, p.state.Now
		readPages(send, func(machines map[string]fleet.ListedMachine, complete bool) {
			f.running = false
			if complete {
				f.listed, f.listedAt = machines, started
			}
		})
	})
}

// followDue reports whether the next reading of the cloud is due.
func (p *Provisioner) followDue(order int) bool {
	if p.followed.startedAt.IsZero() {
		return p.state.Now.Sub(p.ObservingSince) >= time.Duration(order+1)*tuning.StandbyReadEvery/2
	}
	return p.state.Now.Sub(p.followed.startedAt) >= tuning.StandbyReadEvery
}

// useFollowedCloud makes a new leader start from the catalogue and the list that it read while
// following. The list is used only if its reading started long enough after the previous leader's
// last launch request for it to contain all requested machines. Machines missing from an older list
// would be requested a second time.
func (p *Provisioner) useFollowedCloud() {
	f, c := &p.followed, &p.cloud
	now := p.state.Now
	if f.catalog == nil || now.Sub(f.catalogAt) > 2*tuning.StandbyReadEvery {
		return
	}
	c.catalog, c.catalogAt = f.catalog, f.catalogAt
	lastRequestMs := int64(0)
	for _, request := range c.requests {
		lastRequestMs = max(lastRequestMs, request.AtMs)
	}
	if f.listed != nil && now.Sub(f.listedAt) <= 2*tuning.StandbyReadEvery &&
		f.listedAt.UnixMilli()-lastRequestMs > p.listDelay().Milliseconds() {
		c.listed, c.listedAt = f.listed, f.listedAt
	}
	*f = followedCloud{}
}
