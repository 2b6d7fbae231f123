package clusterstate

import (
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
)

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
