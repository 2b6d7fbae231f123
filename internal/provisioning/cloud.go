package provisioning

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Summary is what the scaler writes once a step: enough for owners to know
// what drains and for a fresh leader to go on.
type Summary struct {
	Step    uint64               `json:"step"`
	History map[string][]float64 `json:"history,omitempty"`
	Drain   fleet.Draining       `json:"drain,omitempty"`
	Asked   []asked              `json:"asked,omitempty"`
}

// asked is a rent whose machines may not be in the cloud's list yet.
type asked struct {
	Hire   string   `json:"hire"`
	Build  string   `json:"build"`
	Site   string   `json:"site"`
	Loaner bool     `json:"loaner,omitempty"`
	Count  int      `json:"count"`
	AtMs   int64    `json:"at"`
	Hosts  []string `json:"hosts,omitempty"`
}

// cloudState is the leader's knowledge of the cloud.
type cloudState struct {
	catalog    map[string]*jobs.MachineType
	catalogAt  time.Time
	catalogRun bool

	listed  map[string]fleet.ListedMachine
	listAt  time.Time // start of the newest complete listing
	listRun bool
	gone    map[string]time.Time // machines that a listing no longer has, since when
	deleted map[string]time.Time // machines deleted, which lists may still show

	tokens float64
	filled time.Time
	calls  []func()

	stepAt   time.Time
	steps    int // steps since this leader began
	hires    int
	refused  map[string]time.Time // kinds without capacity, until when
	deleting map[string]time.Time // delete requests under way
	deleteAt time.Time            // last delete request
	freed    map[string]bool      // machines whose delete was answered 200
	lost     map[string]string    // machines that are given up, and why
	freedAt  time.Time            // when what was on them was last freed
	asked    []asked
	counted  bool         // asked has what the former leader rented
	planned  map[kind]int // machines by kind that the queue asks for
	round    int          // of this step's batch
	open     int          // rents of this step under way
	again    bool         // one of them was refused or filled in part
}

func (c *cloudState) reset() {
	*c = cloudState{
		listed:   map[string]fleet.ListedMachine{},
		gone:     map[string]time.Time{},
		deleted:  map[string]time.Time{},
		refused:  map[string]time.Time{},
		deleting: map[string]time.Time{},
		freed:    map[string]bool{},
		lost:     map[string]string{},
	}
}

// cloudCall sends a request within the cloud's rate, or later.
func (re *Provisioner) cloudCall(method, target string, body []byte, done func(int, []byte, error)) {
	c := &re.cloud
	if len(c.calls) >= tuning.CloudQueue {
		done(429, nil, nil)
		return
	}
	c.calls = append(c.calls, re.cloudRequest(method, target, body, done))
}

// cloudFirst sends a request before all that wait.
func (re *Provisioner) cloudFirst(method, target string, body []byte, done func(int, []byte, error)) {
	c := &re.cloud
	c.calls = slices.Insert(c.calls, 0, re.cloudRequest(method, target, body, done))
}

func (re *Provisioner) cloudRequest(method, target string, body []byte, done func(int, []byte, error)) func() {
	_, epoch := re.IsLeader()
	return func() {
		re.Send(method, target, body, tuning.CloudTimeout, func(status int, answer []byte, err error) {
			re.Wake()
			// A leader that has lost the view does nothing with the answer.
			if leads, now := re.IsLeader(); leads && (now == epoch || method == "GET") {
				done(status, answer, err)
				return
			}
			done(0, nil, errOldView)
		})
	}
}

var errOldView = errors.New("the view has changed")

// Reconcile sends waiting calls and does what is due.
func (re *Provisioner) Reconcile() {
	c := &re.cloud
	if re.StoreUnavailable() {
		re.downAt = re.Now
	}
	rate := re.Cluster.Cloud.RPS * tuning.CloudBudget
	if c.filled.IsZero() {
		c.tokens = rate
	} else {
		c.tokens = math.Min(c.tokens+re.Now.Sub(c.filled).Seconds()*rate, math.Max(rate, 1))
	}
	c.filled = re.Now
	if !c.catalogRun && (c.catalog == nil || re.Now.Sub(c.catalogAt) > tuning.CatalogEvery) {
		re.readCatalog()
	}
	if !c.listRun && (c.listAt.IsZero() || re.Now.Sub(c.listAt) > re.listEvery()) {
		re.readList()
	}
	step := jobs.Seconds(re.Operator.StepS)
	if c.catalog != nil && !c.listAt.IsZero() && re.Now.Sub(c.stepAt) >= step && !re.StoreUnavailable() && re.MayRent() {
		c.stepAt = re.Now
		c.open = 0
		re.scalerStep()
	}
	for len(c.calls) > 0 && c.tokens >= 1 {
		call := c.calls[0]
		c.calls = c.calls[1:]
		c.tokens--
		call()
	}
}

func (re *Provisioner) readCatalog() {
	c := &re.cloud
	c.catalogRun = true
	re.cloudCall("GET", "/catalog", nil, func(status int, body []byte, err error) {
		c.catalogRun = false
		builds := decodeCatalog(status, body, err)
		if builds == nil {
			c.catalogAt = re.Now.Add(tuning.CatalogAgain - tuning.CatalogEvery)
			if c.catalog == nil {
				c.catalogAt = re.Now
			}
			return
		}
		c.catalogAt = re.Now
		c.catalog = builds
		var ds []decide.Decision
		for _, name := range clusterstate.SortedKeys(builds) {
			b := builds[name]
			// Prices move and are the leader's business; the rest is told to all.
			told := *b
			told.Hourly, told.SpotHourly = 0, 0
			if old := re.MachineTypes[b.Name]; old == nil || string(jobs.Encode(old)) != string(jobs.Encode(told)) {
				// A type that could not be told is read again soon: until it is known
				// no job that needs it is accepted.
				ds = append(
					ds,
					decide.Decision{
						Writes: []store.Write{decide.Put(MachineTypePrefix+b.Name, told)},
						Urgent: true,
						OnSettled: func(ok bool) {
							if !ok {
								c.catalogAt = re.Now.Add(tuning.CatalogAgain - tuning.CatalogEvery)
							}
						},
					},
				)
			}
		}
		re.Commit(ds)
	})
}

// listEvery is the pause between two readings of the cloud's list: its pages
// may take only a share of the cloud's rate.
func (re *Provisioner) listEvery() time.Duration {
	pages := float64(1 + len(re.cloud.listed)/tuning.CloudPage)
	return max(tuning.ListEvery, jobs.Seconds(pages/(re.Cluster.Cloud.RPS*tuning.ListShare)))
}

// readPages reads the whole list, page by page, by the calls that send makes, and hands
// it to done; false if a page was not answered.
func readPages(
	send func(target string, done func(int, []byte, error)),
	done func(map[string]fleet.ListedMachine, bool),
) {
	all := map[string]fleet.ListedMachine{}
	var page func(since string)
	page = func(since string) {
		target := fmt.Sprintf("/hosts?limit=%d", tuning.CloudPage)
		if since != "" {
			target += "&since=" + since
		}
		send(target, func(status int, body []byte, err error) {
			var answer struct {
				Hosts   []fleet.ListedMachine `json:"hosts"`
				HasNext bool                  `json:"has_next"`
			}
			if err != nil || status != 200 || json.Unmarshal(body, &answer) != nil {
				done(nil, false)
				return
			}
			for _, h := range answer.Hosts {
				if fleet.ValidName(h.Name) {
					all[h.Name] = h
				}
			}
			if answer.HasNext && len(answer.Hosts) > 0 {
				page(answer.Hosts[len(answer.Hosts)-1].Name)
				return
			}
			done(all, true)
		})
	}
	page("")
}

// readList reads the whole list.
func (re *Provisioner) readList() {
	c := &re.cloud
	c.listRun = true
	started := re.Now
	send := func(target string, done func(int, []byte, error)) { re.cloudCall("GET", target, nil, done) }
	readPages(send, func(all map[string]fleet.ListedMachine, ok bool) {
		c.listRun = false
		if !ok {
			return
		}
		for h := range c.listed {
			if _, ok := all[h]; !ok && c.gone[h].IsZero() {
				c.gone[h] = re.Now
			}
		}
		for h := range all {
			delete(c.gone, h)
			if _, was := c.deleted[h]; was {
				delete(all, h) // the list is older than the delete
			}
		}
		for h, at := range c.deleted {
			if re.Now.Sub(at) > tuning.ForgetGone {
				delete(c.deleted, h)
			}
		}
		c.listed, c.listAt = all, started
		for h, at := range c.gone {
			if re.Now.Sub(at) > tuning.ForgetGone {
				delete(c.gone, h)
			}
		}
	})
}
