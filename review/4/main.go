// Command 4 shows an accepted gang that never runs: after a cancelled job gave up the fetch of an image
// the controllers take the image to be on the machine, and each attempt of the gang ends before it is.
package main

import (
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/review/rig"
)

const (
	warmID      = "wk-000401" // fetches the image on one machine
	cancelledID = "wk-000402" // is cancelled while it fetches the image on another one
	fillID      = "wk-000403" // keeps the other machines of the type in use
	gangID      = "wk-000404"

	image      = "img-bead-matcher"
	pullGB     = 16.0 // 32 s on a kiondo-node, somewhat more than gang_wait_s
	faster     = 4.0 / 3
	fetching   = 20 * time.Second // how long the cancelled job fetches
	waiting    = 90 * time.Second // LATER: "no job is left waiting for 90 s"
	startLimit = 40 * time.Second
)

func main() { os.Exit(rig.Run(os.Args[1], rig.UshangaOps(), play)) }

// spec returns a job whose tasks take a whole kiondo-node each.
func spec(uid, shape string, pieces int, bundle string) map[string]any {
	return rig.Spec(uid, map[string]any{
		"shape": shape, "pieces": pieces, "cores": 28.0, "accelerators": 4.0, "memory_gb": 200.0,
		"bundle": bundle, "pull_gb": pullGB, "expect_s": 150.0, "builds": []string{"kiondo-node"}, "same_place": true,
	})
}

// play plays the case and returns the exit code.
func play(r *rig.Rig) int {
	user := r.Nodes[0]
	// The first fetch is a third faster, as it may be, so that the case ends within two minutes.
	pullRate(r, faster)
	if !r.Submit(user, rig.Job{Spec: spec(warmID, "sweep", 1, image), RunS: 0.1}) || !await(r.Launches, warmID) {
		return 2
	}
	pullRate(r, 1)
	if !r.Submit(user, rig.Job{Spec: spec(cancelledID, "sweep", 1, image), RunS: 0.3}) || !await(r.Launches, cancelledID) {
		return 2
	}
	if !r.Submit(user, rig.Job{Spec: spec(fillID, "sweep", 2, "img-fill"), RunS: 300}) {
		return 2
	}
	time.Sleep(fetching)
	if os.Getenv("TROUBLE") != "0" {
		if status, _ := r.User(user, http.MethodPost, rig.AbortPath(cancelledID), nil); status != http.StatusOK {
			return 2
		}
	}
	if !await(r.Starts, warmID) || !awaitDone(r, user) {
		return 2
	}
	if !r.Submit(user, rig.Job{Spec: spec(gangID, "ensemble", 2, image), RunS: 60}) {
		return 2
	}
	return judge(r, user, time.Now())
}

func pullRate(r *rig.Rig, share float64) {
	for _, worker := range r.Cloud.Workers() {
		worker.PullRate(share)
	}
}

// await waits until a list of what happened to a job is not empty.
func await[T any](list func(uid string) []T, uid string) bool {
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if len(list(uid)) > 0 {
			return true
		}
	}
	return false
}

// awaitDone waits until the user is told that the image's first job is done.
func awaitDone(r *rig.Rig, user *rig.Node) bool {
	for range 20 {
		if _, body := r.User(user, http.MethodGet, rig.JobPath(warmID), nil); rig.StatusOf(body) == "done" {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// judge checks the rule: the gang runs within 90 s after it was accepted, since two machines that fit
// hold nothing but its own attempts.
func judge(r *rig.Rig, user *rig.Node, accepted time.Time) int {
	for time.Since(accepted) < waiting {
		time.Sleep(200 * time.Millisecond)
		if at, ran := r.GangBegan(gangID); ran {
			r.Record.Add("the rule held: the gang runs %.1f s after it was accepted", at.Sub(accepted).Seconds())
			return 0
		}
	}
	_, body := r.User(user, http.MethodGet, rig.JobPath(gangID), nil)
	if strings.Contains(string(body), "cancelled") {
		return 2
	}
	r.Record.Add("BROKEN: the gang has not run %.0f s after it was accepted; %d launches of its two tasks",
		time.Since(accepted).Seconds(), len(r.Launches(gangID)))
	return 1
}
