package tuning

import "time"

// The leader: scheduling, preemption, provisioning.
const (
	// LateJobHorizon is the age up to which a job that has missed all of its class's objectives
	// waits behind those that can still meet theirs.
	LateJobHorizon = 10 * time.Minute
	// OverdueAfter is the wait after which a job that has not started is overdue: it goes first
	// among the jobs of its priority and its team's fair share. Users give the largest jobs 240 s
	// to start; a boot and the pull of a large image take up to 100 s of them.
	OverdueAfter = 110 * time.Second
	// OverdueMargin makes a job overdue that long before the last of its class's objectives for
	// starting, if that is earlier than OverdueAfter and the objective is at least
	// MinOverdueObjective. It is about the time of a boot and a pull.
	OverdueMargin = 45 * time.Second
	// MinOverdueObjective is the shortest last objective for starting to which OverdueMargin and
	// GangOverdueMargin apply. Freeing capacity takes longer than a shorter objective: for those
	// only OverdueAfter and GangOverdueAfter apply.
	MinOverdueObjective = 75 * time.Second
	// GangOverdueAfter is the wait after which a gang of more than HoldEach tasks, all of which
	// start together, is overdue. In an overload the old large gangs then go before the small ones,
	// and fewer meet any objective: on the fleet's busy day 0.78 of class fit-trainer's gangs
	// started within 150 s where none was overdue, and 0.60 where all gangs were overdue after 105
	// s or 120 s. The rest of the 240 s is for a boot and a pull.
	GangOverdueAfter = 160 * time.Second
	// GangOverdueMargin makes a large gang overdue that long after the last of its class's
	// objectives for starting, if that is earlier than GangOverdueAfter. Capacity for 16 whole
	// machines in one zone takes up to two minutes to become free; of the gangs that were overdue
	// at 160 s, a third started after 240 s.
	GangOverdueMargin = 10 * time.Second
	// OverdueStartDivisor determines how many tasks of an overdue job go first: one, and one more
	// for each OverdueStartDivisor tasks of the job. They show that the job runs and what its tasks
	// take. More would delay the smaller jobs that it has waited behind.
	OverdueStartDivisor = 16
	// HoldShare is the maximum share of the machines held for tasks that need more than is free on
	// any machine and, separately, the maximum share accumulated for large gangs.
	HoldShare = 0.25
	// StarvingAfter is how long capacity for a job may be free, but held for others, before the
	// job starts. Users accept no wait of 90 s while a machine that fits has room; the rest is for
	// the checks, the writes and the owner's own time.
	StarvingAfter = 70 * time.Second
	// StarvingEvery is the interval at which a waiting job is checked for starvation.
	StarvingEvery = 3 * time.Second
	// JointStartAfter is how long a job must have starved to start together with one that has
	// starved for StarvingAfter. Between such starts the capacity held for a large gang then stays
	// whole for a minute and is not used up piece by piece.
	JointStartAfter = 10 * time.Second
	// StarvingGap is the time without free capacity after which a job no longer counts as starving.
	// In a shorter gap another starving job has used the capacity.
	StarvingGap = 30 * time.Second
	// StarvingMinAge is the minimum age of a job that is checked. Most jobs have started by then.
	StarvingMinAge = 15 * time.Second
	// MaxStarvingExamined is the maximum number of jobs checked in one scheduling cycle. Each check
	// examines all machines.
	MaxStarvingExamined = 20
	// GatherTasks is the number of a job array's tasks that are placed together while writes are
	// scarce. If fewer fit, they wait for more capacity, so that they share a task range.
	GatherTasks = 8
	// GatherFor is how long such tasks wait for more capacity, and how long ended tasks wait for
	// others, while writes are scarce. Users expect to see a task's end within 3 s, which must also
	// leave time for the end of its job.
	GatherFor = 900 * time.Millisecond
	// MaxPreemptingTasks is the maximum number of a job's tasks that one scheduling cycle examines
	// beyond those that fit into free capacity. Other tasks may be preempted for them.
	MaxPreemptingTasks = 12
	// MaxHeldMachines is the maximum number of machines newly held in one scheduling cycle. Each
	// choice examines all machines.
	MaxHeldMachines = 16
	// AccumulationZoneTimeout is the time without progress after which capacity for a large gang is
	// accumulated in another zone. It is longer than machines take to boot.
	AccumulationZoneTimeout = 60 * time.Second
	// AccumulationRetry is the pause before the busy machines held for a large gang are chosen
	// anew. Each choice examines all tasks of a zone.
	AccumulationRetry = 5 * time.Second
	// HoldInterval is the pause before the machines held for a job are chosen anew.
	HoldInterval = 500 * time.Millisecond
	// HoldEach is the maximum number of machines held for one job. A gang of more tasks is large:
	// capacity is accumulated for it instead.
	HoldEach = 4
	// MaxPreemptionSearches is the maximum number of searches for tasks to preempt in one
	// scheduling cycle. Each examines all machines and their tasks.
	MaxPreemptionSearches = 4
	// MoveEvery is the interval at which replicas are moved off draining machines.
	MoveEvery = 3 * time.Second
	// MovesShare is the number of replicas moved at a time as a share of the number of machines; at
	// least one is moved.
	MovesShare = 0.005
	// MinReplicaAge is the minimum age of a replica that is moved: the start of a younger one would
	// have been wasted.
	MinReplicaAge = 35 * time.Second
	// MaxActiveTasks is the maximum number of a job's tasks that are released or on machines at
	// once. A machine with hundreds of short tasks reports all of them twice a second.
	MaxActiveTasks = 8000
	// MaxExaminedTasks is the maximum number of tasks examined for release in one scheduling cycle.
	// It bounds the duration of a cycle while very large job arrays wait.
	MaxExaminedTasks = 400
	// MaxExaminedWithoutBudget replaces MaxExaminedTasks while there is no budget for any write.
	// Such a cycle only finds out which jobs lack capacity.
	MaxExaminedWithoutBudget = 100
	// UnplacedChargeTimeout is how long a job without capacity is charged to its team's limit ahead
	// of the team's other jobs. It is longer than most machines take to boot (45 s), and shorter
	// than the 90 s for which users let a job wait beside a machine with room.
	UnplacedChargeTimeout = 60 * time.Second
	// AvoidFor is how long a machine is not proposed after a task that was released for it was
	// not placed there in time.
	AvoidFor = 8 * time.Second
	// DecommissionEvery is the interval of the checks for machines to delete.
	DecommissionEvery = 500 * time.Millisecond
	// GiveUpUnresponsiveAfter is the time after which an unresponsive machine that no controller
	// hears from is given up and deleted. One that hangs may recover, but its tasks start sooner
	// elsewhere.
	GiveUpUnresponsiveAfter = 3 * time.Second
	// MaxUnresponsiveShare is the share of all machines up to which unresponsive machines are given
	// up after GiveUpUnresponsiveAfter. If more are unresponsive at once, the network is the
	// likelier cause, and they are deleted only after their leases have expired.
	MaxUnresponsiveShare = 0.34
	// MinPartitionSample is the minimum number of unresponsive machines of a zone or an owner for
	// it to be considered partitioned. It is also the number of agents that a controller outside
	// the view probes.
	MinPartitionSample = 4
	// PartitionShare is the share of the machines of a zone or an owner beyond which it is
	// considered partitioned if they are unresponsive.
	PartitionShare = 0.5
	// MaxSummaryParts is the maximum number of values of the state service that the provisioning
	// summary takes. With 4,000 machines that drain at once and 4,000 just launched it takes 13
	// values of 8 KiB, written once a step.
	MaxSummaryParts = 100
	// SummaryHistory is the number of steps of demand history kept per group in the summary.
	SummaryHistory = 12
	// PatientPriceRatio is the multiple of the lowest price among a task's pools up to which a
	// machine is launched for a task that can still wait.
	PatientPriceRatio = 1.5
	// MaxLaunchRounds is the maximum number of further rounds of launch requests in one step after
	// refusals.
	MaxLaunchRounds = 4
	// CloudQueue is the maximum number of calls that wait for the cloud's rate limit.
	CloudQueue = 60
	// CatalogAgain is the pause after a failed read of the cloud's catalog.
	CatalogAgain = 2 * time.Second
	// ForgetGone is how long machines that are no longer listed by the cloud are remembered.
	ForgetGone = 10 * time.Minute
	// DeleteAgain is the pause before an unanswered delete request is repeated.
	DeleteAgain = 9 * time.Second
	// MaxLaunchRetries is the number of times that an unanswered or rate-limited launch request is
	// repeated under its ID.
	MaxLaunchRetries = 3
	// PreemptionWait is how long a task waits for capacity that is being freed for it on a machine
	// that holds its image.
	PreemptionWait = 1500 * time.Millisecond
	// PreemptInterval is the pause before tasks are preempted once more for the same task.
	PreemptInterval = 10 * time.Second
)
