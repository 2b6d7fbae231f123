package clusterstate

import (
	"slices"

	"github.com/harrierreel/harrierreel/internal/jobs"
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
