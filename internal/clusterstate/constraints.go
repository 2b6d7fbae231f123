package clusterstate

import (
	"slices"

	"github.com/harrierreel/harrierreel/internal/jobs"
)

// TasksByZone counts the job's tasks by zone: released ones, every attempt that is still on a
// machine, and releases under way. Only jobs whose zones matter are counted.
func (s *State) TasksByZone(j *Job) map[string]int {
	counts := map[string]int{}
	if j.Record == nil || !j.Record.Spec.SameZone && !j.Record.Spec.SpreadZones {
		return counts
	}
	for _, t := range j.Active {
		switch {
		case t.State == jobs.Assigned:
			counts[t.Zone]++
		case t.OnMachine():
			counts[s.zoneOfPlaced(t)]++
		}
	}
	for _, r := range s.Reservations {
		if r.Task.Job == j && j.Active[r.Task.Index] == nil {
			counts[r.Zone]++
		}
	}
	return counts
}

// zoneOfPlaced is the zone of a task on a machine: the machine's, or, while that is unknown, the
// one that the task was released to.
func (s *State) zoneOfPlaced(t *Task) string {
	if m := s.Machines[t.Machine]; m != nil && m.Zone != "" {
		return m.Zone
	}
	return t.Zone
}

// ZoneAllowed tells whether one more task of the job may go into a zone, given the job's tasks
// by zone.
func ZoneAllowed(spec *jobs.Spec, tasksByZone map[string]int, zone string) bool {
	if spec.SameZone {
		for other, count := range tasksByZone {
			if count > 0 && other != zone {
				return false
			}
		}
	}
	return !spec.SpreadZones || tasksByZone[zone] < spec.MaxPerZone()
}

// WithoutPreference is the task without its own record of machines and zones, for questions
// about the whole job.
func (t *Task) WithoutPreference() *Task {
	return &Task{Task: jobs.Task{State: t.State}, ID: t.ID, Index: t.Index, Job: t.Job}
}

// FitsTask tells whether a task may be on a machine by its kind, and after what failed for the
// task there. It says nothing of free resources.
func FitsTask(t *Task, m *Machine) bool {
	return t.Job.Record.Spec.Allows(m.MachineType, m.Zone, m.Spot) &&
		(t.Zone == "" || t.Zone == m.Zone) &&
		!slices.Contains(t.FailedOn, m.Name)
}
