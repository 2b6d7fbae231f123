package book

import (
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Zones counts the job's tasks by zone, counting released ones and every old
// attempt that is still on a machine. Only jobs whose zones matter are counted.
func (b *Book) Zones(j *Job) map[string]int {
	out := map[string]int{}
	if j.Rec == nil || !j.Rec.Spec.SamePlace && !j.Rec.Spec.Scatter {
		return out
	}
	for _, t := range j.Active {
		switch {
		case t.State == jobs.Released:
			out[t.Site]++
		case t.On():
			if m := b.Machines[t.Host]; m != nil && m.Site != "" {
				out[m.Site]++
			} else {
				out[t.Site]++
			}
		}
	}
	for _, r := range b.Reserved {
		if r.Task.Job == j && j.Active[r.Task.N] == nil {
			out[r.Site]++
		}
	}
	return out
}

// Cached tells whether a machine probably holds an image.
func (b *Book) Cached(host, bundle string) bool { return b.Images.Has(host, bundle) }

// sawImage notes that a task's image is on its machine.
func (b *Book) sawImage(t *Task) {
	m := b.Machines[t.Host]
	if t.Job.Rec == nil || m == nil {
		return
	}
	cache := 0.0
	image := fleet.Image{Bundle: t.Job.Rec.Spec.Bundle, GB: t.Job.Rec.Spec.PullGB, Since: b.Now, Ready: b.Now}
	if build := b.Builds[m.Build]; build != nil {
		cache = build.CacheGB
		if build.PullRate > 0 {
			image.Ready = b.Now.Add(jobs.Seconds(image.GB / build.PullRate))
		}
	}
	b.Images.Saw(t.Host, image, cache)
}

// leftImage notes that a task that is not done has left its machine.
func (b *Book) leftImage(t *Task) {
	if t.Job.Rec == nil || !t.On() {
		return
	}
	for _, o := range b.OnHost[t.Host] {
		if o.Job.Rec != nil && o.Job.Rec.Spec.Bundle == t.Job.Rec.Spec.Bundle {
			return
		}
	}
	b.Images.Left(t.Host, t.Job.Rec.Spec.Bundle, b.Now)
}

// ZoneAllowed tells whether one more task of the job may go into a zone.
func ZoneAllowed(spec *jobs.Spec, zones map[string]int, site string) bool {
	if spec.SamePlace {
		for z, c := range zones {
			if c > 0 && z != site {
				return false
			}
		}
	}
	return !spec.Scatter || zones[site] < spec.ZoneMost()
}

// Anywhere is the task without its own memory of machines, for questions about
// the whole job.
func (t *Task) Anywhere() *Task {
	return &Task{Task: jobs.Task{State: t.State}, Piece: t.Piece, N: t.N, Job: t.Job}
}

// Suits tells whether a task may be on a kind of machine, and on this one after
// what happened to it there.
func Suits(t *Task, m *Machine) bool {
	return t.Job.Rec.Spec.Allows(m.Build, m.Site, m.Loaner) && (t.Site == "" || t.Site == m.Site) && !slices.Contains(t.Bad, m.Name)
}

// Trust tells how far to trust a job by its tasks' records, and by a failure on
// one more machine that is not recorded yet.
func (b *Book) Trust(j *Job, host string) jobs.Trust {
	if j.Done > 0 || len(j.Again) == 0 && host == "" {
		return jobs.Trusted
	}
	bad := map[string]bool{}
	if host != "" {
		bad[host] = true
	}
	proven := false
	for _, some := range []map[int]*Task{j.Active, j.Again} {
		for _, t := range some {
			for _, b := range t.Bad {
				bad[b] = true
			}
			proven = proven || t.State == jobs.Placed && b.Now.Sub(t.Since) > b.provenAfter(t)
		}
	}
	return jobs.TrustOf(len(bad), proven)
}

// provenAfter is how long a task must have been on its machine to speak for its
// job: broken ones fail soon after their image has come.
func (b *Book) provenAfter(t *Task) time.Duration {
	pull := 0.0
	if m := b.Machines[t.Host]; m != nil && b.Builds[m.Build] != nil && b.Builds[m.Build].PullRate > 0 {
		pull = t.Job.Rec.Spec.PullGB / b.Builds[m.Build].PullRate
	}
	return tuning.ProvenAfter + time.Duration(tuning.ProvenPulls*pull*float64(time.Second))
}
