package provisioning

import (
	"encoding/json"
	"time"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// warm is what a controller that is to follow the leader knows of the cloud.
type warm struct {
	catalog   map[string]*jobs.MachineType
	listed    map[string]fleet.ListedMachine
	listAt    time.Time // start of the listing
	beganAt   time.Time // of the newest try
	running   bool
	catalogAt time.Time
}

// FollowCloud reads the catalogue and the cloud's list now and then, for a controller that
// would be among the first to lead. turn is its place among those, so that they do not
// ask at the same time. Its calls are few beside the leader's: pages each half minute.
func (re *Provisioner) FollowCloud(turn int) {
	w := &re.warm
	every := tuning.WarmEvery
	if w.running || !w.beganAt.IsZero() && re.Now.Sub(w.beganAt) < every ||
		w.beganAt.IsZero() && re.Now.Sub(re.Since) < time.Duration(turn+1)*every/2 {
		return
	}
	w.running, w.beganAt = true, re.Now
	began := re.Now
	send := func(target string, done func(int, []byte, error)) {
		re.Send("GET", target, nil, tuning.CloudTimeout, done)
	}
	send("/catalog", func(status int, body []byte, err error) {
		builds := decodeCatalog(status, body, err)
		if builds == nil {
			w.running = false
			return
		}
		w.catalog, w.catalogAt = builds, re.Now
		readPages(send, func(all map[string]fleet.ListedMachine, ok bool) {
			w.running = false
			if ok {
				w.listed, w.listAt = all, began
			}
		})
	})
}

// takeWarm has a new leader start from what it has followed: the catalogue, and the list
// if it was begun so long after the former leader's last rent that it has what was
// rented. An older one could lack machines, which would be rented a second time.
func (re *Provisioner) takeWarm() {
	w, c := &re.warm, &re.cloud
	if w.catalog == nil || re.Now.Sub(w.catalogAt) > 2*tuning.WarmEvery {
		return
	}
	c.catalog, c.catalogAt = w.catalog, w.catalogAt
	last := int64(0)
	for _, a := range c.asked {
		last = max(last, a.AtMs)
	}
	if w.listed != nil && re.Now.Sub(w.listAt) <= 2*tuning.WarmEvery &&
		w.listAt.UnixMilli()-last > re.listSure().Milliseconds() {
		c.listed, c.listAt = w.listed, w.listAt
	}
	*w = warm{}
}

// decodeCatalog reads the catalogue's answer, nil if it is none. Types whose names
// cannot be part of a key are left out.
func decodeCatalog(status int, body []byte, err error) map[string]*jobs.MachineType {
	var answer struct {
		Builds []*jobs.MachineType `json:"builds"`
	}
	if err != nil || status != 200 || json.Unmarshal(body, &answer) != nil || len(answer.Builds) == 0 {
		return nil
	}
	out := map[string]*jobs.MachineType{}
	for _, b := range answer.Builds {
		if b != nil && fleet.ValidName(b.Name) {
			out[b.Name] = b
		}
	}
	return out
}
