package provisioning

import (
	"errors"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// errLeaderChanged answers a request of a leader that leads no more.
var errLeaderChanged = errors.New("request to the cloud: the leader has changed")

// cloudState is the leader's knowledge of the cloud. It is lost with the leader.
type cloudState struct {
	catalog        map[string]*jobs.MachineType
	catalogAt      time.Time
	readingCatalog bool

	listed       map[string]fleet.ListedMachine
	listedAt     time.Time // start of the newest complete reading of the list
	readingList  bool
	unlistedAt   map[string]time.Time // when machines were found to be on the list no more
	deletedAt    map[string]time.Time // machines deleted, which lists may still show
	callTokens   float64              // requests that may leave now
	tokensAt     time.Time            // when the tokens were last refilled
	waitingCalls []func()

	plannedAt       time.Time
	steps           int                  // steps planned since this leader began
	requestCount    int                  // launch requests made, for their IDs
	refusedUntil    map[string]time.Time // pools without capacity
	deletingAt      map[string]time.Time // delete requests under way
	deleteSentAt    time.Time            // last delete request
	deleteConfirmed map[string]bool      // machines whose delete was answered 200
	givenUp         map[string]string    // machines that are given up, and why
	freedAt         time.Time            // when tasks on deleted machines were last freed

	requests        []launchRequest
	requestsKnown   bool         // requests has what the former leader requested
	plannedMachines map[pool]int // machines by pool that the queue asks for
	round           int          // of this step's launch requests
	openRequests    int          // launch requests of this step under way
	shortfall       bool         // one of them was refused or filled in part
}

func (c *cloudState) reset() {
	*c = cloudState{
		listed:          map[string]fleet.ListedMachine{},
		unlistedAt:      map[string]time.Time{},
		deletedAt:       map[string]time.Time{},
		refusedUntil:    map[string]time.Time{},
		deletingAt:      map[string]time.Time{},
		deleteConfirmed: map[string]bool{},
		givenUp:         map[string]string{},
	}
}

// refillCallTokens lets requests leave at this controller's share of the cloud's rate.
func (p *Provisioner) refillCallTokens() {
	c := &p.cloud
	rate := p.config.Cluster.Cloud.RPS * tuning.CloudBudget
	if c.tokensAt.IsZero() {
		c.callTokens = rate
	} else {
		c.callTokens = math.Min(c.callTokens+p.state.Now.Sub(c.tokensAt).Seconds()*rate, math.Max(rate, 1))
	}
	c.tokensAt = p.state.Now
}

// sendWaitingCalls sends the requests that the tokens allow.
func (p *Provisioner) sendWaitingCalls() {
	c := &p.cloud
	for len(c.waitingCalls) > 0 && c.callTokens >= 1 {
		send := c.waitingCalls[0]
		c.waitingCalls = c.waitingCalls[1:]
		c.callTokens--
		send()
	}
}

// call sends a request within the cloud's rate, or later. If too many wait already it is
// answered as one that the cloud recentlyRefused for its rate.
func (p *Provisioner) call(method, target string, body []byte, done responseFunc) {
	c := &p.cloud
	if len(c.waitingCalls) >= tuning.CloudQueue {
		done(http.StatusTooManyRequests, nil, nil)
		return
	}
	c.waitingCalls = append(c.waitingCalls, p.newCall(method, target, body, done))
}

// callFirst sends a request before all that wait.
func (p *Provisioner) callFirst(method, target string, body []byte, done responseFunc) {
	c := &p.cloud
	c.waitingCalls = slices.Insert(c.waitingCalls, 0, p.newCall(method, target, body, done))
}

// newCall is the function that sends a request made by the leader of the present epoch.
func (p *Provisioner) newCall(method, target string, body []byte, done responseFunc) func() {
	_, epoch := p.collaborators.Leadership.IsLeader()
	return func() {
		answered := func(status int, answer []byte, err error) {
			p.collaborators.Loop.Wake()
			// A controller that no longer leads does nothing with the answer.
			leads, current := p.collaborators.Leadership.IsLeader()
			if leads && (current == epoch || method == http.MethodGet) {
				done(status, answer, err)
				return
			}
			done(0, nil, errLeaderChanged)
		}
		p.collaborators.Cloud.Send(method, target, body, tuning.CloudTimeout, answered)
	}
}
