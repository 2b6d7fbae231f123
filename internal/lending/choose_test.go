package lending

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
)

// planText is a plan's machine and the tasks that it stops.
func planText(plan Plan) string {
	var taskIDs []string
	for _, task := range plan.Tasks {
		taskIDs = append(taskIDs, task.ID)
	}
	slices.Sort(taskIDs)
	return plan.Machine + " " + strings.Join(taskIDs, " ")
}

// array submits a job array with one accelerator a task, some of them on one machine.
func (f *loanFixture) array(jobID, team, priority string, taskCount int, machine string, placed int) {
	f.job(jobID, team, jobs.JobArray, priority, "x", 1, taskCount, slices.Repeat([]string{machine}, placed)...)
}

func (f *loanFixture) passSeconds(seconds int) {
	f.state.Now = f.state.Now.Add(time.Duration(seconds) * time.Second)
}

type chooseCase struct {
	name  string
	need  float64 // accelerators of the replica
	setUp func(f *loanFixture)
	want  string // "" for none
}

var chooseArrayCases = []chooseCase{
	{"what lost least since its save", 1, func(f *loanFixture) {
		f.array("wk-1", "train", "standard", 8, "i-0", 4)
		f.passSeconds(100)
		f.array("wk-2", "train", "standard", 8, "i-1", 4)
		f.passSeconds(30) // both have their images
	}, "i-1 wk-2/0"},
	{"where the image is", 1, func(f *loanFixture) {
		f.array("wk-1", "train", "standard", 8, "i-0", 4)
		f.state.Images.Add("i-0", fleet.Image{Name: "weights", GB: 20}, 100)
		f.passSeconds(100)
		f.array("wk-2", "train", "standard", 8, "i-1", 4)
	}, "i-0 wk-1/0"},
	{"not below a guarantee", 1, func(f *loanFixture) {
		f.array("wk-1", "train", "standard", 4, "i-0", 4)
		f.array("wk-2", "batch", "standard", 8, "i-1", 4)
	}, "i-1 wk-2/0"},
	{"its own team's tasks of lower priority last", 1, func(f *loanFixture) {
		f.array("wk-1", "serve", "idle", 4, "i-0", 4)
		f.array("wk-2", "batch", "standard", 8, "i-1", 4)
	}, "i-1 wk-2/0"},
	{"but its own team's", 1, func(f *loanFixture) {
		f.array("wk-1", "serve", "idle", 4, "i-0", 4)
		f.array("wk-2", "train", "standard", 4, "i-1", 4)
	}, "i-0 wk-1/0"},
	{"nothing at the end of its run", 1, func(f *loanFixture) {
		f.array("wk-1", "batch", "idle", 4, "i-0", 4)
		f.passSeconds(590)
		f.array("wk-2", "serve", "prod", 4, "i-1", 4)
	}, ""},
	{"the fewest accelerators freed in vain", 1, func(f *loanFixture) {
		f.array("wk-2", "train", "standard", 8, "i-1", 4)
		f.passSeconds(240)
		f.job("wk-1", "train", jobs.JobArray, "standard", "x", 4, 2, "i-0")
		f.passSeconds(30)
	}, "i-1 wk-2/0"},
	{"two that go below together", 3, func(f *loanFixture) {
		f.array("wk-1", "batch", "standard", 3, "i-0", 3)
		f.array("wk-2", "serve", "prod", 4, "i-1", 3)
	}, ""},
	{"none while room is being freed", 1, func(f *loanFixture) {
		f.array("wk-1", "train", "standard", 8, "i-0", 4)
		f.array("wk-2", "train", "standard", 3, "i-1", 3)
	}, ""},
}

var chooseGangCases = []chooseCase{
	{"a gang as a whole", 1, func(f *loanFixture) {
		f.job("wk-1", "train", jobs.Gang, "standard", "x", 4, 2, "i-0", "i-1")
		f.job("wk-2", "train", jobs.JobArray, "standard", "x", 4, 1, "i-2")
	}, "i-0 wk-1/0 wk-1/1"},
	{"no gang that has lost a task", 1, func(f *loanFixture) {
		f.job("wk-1", "train", jobs.Gang, "standard", "x", 4, 3, "i-0", "i-1")
		f.job("wk-2", "train", jobs.JobArray, "standard", "x", 4, 1, "i-2")
	}, ""},
	{"no gang with an unreachable machine", 1, func(f *loanFixture) {
		f.job("wk-1", "train", jobs.Gang, "standard", "x", 4, 2, "i-0", "i-1")
		f.job("wk-2", "train", jobs.JobArray, "standard", "x", 4, 1, "i-2")
		f.setMachine(1, fleet.LegacyUnresponsive)
	}, ""},
	{"no gang that would take its team below", 1, func(f *loanFixture) {
		f.job("wk-1", "train", jobs.Gang, "standard", "x", 4, 2, "i-0", "i-1") // any one task could go
	}, ""},
}

func TestChooseStopsTheCheapestAllowedTasks(t *testing.T) {
	for _, c := range slices.Concat(chooseArrayCases, chooseGangCases) {
		t.Run(c.name, func(t *testing.T) {
			f := newLoanFixture(3)
			f.setMachine(2, fleet.Warned) // what is there counts for its team, and lends nothing
			c.setUp(f)
			got := ""
			replicas := f.job("wk-9", "serve", jobs.Service, "prod", "weights", c.need, 2)
			if plan, ok := f.choose(replicas, isUp); ok {
				got = planText(plan)
			}
			if got != c.want {
				t.Errorf("plan %q, want %q", got, c.want)
			}
		})
	}
}

// An image that a type's cache cannot hold is never planned there, and pulls share a machine's rate.
func TestChoosePlansImagePulls(t *testing.T) {
	f := newLoanFixture(1)
	service := f.job("wk-9", "serve", jobs.Service, "prod", "weights", 1, 2)
	f.job("wk-1", "batch", jobs.JobArray, "standard", "x", 2, 8, "i-0", "i-0")
	always := func(*clusterstate.Machine) bool { return true }
	// 20 GB, beside 20 of an image that is being pulled.
	if plan, ok := f.choose(service, always); !ok || plan.StartDelayS != 40 {
		t.Error(plan, ok)
	}
	f.state.MachineTypes["g4"].CacheGB = 10
	if plan, ok := f.choose(service, always); ok {
		t.Error(plan)
	}
}
