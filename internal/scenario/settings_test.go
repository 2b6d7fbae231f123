package scenario

import "github.com/harrierreel/harrierreel/internal/settings"

// settingFuncs apply the lines without a time, by their first word; words are all words of the
// line.
var settingFuncs = map[string]func(s *script, words []string){
	"nodes":        (*script).setNodes,
	"team":         (*script).setTeam,
	"machine":      (*script).setMachine,
	"machines":     (*script).setMachines,
	"old":          (*script).setOld,
	"scarce":       (*script).setScarce,
	"in-time":      (*script).setInTime,
	"report":       (*script).setReport,
	"budget":       (*script).setBudget,
	"capacity":     (*script).setCapacity,
	"cloud":        (*script).setCloud,
	"lists":        (*script).setLists,
	"follow-cloud": (*script).setFollowCloud,
	"lease":        (*script).setLease,
	"cancel":       (*script).setCancel,
	"values":       (*script).setValues,
	"quotas":       (*script).setQuotas,
	"pipelines":    (*script).setPipelines,
	"calendar":     (*script).setCalendar,
	"boots":        (*script).setBoots,
	"images":       (*script).setImages,
	"never":        (*script).setNever,
	"lending":      (*script).setLending,
}

// setting applies one line without a time.
func (s *script) setting(words []string) {
	apply := settingFuncs[words[0]]
	if apply == nil {
		s.fatal("unknown setting %q", words[0])
	}
	apply(s, words)
}

// setNodes executes "nodes COUNT": the number of controllers.
func (s *script) setNodes(words []string) {
	s.nodeCount = int(s.number(words[1]))
	s.set.Cluster.Size = s.nodeCount
}

// setTeam executes "team NAME MAX [GUARANTEE]".
func (s *script) setTeam(words []string) {
	team := settings.Team{Name: words[1], GpusMax: s.number(words[2])}
	if len(words) > 3 {
		team.Gpus = s.number(words[3])
	}
	s.set.Cluster.Teams = append(s.set.Cluster.Teams, team)
	s.sim.TeamLimits[words[1]] = team.GpusMax
}

// setMachine executes "machine BUILD SITE [cheap]": an initial machine; cheap ones are spot.
func (s *script) setMachine(words []string) {
	s.machines = append(s.machines, s.sim.Cloud.AddRunning(words[1], words[2], len(words) > 3))
}

// setMachines executes "machines COUNT BUILD SITE".
func (s *script) setMachines(words []string) {
	for range int(s.number(words[1])) {
		s.machines = append(s.machines, s.sim.Cloud.AddRunning(words[2], words[3], false))
	}
}

// setOld executes "old NODE": the controller runs a version that does not answer standby calls.
func (s *script) setOld(words []string) {
	s.unresponsive = append(s.unresponsive, words[1])
}

// setScarce executes "scarce": skip the check that half of each class, team and largest tenth
// starts.
func (s *script) setScarce(_ []string) {
	s.skipServedCheck = true
}

// setInTime executes "in-time": the largest jobs of each class must start within four minutes.
func (s *script) setInTime(_ []string) {
	s.inTime = true
}

// setReport executes "report SECONDS": the interval of the workers' reports.
func (s *script) setReport(words []string) {
	s.sim.HeartbeatS = s.number(words[1])
	s.set.Cluster.Workers.HeartbeatS = s.sim.HeartbeatS
}

// setBudget executes "budget REQUESTS WRITES": the limits per second that the state service
// enforces.
func (s *script) setBudget(words []string) {
	s.set.Cluster.State.RPS, s.set.Cluster.State.WriteRPS = s.number(words[1]), s.number(words[2])
	s.sim.Store.RPS, s.sim.Store.WPS = s.number(words[1]), s.number(words[2])
}

// setCapacity executes "capacity MACHINES": the most machines that the cloud has.
func (s *script) setCapacity(words []string) {
	s.sim.Cloud.Limit = int(s.number(words[1]))
}

// setCloud executes "cloud REQUESTS": the request limit of the cloud per second.
func (s *script) setCloud(words []string) {
	s.set.Cluster.Cloud.RPS = s.number(words[1])
}

// setLists executes "lists SECONDS": the lag of the cloud's lists.
func (s *script) setLists(words []string) {
	s.sim.Cloud.LagS = s.number(words[1])
	s.set.Cluster.Cloud.ListLagS = s.sim.Cloud.LagS
}

// setFollowCloud executes "follow-cloud": standby controllers read the cloud's list.
func (s *script) setFollowCloud(_ []string) {
	s.set.Operator.FollowCloud = true
}

// setLease executes "lease SECONDS": the lease of the workers.
func (s *script) setLease(words []string) {
	s.sim.LeaseS = s.number(words[1])
	s.set.Cluster.Workers.LeaseS = s.sim.LeaseS
}

// setCancel executes "cancel SECONDS": a cancelled job's tasks must be gone that soon after its
// user was told.
func (s *script) setCancel(words []string) {
	s.sim.CancelS = s.number(words[1])
	s.set.Cluster.Workers.CancelS = s.sim.CancelS
}

// setValues executes "values KIBIBYTES OPERATIONS": the size limits of a value and of a
// transaction.
func (s *script) setValues(words []string) {
	s.set.Cluster.State.ValueKB, s.set.Cluster.State.TxnOps = s.number(words[1]), int(s.number(words[2]))
}

// setQuotas executes "quotas FILE": the initial quota tree, from testdata/quotas.
func (s *script) setQuotas(words []string) {
	s.set.Operator.Quotas = s.quotas(words[1])
}

// setPipelines executes "pipelines [MOST_RUNS]": turns pipelines on.
func (s *script) setPipelines(words []string) {
	s.set.Operator.Pipelines = settings.DefaultPipelines()
	if len(words) > 1 {
		s.set.Operator.Pipelines.MaxRuns = int(s.number(words[1]))
	}
}

// setCalendar executes "calendar FILE": turns on a calendar of testdata/calendars.
func (s *script) setCalendar(words []string) {
	s.set.Operator.Calendar = s.calendar(words[1])
}

// setBoots executes "boots SECONDS": the boot time of a rented machine, plus or minus a fifth.
func (s *script) setBoots(words []string) {
	s.sim.Cloud.BootS = s.number(words[1])
}

// setImages executes "images": machines never evict images that they have fetched.
func (s *script) setImages(_ []string) {
	s.sim.KeepImages = true
}

// setNever executes "never COUNT": the next COUNT machines never boot.
func (s *script) setNever(words []string) {
	s.sim.Cloud.NeverBoot = int(s.number(words[1]))
}

// setLending executes "lending [strict]": turns lending on; strict disables preemption by rank.
func (s *script) setLending(words []string) {
	s.set.Operator.Lending = settings.DefaultLending()
	s.set.Operator.Lending.ByPriority = len(words) == 1
}
