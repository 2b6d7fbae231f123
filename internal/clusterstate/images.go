package clusterstate

import (
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
)

// HasImage reports whether a machine probably has an image in its cache.
func (s *State) HasImage(machine, image string) bool { return s.Images.Has(machine, image) }

// addImage records that a task's image is on its machine or is being pulled to it.
func (s *State) addImage(t *Task) {
	m := s.Machines[t.Machine]
	if t.Job.Record == nil || m == nil {
		return
	}
	spec := &t.Job.Record.Spec
	cacheGB := 0.0
	if machineType := s.MachineTypes[m.MachineType]; machineType != nil {
		cacheGB = machineType.CacheGB
	}
	s.Images.Add(t.Machine, fleet.Image{
		Name:  spec.Image,
		GB:    spec.ImageGB,
		Since: s.Now,
		Ready: s.Now.Add(jobs.Seconds(s.pullSeconds(spec.ImageGB, m))),
	}, cacheGB)
}

// pullSeconds returns how long a machine takes to pull an image, or 0 if its pull rate is unknown.
func (s *State) pullSeconds(imageGB float64, m *Machine) float64 {
	machineType := s.MachineTypes[m.MachineType]
	if machineType == nil || machineType.ImageGBPerS <= 0 {
		return 0
	}
	return imageGB / machineType.ImageGBPerS
}

// releaseImage records in Images that a task left its machine without finishing, so that an
// unfinished pull of its image counts as aborted. It does nothing if another task on the machine
// uses the same image.
func (s *State) releaseImage(t *Task) {
	if t.Job.Record == nil || !t.OnMachine() {
		return
	}
	image := t.Job.Record.Spec.Image
	for _, other := range s.TasksOnMachine[t.Machine] {
		if other.Job.Record != nil && other.Job.Record.Spec.Image == image {
			return
		}
	}
	s.Images.Release(t.Machine, image, s.Now)
}
