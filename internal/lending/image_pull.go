package lending

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
)

// ImagePullS is how long a machine takes to have a job's image, in seconds. Pulls on one machine
// share its rate, so those under way count.
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
	leftGB := map[string]float64{} // by image
	for _, task := range state.TasksOnMachine[machine.Name] {
		if task.Job.Record == nil || task.State != jobs.Placed {
			continue
		}
		other := &task.Job.Record.Spec
		left := 0.0 // a task that runs has its image
		if !task.ObservedRunning {
			left = max(other.ImageGB-now.Sub(task.StateSince).Seconds()*machineType.ImageGBPerS, 0)
		}
		// The oldest task of an image began the pull.
		if known, pulling := leftGB[other.Image]; !pulling || left < known {
			leftGB[other.Image] = left
		}
	}
	sumGB := spec.ImageGB
	for _, left := range leftGB {
		// Two pulls share the rate until the shorter is done.
		sumGB += min(left, spec.ImageGB)
	}
	return sumGB / machineType.ImageGBPerS
}
