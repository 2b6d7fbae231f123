package provisioning

import (
	"net/http"
	"time"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// followedCloud is what a controller that may be the next leader knows of the cloud.
type followedCloud struct {
	catalog   map[string]*jobs.MachineType
	catalogAt time.Time
	listed    map[string]fleet.ListedMachine
	listedAt  time.Time // start of the reading of the list
	startedAt time.Time // of the newest attempt
	running   bool
}

// FollowCloud reads the catalogue and the cloud's list now and then, for a controller that
// would be among the first to lead. order is its place among those, from 0, so that they
// do not send requests at the same time. Its requests are few beside the leader's: the
// pages of the list each half minute.
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

// followDue tells whether the cloud is to be read again, or for the first time.
func (p *Provisioner) followDue(order int) bool {
	if p.followed.startedAt.IsZero() {
		return p.state.Now.Sub(p.Since) >= time.Duration(order+1)*tuning.WarmEvery/2
	}
	return p.state.Now.Sub(p.followed.startedAt) >= tuning.WarmEvery
}

// useFollowedCloud has a new leader start from what it has followed: the catalogue, and the
// list if its reading was started so long after the former leader's last launch request that
// it has all requested machines. An older one could lack some, which would be requested a
// second time.
func (p *Provisioner) useFollowedCloud() {
	f, c := &p.followed, &p.cloud
	now := p.state.Now
	if f.catalog == nil || now.Sub(f.catalogAt) > 2*tuning.WarmEvery {
		return
	}
	c.catalog, c.catalogAt = f.catalog, f.catalogAt
	lastRequestMs := int64(0)
	for _, request := range c.requests {
		lastRequestMs = max(lastRequestMs, request.AtMs)
	}
	if f.listed != nil && now.Sub(f.listedAt) <= 2*tuning.WarmEvery &&
		f.listedAt.UnixMilli()-lastRequestMs > p.listDelay().Milliseconds() {
		c.listed, c.listedAt = f.listed, f.listedAt
	}
	*f = followedCloud{}
}
