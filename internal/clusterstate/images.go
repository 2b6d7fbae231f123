package clusterstate

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// HasImage reports whether a machine probably holds an image or is pulling it.
func (s *State) HasImage(machine, image string) bool { return s.Images.Has(machine, image) }

// ObserveImage records what a heartbeat shows of the image of a task on its machine: whether the
// machine holds it or is still pulling it. Right after its launch a task is shown to wait for its image
// whether or not the machine holds that.
func (s *State) ObserveImage(t *Task, held bool) {
	if t.Job.Record == nil {
		return
	}
	image := t.Job.Record.Spec.Image
	switch {
	case held == s.Images.Holds(t.Machine, image):
		// Every heartbeat lists every task, and mostly shows nothing new.
	case held:
		s.useImage(t, true)
	case s.Now.Sub(t.PlacedSince) >= tuning.PullShownAfter:
		s.Images.SetPulling(t.Machine, image, t.PlacedSince)
	}
}

// UseImages records the images of all tasks on machines. It must be called once all records were listed,
// since those of machines and machine types come after those of the tasks.
func (s *State) UseImages() {
	for _, machine := range SortedKeys(s.TasksOnMachine) {
		for _, taskID := range SortedKeys(s.TasksOnMachine[machine]) {
			s.useImage(s.TasksOnMachine[machine][taskID], false)
		}
	}
}

// useImage records that a task on a machine needs its image, and if held is set that the machine
// holds it.
func (s *State) useImage(t *Task, held bool) {
	m := s.Machines[t.Machine]
	if t.Job.Record == nil || m == nil {
		return
	}
	spec := &t.Job.Record.Spec
	cacheGB := 0.0
	if machineType := s.MachineTypes[m.MachineType]; machineType != nil {
		cacheGB = machineType.CacheGB
	}
	t.image = spec.Image
	s.Images.Use(t.Machine, fleet.Image{
		Name:     spec.Image,
		GB:       spec.ImageGB,
		PullTime: s.pullTime(spec.ImageGB, m),
		Since:    t.PlacedSince,
		Held:     held,
	}, cacheGB)
}

// pullTime returns how long a machine takes to pull an image by the catalogue, or 0 if its pull rate
// is unknown.
func (s *State) pullTime(imageGB float64, m *Machine) time.Duration {
	machineType := s.MachineTypes[m.MachineType]
	if machineType == nil || machineType.ImageGBPerS <= 0 {
		return 0
	}
	return jobs.Seconds(imageGB / machineType.ImageGBPerS)
}

// releaseImage records that a task left its machine, unless another task there needs the same image.
// The task must already be removed from the index of tasks on machines.
func (s *State) releaseImage(t *Task) {
	for _, other := range s.TasksOnMachine[t.Machine] {
		if other.image == t.image {
			return
		}
	}
	s.Images.Release(t.Machine, t.image, s.Now)
}

// holdImageOf records that a task's machine holds its image if the task's next record shows that.
// The record shows it if the task is done, and if it is a gang's task that had been on the machine for
// as long as it waits for its gang: it ends by itself then, which it does only with its image, or it
// is stopped for want of its gang, which its owner does only once the image is there.
func (s *State) holdImageOf(previous *Task, next *jobs.Task) {
	if !previous.OnMachine() || previous.Job.Record == nil {
		return
	}
	gaveUp := previous.Job.Record.Spec.Kind == jobs.Gang && next.State == jobs.Pending &&
		(previous.State == jobs.Placed || previous.Reason == jobs.ReasonGangNotWhole)
	if next.State == jobs.Finished || gaveUp && s.Now.Sub(previous.PlacedSince) >= s.GangWait {
		s.useImage(previous, true)
	}
}

// holdImagesOfDone records that the machines hold the images of those tasks of a job that are on
// machines while the job's live record is removed. Only a job that is done loses its record so: that of
// a cancelled job is removed when none of its tasks is on a machine any more.
func (s *State) holdImagesOfDone(j *Job) {
	for _, t := range j.Active {
		if t.OnMachine() {
			s.useImage(t, true)
		}
	}
}
