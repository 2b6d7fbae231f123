package clusterstate

import (
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// TasksByZone counts the job's tasks by zone, counting released ones and every old
// attempt that is still on a machine. Only jobs whose zones matter are counted.
func (b *State) TasksByZone(j *Job) map[string]int {
	out := map[string]int{}
	if j.Record == nil || !j.Record.Spec.SameZone && !j.Record.Spec.SpreadZones {
		return out
	}
	for _, t := range j.Active {
		switch {
		case t.State == jobs.Released:
			out[t.Zone]++
		case t.OnMachine():
			if m := b.Machines[t.Machine]; m != nil && m.Zone != "" {
				out[m.Zone]++
			} else {
				out[t.Zone]++
			}
		}
	}
	for _, r := range b.Reservations {
		if r.Task.Job == j && j.Active[r.Task.Index] == nil {
			out[r.Zone]++
		}
	}
	return out
}

// HasImage tells whether a machine probably holds an image.
func (b *State) HasImage(machine, image string) bool { return b.Images.Has(machine, image) }

// noteImage notes that a task's image is on its machine.
func (b *State) noteImage(t *Task) {
	m := b.Machines[t.Machine]
	if t.Job.Record == nil || m == nil {
		return
	}
	cache := 0.0
	image := fleet.Image{Name: t.Job.Record.Spec.Image, GB: t.Job.Record.Spec.ImageGB, Since: b.Now, Ready: b.Now}
	if build := b.MachineTypes[m.MachineType]; build != nil {
		cache = build.CacheGB
		if build.ImageGBPerS > 0 {
			image.Ready = b.Now.Add(jobs.Seconds(image.GB / build.ImageGBPerS))
		}
	}
	b.Images.Add(t.Machine, image, cache)
}

// releaseImage notes that a task that is not done has left its machine.
func (b *State) releaseImage(t *Task) {
	if t.Job.Record == nil || !t.OnMachine() {
		return
	}
	for _, o := range b.TasksOnMachine[t.Machine] {
		if o.Job.Record != nil && o.Job.Record.Spec.Image == t.Job.Record.Spec.Image {
			return
		}
	}
	b.Images.Release(t.Machine, t.Job.Record.Spec.Image, b.Now)
}

// ZoneAllowed tells whether one more task of the job may go into a zone.
func ZoneAllowed(spec *jobs.Spec, zones map[string]int, zone string) bool {
	if spec.SameZone {
		for z, c := range zones {
			if c > 0 && z != zone {
				return false
			}
		}
	}
	return !spec.SpreadZones || zones[zone] < spec.MaxPerZone()
}

// WithoutPreference is the task without its own memory of machines, for questions about
// the whole job.
func (t *Task) WithoutPreference() *Task {
	return &Task{Task: jobs.Task{State: t.State}, ID: t.ID, Index: t.Index, Job: t.Job}
}

// FitsTask tells whether a task may be on a kind of machine, and on this one after
// what happened to it there.
func FitsTask(t *Task, m *Machine) bool {
	return t.Job.Record.Spec.Allows(m.MachineType, m.Zone, m.Spot) && (t.Zone == "" || t.Zone == m.Zone) && !slices.Contains(t.FailedOn, m.Name)
}

// Trust tells how far to trust a job by its tasks' records, and by a failure on
// one more machine that is not recorded yet.
func (b *State) Trust(j *Job, machine string) jobs.Trust {
	if j.DoneCount > 0 || len(j.Retrying) == 0 && machine == "" {
		return jobs.Trusted
	}
	bad := map[string]bool{}
	if machine != "" {
		bad[machine] = true
	}
	proven := false
	for _, some := range []map[int]*Task{j.Active, j.Retrying} {
		for _, t := range some {
			for _, b := range t.FailedOn {
				bad[b] = true
			}
			proven = proven || t.State == jobs.Placed && b.Now.Sub(t.Since) > b.provenAfter(t)
		}
	}
	return jobs.TrustOf(len(bad), proven)
}

// provenAfter is how long a task must have been on its machine to speak for its
// job: broken ones fail soon after their image has come.
func (b *State) provenAfter(t *Task) time.Duration {
	pull := 0.0
	if m := b.Machines[t.Machine]; m != nil && b.MachineTypes[m.MachineType] != nil && b.MachineTypes[m.MachineType].ImageGBPerS > 0 {
		pull = t.Job.Record.Spec.ImageGB / b.MachineTypes[m.MachineType].ImageGBPerS
	}
	return tuning.ProvenAfter + time.Duration(tuning.ProvenPulls*pull*float64(time.Second))
}
