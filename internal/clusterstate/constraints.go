package clusterstate

import (
	"slices"

	"github.com/harrierreel/harrierreel/internal/jobs"
)

// TasksByZone returns the number of the job's tasks in each zone. It counts released tasks, every
// attempt that is still on a machine, and reservations. It counts nothing for jobs without zone
// constraints.
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

// zoneOfPlaced returns the zone of a task on a machine: the zone of the machine or, if that is
// unknown, the zone that the task was released to.
func (s *State) zoneOfPlaced(t *Task) string {
	if m := s.Machines[t.Machine]; m != nil && m.Zone != "" {
		return m.Zone
	}
	return t.Zone
}

// ZoneAllowed reports whether one more task of the job may be placed in a zone, given the number
// of the job's tasks in each zone.
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

// WithoutPreference returns a copy of the task without its own zone, preferred machine and failed
// machines, for checks that concern the whole job.
func (t *Task) WithoutPreference() *Task {
	return &Task{Task: jobs.Task{State: t.State}, ID: t.ID, Index: t.Index, Job: t.Job}
}

// SatisfiesConstraints reports whether a machine satisfies the task's constraints on machine type,
// zone and spot machines, and is not one on which the task failed before. It does not check free
// resources.
func SatisfiesConstraints(t *Task, m *Machine) bool {
	return t.Job.Record.Spec.Allows(m.MachineType, m.Zone, m.Spot) &&
		(t.Zone == "" || t.Zone == m.Zone) &&
		!slices.Contains(t.FailedOn, m.Name)
}
