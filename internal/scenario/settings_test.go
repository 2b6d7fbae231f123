package scenario

import "github.com/harrierreel/harrierreel/internal/settings"

// settingFuncs takes lines without a time, by their first word; words are all of a line's.
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

// setting takes a line without a time.
func (s *script) setting(words []string) {
	take := settingFuncs[words[0]]
	if take == nil {
		s.fatal("unknown setting %q", words[0])
	}
	take(s, words)
}

// setNodes: nodes COUNT.
func (s *script) setNodes(words []string) {
	s.size = int(s.number(words[1]))
	s.set.Cluster.Size = s.size
}

// setTeam: team NAME MAX [GUARANTEE].
func (s *script) setTeam(words []string) {
	team := settings.Team{Name: words[1], GpusMax: s.number(words[2])}
	if len(words) > 3 {
		team.Gpus = s.number(words[3])
	}
	s.set.Cluster.Teams = append(s.set.Cluster.Teams, team)
	s.w.TeamLimits[words[1]] = team.GpusMax
}

// setMachine: machine BUILD SITE [cheap].
func (s *script) setMachine(words []string) {
	s.machines = append(s.machines, s.w.Cloud.AddRunning(words[1], words[2], len(words) > 3))
}

// setMachines: machines COUNT BUILD SITE.
func (s *script) setMachines(words []string) {
	for range int(s.number(words[1])) {
		s.machines = append(s.machines, s.w.Cloud.AddRunning(words[2], words[3], false))
	}
}

// setOld: old NODE: its program does not answer calls.
func (s *script) setOld(words []string) {
	s.old = append(s.old, words[1])
}

// setScarce: scarce: there is no room for half of each class, team and largest tenth.
func (s *script) setScarce(_ []string) {
	s.scarce = true
}

// setInTime: in-time: each class's largest jobs are to begin within four minutes.
func (s *script) setInTime(_ []string) {
	s.inTime = true
}

// setReport: report SECONDS between the workers' reports.
func (s *script) setReport(words []string) {
	s.w.ReportS = s.number(words[1])
	s.set.Cluster.Workers.HeartbeatS = s.w.ReportS
}

// setBudget: budget REQUESTS WRITES a second, enforced by the state service.
func (s *script) setBudget(words []string) {
	s.set.Cluster.State.RPS, s.set.Cluster.State.WriteRPS = s.number(words[1]), s.number(words[2])
	s.w.Store.RPS, s.w.Store.WPS = s.number(words[1]), s.number(words[2])
}

// setCapacity: capacity MACHINES.
func (s *script) setCapacity(words []string) {
	s.w.Cloud.Limit = int(s.number(words[1]))
}

// setCloud: cloud REQUESTS a second.
func (s *script) setCloud(words []string) {
	s.set.Cluster.Cloud.RPS = s.number(words[1])
}

// setLists: lists SECONDS: how late the cloud's are.
func (s *script) setLists(words []string) {
	s.w.Cloud.LagS = s.number(words[1])
	s.set.Cluster.Cloud.ListLagS = s.w.Cloud.LagS
}

// setFollowCloud: follow-cloud: those that are to follow the leader read the cloud's list.
func (s *script) setFollowCloud(_ []string) {
	s.set.Operator.FollowCloud = true
}

// setLease: lease SECONDS of the workers.
func (s *script) setLease(words []string) {
	s.w.LeaseS = s.number(words[1])
	s.set.Cluster.Workers.LeaseS = s.w.LeaseS
}

// setCancel: cancel SECONDS: a cancelled job's tasks are to be gone so soon after its user was
// told.
func (s *script) setCancel(words []string) {
	s.w.CancelS = s.number(words[1])
	s.set.Cluster.Workers.CancelS = s.w.CancelS
}

// setValues: values KIBIBYTES OPERATIONS: of a value, and of a transaction.
func (s *script) setValues(words []string) {
	s.set.Cluster.State.ValueKB, s.set.Cluster.State.TxnOps = s.number(words[1]), int(s.number(words[2]))
}

// setQuotas: quotas FILE: the tree of testdata/quotas that is in force at first.
func (s *script) setQuotas(words []string) {
	s.set.Operator.Quotas = s.quotas(words[1])
}

// setPipelines: pipelines [MOST_RUNS]: turned on.
func (s *script) setPipelines(words []string) {
	s.set.Operator.Pipelines = settings.DefaultPipelines()
	if len(words) > 1 {
		s.set.Operator.Pipelines.MaxRuns = int(s.number(words[1]))
	}
}

// setCalendar: calendar FILE: of testdata/calendars, turned on.
func (s *script) setCalendar(words []string) {
	s.set.Operator.Calendar = s.calendar(words[1])
}

// setBoots: boots SECONDS: a machine that is rented is up so soon, a fifth more or less.
func (s *script) setBoots(words []string) {
	s.w.Cloud.BootS = s.number(words[1])
}

// setImages: images: machines keep those that they have fetched to the end.
func (s *script) setImages(_ []string) {
	s.w.KeepImages = true
}

// setNever: never COUNT: the next machines never come up.
func (s *script) setNever(words []string) {
	s.w.Cloud.Never = int(s.number(words[1]))
}

// setLending: lending [strict]: turned on, strict without preemption by rank.
func (s *script) setLending(words []string) {
	s.set.Operator.Lending = settings.DefaultLending()
	s.set.Operator.Lending.ByPriority = len(words) == 1
}
