package rig

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// rules holds what the rules of PROTOCOL are checked against. The rig's lock guards it.
type rules struct {
	on     map[string]map[string]uint64 // by task, the machines that it is on, with the attempt
	done   map[string]map[string]bool   // by job, the tasks that completed
	told   map[string]told              // by job, the end that a user was told
	broken []string
}

// told is the first end of a job that a user was told.
type told struct {
	status string
	at     time.Time
}

func newRules() rules {
	return rules{on: map[string]map[string]uint64{}, done: map[string]map[string]bool{}, told: map[string]told{}}
}

// Broken returns the broken rules.
func (r *Rig) Broken() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.rules.broken)
}

func (r *Rig) breakRule(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	r.Record.Add("BROKEN %s", line)
	r.rules.broken = append(r.rules.broken, line)
}

// checkStart checks a start. The caller holds the lock, as for the other checks.
func (r *Rig) checkStart(s Start) {
	machines := r.rules.on[s.Piece]
	if machines == nil {
		machines = map[string]uint64{}
		r.rules.on[s.Piece] = machines
	}
	for machine, try := range machines {
		if machine != s.Machine {
			r.breakRule("ran_twice: %s try %d on %s while try %d is on %s", s.Piece, s.Try, s.Machine, try, machine)
		}
	}
	machines[s.Machine] = s.Try
	uid, _ := splitPiece(s.Piece)
	if end := r.rules.told[uid]; end.status == "cancelled" && s.At.Sub(end.at) > seconds(r.Times.CancelS) {
		r.breakRule("ran_cancelled: %s starts", s.Piece)
	}
	r.checkQuota(uid)
}

// checkLaunch notes a launch that arrives after the user was told that the job is cancelled.
func (r *Rig) checkLaunch(l Launch) {
	uid, _ := splitPiece(l.Piece)
	if end := r.rules.told[uid]; end.status == "cancelled" && l.At.Sub(end.at) > 100*time.Millisecond {
		r.breakRule("launched_cancelled: %s, %.2f s after the answer", l.Piece, l.At.Sub(end.at).Seconds())
	}
}

// checkQuota checks the limit of a job's team.
func (r *Rig) checkQuota(uid string) {
	job := r.jobs[uid]
	if job == nil {
		return
	}
	used := 0.0
	for piece, machines := range r.rules.on {
		other, _ := splitPiece(piece)
		if o := r.jobs[other]; o != nil && o.Spec["owner"] == job.Spec["owner"] {
			used += float64(len(machines)) * number(o.Spec["accelerators"])
		}
	}
	for _, team := range r.options.Teams {
		if team.Name == job.Spec["owner"] && used > team.GpusMax {
			r.breakRule("quota: %s uses %g of %g", team.Name, used, team.GpusMax)
		}
	}
}

func (r *Rig) noteEnd(machine string, t *task, cause string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.rules.on[t.piece], machine)
	if cause == "done" {
		uid, _ := splitPiece(t.piece)
		if r.rules.done[uid] == nil {
			r.rules.done[uid] = map[string]bool{}
		}
		r.rules.done[uid][t.piece] = true
	}
}

// Told checks what a user was told about a job. asked is when the question was sent.
func (r *Rig) Told(uid, status string, asked time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	end, ended := r.rules.told[uid]
	if ended && end.status != status && asked.After(end.at) {
		r.breakRule("went_back: %s was called %s, then %s", uid, end.status, status)
	}
	if ended || status != "done" && status != "cancelled" {
		return
	}
	r.rules.told[uid] = told{status, time.Now()}
	if job := r.jobs[uid]; status == "done" && float64(len(r.rules.done[uid])) < number(job.Spec["pieces"]) &&
		job.Spec["shape"] != "ensemble" {
		r.breakRule("not_done: %s", uid)
	}
}

// CheckCancelled checks that no task of a cancelled job is on a machine for longer than cancel_s.
func (r *Rig) CheckCancelled() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for piece, machines := range r.rules.on {
		uid, _ := splitPiece(piece)
		end := r.rules.told[uid]
		if end.status == "cancelled" && len(machines) > 0 && time.Since(end.at) > seconds(r.Times.CancelS) {
			r.breakRule("ran_cancelled: %s on %v", piece, slices.Collect(maps.Keys(machines)))
			delete(r.rules.on, piece)
		}
	}
}

// Note records a broken rule that a user met.
func (r *Rig) Note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breakRule(format, args...)
}

// Know makes a job known to the workers.
func (r *Rig) Know(job Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs[text(job.Spec["uid"])] = &job
}
