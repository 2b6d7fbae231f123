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

// errLeaderChanged is the result of a cloud request if the leader or its epoch has changed since
// the request was made.
var errLeaderChanged = errors.New("cloud request: leader has changed")

// cloudState is the leader's knowledge of the cloud. It is kept in memory only and lost when the
// leader changes.
type cloudState struct {
	catalog        map[string]*jobs.MachineType
	catalogAt      time.Time
	readingCatalog bool

	listed       map[string]fleet.ListedMachine
	listedAt     time.Time // start of the latest complete reading of the list
	readingList  bool
	unlistedAt   map[string]time.Time // when machines were first missing from the list
	deletedAt    map[string]time.Time // when machines were deleted; lists may still contain them
	callTokens   float64              // requests that may be sent now
	tokensAt     time.Time            // when the tokens were last refilled
	waitingCalls []func()

	plannedAt       time.Time
	steps           int                  // steps planned since this leader took over
	requestCount    int                  // number of launch requests made; part of their IDs
	refusedUntil    map[string]time.Time // by pool, when machines may be requested again after a refusal
	deletingAt      map[string]time.Time // when delete requests in flight were sent
	deleteSentAt    time.Time            // when the last delete request was sent
	deleteConfirmed map[string]bool      // machines whose delete was answered with 200
	givenUp         map[string]string    // machines that are given up, with the reason
	freedAt         time.Time            // when tasks on deleted machines were last freed

	requests        []launchRequest
	requestsKnown   bool         // requests includes those of the previous leader
	plannedMachines map[pool]int // machines that the queue needs, by pool
	round           int          // current round of this step's launch requests
	openRequests    int          // launch requests of this step in flight
	shortfall       bool         // one of this step's requests was refused or only partly fulfilled
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

// refillCallTokens refills the token bucket for requests at the leader's share of the cloud's rate
// limit.
func (p *Provisioner) refillCallTokens() {
	c := &p.cloud
	rate := p.config.Cluster.Cloud.RPS * tuning.CloudBudgetShare
	if c.tokensAt.IsZero() {
		c.callTokens = rate
	} else {
		c.callTokens = math.Min(c.callTokens+p.state.Now.Sub(c.tokensAt).Seconds()*rate, math.Max(rate, 1))
	}
	c.tokensAt = p.state.Now
}

// sendWaitingCalls sends as many waiting requests as there are tokens.
func (p *Provisioner) sendWaitingCalls() {
	c := &p.cloud
	for len(c.waitingCalls) > 0 && c.callTokens >= 1 {
		send := c.waitingCalls[0]
		c.waitingCalls = c.waitingCalls[1:]
		c.callTokens--
		send()
	}
}

// call queues a request, which is sent once the cloud's rate limit allows it. If too many requests
// are waiting, it calls done with status 429, as if the cloud had refused the request.
func (p *Provisioner) call(method, target string, body []byte, done responseFunc) {
	c := &p.cloud
	if len(c.waitingCalls) >= tuning.CloudQueue {
		done(http.StatusTooManyRequests, nil, nil)
		return
	}
	c.waitingCalls = append(c.waitingCalls, p.newCall(method, target, body, done))
}

// callFirst queues a request in front of all waiting ones.
func (p *Provisioner) callFirst(method, target string, body []byte, done responseFunc) {
	c := &p.cloud
	c.waitingCalls = slices.Insert(c.waitingCalls, 0, p.newCall(method, target, body, done))
}

// newCall returns a function that sends a request for the leader of the current epoch.
func (p *Provisioner) newCall(method, target string, body []byte, done responseFunc) func() {
	_, epoch := p.collaborators.Leadership.IsLeader()
	return func() {
		handleResponse := func(status int, response []byte, err error) {
			p.collaborators.Loop.Wake()
			// A controller that no longer leads discards the response.
			leads, current := p.collaborators.Leadership.IsLeader()
			if leads && (current == epoch || method == http.MethodGet) {
				done(status, response, err)
				return
			}
			done(0, nil, errLeaderChanged)
		}
		p.collaborators.Cloud.Send(method, target, body, tuning.CloudTimeout, handleResponse)
	}
}
