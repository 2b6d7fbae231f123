// Command 5 shows an accepted job that never runs: its task failed once on the only machine that fits,
// while that machine failed every task, and is never tried there again.
package main

import (
	"net/http"
	"os"
	"time"

	"github.com/harrierreel/harrierreel/review/rig"
)

const (
	guardID   = "wk-000401" // a service that keeps the machine in use
	jobID     = "wk-000402" // submitted while the machine fails every task
	controlID = "wk-000403" // the same, submitted afterwards
	site      = "brescia"
	sick      = 3 * time.Second
	waiting   = 90 * time.Second // LATER: "no job is left waiting for 90 s"
)

func main() { os.Exit(rig.Run(os.Args[1], rig.VoltaCluster(), play)) }

// spec returns a job for a grossa in the zone; a piccola has too few GPUs.
func spec(uid, shape string, cores, gpus, memory float64) map[string]any {
	return rig.Spec(uid, map[string]any{
		"jobclass": "cell-trainer", "owner": "modelli", "shape": shape, "cores": cores, "accelerators": gpus,
		"memory_gb": memory, "bundle": "img-cells", "site": site, "builds": []string{"grossa"}, "expect_s": 5.0,
	})
}

// play plays the case and returns the exit code.
func play(r *rig.Rig) int {
	user := r.Nodes[0]
	if !r.Submit(user, rig.Job{Spec: spec(guardID, "standing", 5, 1, 29)}) || !awaitStart(r, guardID) {
		return 2
	}
	machine := r.Starts(guardID)[0].Machine
	if os.Getenv("TROUBLE") != "0" {
		r.WorkerNamed(machine).Sick(true)
	}
	if !r.Submit(user, rig.Job{Spec: spec(jobID, "sweep", 28, 4, 200), RunS: 5}) || !awaitStart(r, jobID) {
		return 2
	}
	time.Sleep(sick)
	r.WorkerNamed(machine).Sick(false)
	over := time.Now()
	if !r.Submit(user, rig.Job{Spec: spec(controlID, "sweep", 28, 4, 200), RunS: 5}) {
		return 2
	}
	for time.Since(over) < waiting+time.Second {
		time.Sleep(3 * time.Second)
		_, body := r.User(user, http.MethodGet, rig.JobPath(jobID), nil)
		if rig.StatusOf(body) == "done" {
			r.Record.Add("the rule held")
			return 0
		}
		r.User(user, http.MethodGet, rig.JobPath(controlID), nil)
	}
	return judge(r, machine, over)
}

// awaitStart waits until a task of a job has started.
func awaitStart(r *rig.Rig, uid string) bool {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if len(r.Starts(uid)) > 0 {
			return true
		}
	}
	return false
}

// judge checks the rule: the job doesn't wait for 90 s after the trouble while a machine that fits has
// room. That it fits and has room is what the control job shows, which ran on it to its end and was the
// only other work there beside the service.
func judge(r *rig.Rig, machine string, over time.Time) int {
	_, body := r.User(r.Nodes[0], http.MethodGet, rig.JobPath(controlID), nil)
	if rig.StatusOf(body) != "done" || r.WorkerNamed(machine) == nil {
		r.Record.Add("the control job didn't run, or the machine was returned")
		return 2
	}
	for _, start := range r.Starts(jobID) {
		if start.At.After(over) {
			r.Record.Add("the rule held: it was tried again")
			return 0
		}
	}
	r.Record.Add("BROKEN: %s waits for %.0f s since the trouble, and was not tried again on %s, which has room",
		jobID, time.Since(over).Seconds(), machine)
	return 1
}
