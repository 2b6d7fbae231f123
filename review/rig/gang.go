package rig

import (
	"net/http"
	"slices"
	"time"
)

// The jobs of a Gang.
const (
	warmID = "wk-000401" // fetches the image on one machine
	fillID = "wk-000402" // keeps the other machines in use meanwhile
	gangID = "wk-000403"
)

const (
	gangImage  = "img-bead-matcher"
	pullGB     = 11.0
	pullGBPerS = 0.5 // of a kiondo-node
)

// Gang is a gang of two tasks that take a whole kiondo-node each, one of which has the image. The
// launch there is held back by its controller for some seconds, since the other machine has to fetch
// the image and a task waits for the others for gang_wait_s only.
type Gang struct {
	rig  *Rig
	user *Node // where the user asks
	// Due is when the launch that is held back is expected, give or take half a second.
	Due time.Time
}

// NewGang submits the gang, and returns once the first of its tasks is launched. It returns nil if that
// does not come about.
func NewGang(r *Rig, user *Node) *Gang {
	fetchS := pullGB / pullGBPerS
	ok := r.Submit(user, Job{Spec: gangSpec(warmID, "sweep", 1, gangImage, pullGB), RunS: 1}) &&
		r.Submit(user, Job{Spec: gangSpec(fillID, "sweep", 3, "img-fill", 0), RunS: fetchS + 1}) &&
		r.awaitDone(user, warmID) && r.awaitDone(user, fillID) &&
		r.Submit(user, Job{Spec: gangSpec(gangID, "ensemble", 2, gangImage, pullGB), RunS: 60})
	if !ok {
		return nil
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if launches := r.Launches(gangID); len(launches) > 0 {
			due := launches[0].At.Add(seconds(fetchS - r.Times.GangWaitS/2))
			r.Record.Add("the launch that is held back is expected at %.1f", r.Record.At(due))
			return &Gang{r, user, due}
		}
	}
	return nil
}

func gangSpec(uid, shape string, pieces int, bundle string, gb float64) map[string]any {
	return Spec(uid, map[string]any{
		"shape": shape, "pieces": pieces, "cores": 28.0, "accelerators": 4.0, "memory_gb": 200.0,
		"bundle": bundle, "pull_gb": gb, "expect_s": 150.0, "builds": []string{"kiondo-node"}, "same_place": true,
	})
}

func (r *Rig) awaitDone(user *Node, uid string) bool {
	for end := time.Now().Add(50 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if _, body := r.User(user, http.MethodGet, JobPath(uid), nil); StatusOf(body) == "done" {
			return true
		}
	}
	return false
}

// Cancel cancels the gang and returns when the user was told that it is cancelled.
func (g *Gang) Cancel() (told time.Time, ok bool) {
	for range 10 {
		status, body := g.rig.User(g.user, http.MethodPost, AbortPath(gangID), nil)
		if status == http.StatusOK && StatusOf(body) == "cancelled" {
			return time.Now(), true
		}
		time.Sleep(time.Second)
	}
	return time.Time{}, false
}

// Judge checks the rule of cancellations, and returns the exit code: no launch command that
// reaches its worker after the user was told starts a task. Nothing delays commands between the
// controller and its workers, so one that arrives a tenth of a second later was not in flight.
func (g *Gang) Judge(told time.Time) int {
	r, broken := g.rig, false
	for _, launch := range r.Launches(gangID) {
		late := launch.At.Sub(told)
		started := slices.ContainsFunc(r.Starts(gangID), func(s Start) bool {
			return s.Piece == launch.Piece && s.Try == launch.Try && s.Machine == launch.Machine && s.At.After(told)
		})
		if late > 100*time.Millisecond && started {
			broken = true
			r.Record.Add("BROKEN: %s try %d launched on %s and started %.2f s after its user was told: cancelled",
				launch.Piece, launch.Try, launch.Machine, late.Seconds())
		}
	}
	if broken {
		return 1
	}
	r.Record.Add("the rule held")
	return 0
}
