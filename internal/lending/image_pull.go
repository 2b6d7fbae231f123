package lending

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
)

// ImagePullS returns the estimated seconds until a machine has a job's image. Image pulls on one
// machine share its pull rate, so those in progress are included.
func ImagePullS(
	state *clusterstate.State,
	now time.Time,
	machine *clusterstate.Machine,
	machineType *jobs.MachineType,
	spec *jobs.Spec,
) float64 {
	if state.HasImage(machine.Name, spec.Image) || machineType.ImageGBPerS <= 0 {
		return 0
	}
	leftGB := map[string]float64{} // still to pull, by image
	for _, task := range state.TasksOnMachine[machine.Name] {
		if task.Job.Record == nil || task.State != jobs.Placed {
			continue
		}
		other := &task.Job.Record.Spec
		left := 0.0 // for a running task, whose image is already on the machine
		if !task.ObservedRunning {
			left = max(other.ImageGB-now.Sub(task.StateSince).Seconds()*machineType.ImageGBPerS, 0)
		}
		// The pull of an image began with its oldest task.
		if known, pulling := leftGB[other.Image]; !pulling || left < known {
			leftGB[other.Image] = left
		}
	}
	sumGB := spec.ImageGB
	for _, left := range leftGB {
		// Two pulls share the rate until the shorter one is done.
		sumGB += min(left, spec.ImageGB)
	}
	return sumGB / machineType.ImageGBPerS
}
