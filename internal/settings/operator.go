package settings

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"

	"github.com/harrierreel/harrierreel/internal/calendar"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Operator holds the operators' settings, all of which are optional.
type Operator struct {
	StepS          float64            // seconds from one step of the autoscaler to the next
	PlanSteps      int                // steps that the autoscaler plans ahead
	Samples        int                // demand samples that the autoscaler draws for each step
	Tolerance      float64            // bound on the mean shortfall, as a share of the expected demand
	TrendSteps     int                // steps of history that the trend is fitted to
	NewLeaderSteps int                // steps for which a new leader scales out to current demand only
	DrainSteps     int                // length of a drain in steps
	ReviveSteps    int                // how many of DrainSteps a draining machine may be put back to use in
	MemberTTLS     float64            // duration of a controller's lease in seconds
	FinalCache     int                // number of final job states that a controller keeps in memory
	Failover       Failover           // when the others take over from a controller that has ended
	FollowCloud    bool               // warm standbys read the cloud's catalog and list, too
	TaskBatching   TaskBatching       // when tasks of many jobs share a batch record
	Pipelines      *Pipelines         // nil: turned off
	Quotas         *quota.Document    // nil: the platform's teams alone
	Calendar       *calendar.Document // nil: turned off
	Lending        *Lending           // nil: turned off
}

// Failover determines when the others take over from a controller that has ended.
type Failover string

// The values of Failover.
const (
	FailoverOnProbes      Failover = "calls" // when it does not answer a probe, or when its lease expires
	FailoverOnLeaseExpiry Failover = "lease" // when its lease expires
)

// TaskBatching determines when new tasks are stored in batch records, which many jobs share
// (package taskbatch).
type TaskBatching string

// The values of TaskBatching.
const (
	BatchingOff        TaskBatching = "off"
	BatchingWhenScarce TaskBatching = "scarce" // while there are more machines than writes a second
	BatchingAlways     TaskBatching = "always"
)

// Pipelines holds the limits on runs of pipeline files.
type Pipelines struct {
	MaxRuns     int     // maximum number of live runs
	MaxRunSteps int     // maximum number of their steps that have not ended
	WriteShare  float64 // share of the writes a second that runs may take
}

// Lending holds the settings for lending GPUs to services (package lending).
type Lending struct {
	ByPriority    bool    // if no job can lend, jobs of lower priority are preempted as without lending
	LendIntervalS float64 // seconds within which a job lends at most once
}

// operatorFile is the schema of the operators' HCL files.
type operatorFile struct {
	Scaler *struct {
		StepS      *float64 `hcl:"step_s,optional"`
		PlanSteps  *int     `hcl:"plan_steps,optional"`
		Samples    *int     `hcl:"samples,optional"`
		Tolerance  *float64 `hcl:"tolerance,optional"`
		TrendSteps *int     `hcl:"trend_steps,optional"`
		FreshSteps *int     `hcl:"fresh_steps,optional"`
	} `hcl:"scaler,block"`
	Drain *struct {
		Steps  *int `hcl:"steps,optional"`
		Revive *int `hcl:"revive_steps,optional"`
	} `hcl:"drain,block"`
	Members *struct {
		TTLS *float64 `hcl:"ttl_s,optional"`
	} `hcl:"members,block"`
	Users *struct {
		FinalCache *int `hcl:"final_cache,optional"`
	} `hcl:"users,block"`
	Standby *struct {
		TakeOver    *string `hcl:"take_over,optional"`
		FollowCloud *bool   `hcl:"follow_cloud,optional"`
	} `hcl:"standby,block"`
	Records *struct {
		Packs *string `hcl:"packs,optional"`
	} `hcl:"records,block"`
	Lending *struct {
		ByRank *bool    `hcl:"by_rank,optional"`
		AgainS *float64 `hcl:"again_s,optional"`
	} `hcl:"lending,block"`
	Quotas    *quota.Document    `hcl:"quotas,block"`
	Calendar  *calendar.Document `hcl:"calendar,block"`
	Pipelines *struct {
		MostRuns     *int     `hcl:"most_runs,optional"`
		MostSteps    *int     `hcl:"most_steps,optional"`
		ChangesShare *float64 `hcl:"changes_share,optional"`
	} `hcl:"pipelines,block"`
}

// DefaultOperator returns the settings that apply without an operators' file.
func DefaultOperator() Operator {
	return Operator{
		StepS:          tuning.AutoscalerStep.Seconds(),
		PlanSteps:      tuning.PlanSteps,
		Samples:        tuning.DemandSamples,
		Tolerance:      tuning.ShortfallTolerance,
		TrendSteps:     tuning.TrendSteps,
		NewLeaderSteps: tuning.NewLeaderSteps,
		DrainSteps:     tuning.DrainSteps,
		ReviveSteps:    tuning.ReviveSteps,
		MemberTTLS:     tuning.MemberTTL.Seconds(),
		FinalCache:     tuning.FinalCache,
		TaskBatching:   BatchingWhenScarce,
		Failover:       FailoverOnProbes,
	}
}

// loadOperator reads the operators' files, a comma-separated list, so that each file may turn on
// one feature. It returns all faults found.
func loadOperator(files string) (Operator, []error) {
	operator := DefaultOperator()
	if files == "" {
		return operator, nil
	}
	file, errs := decodeOperator(files)
	if len(errs) > 0 {
		return operator, errs
	}
	faults := &faultList{}
	file.applyScaler(&operator, faults)
	file.applyRecords(&operator, faults)
	file.applyStandby(&operator, faults)
	file.applyDrain(&operator, faults)
	file.applyLimits(&operator, faults)
	file.applyLending(&operator, faults)
	file.applyPipelines(&operator, faults)
	operator.Quotas = file.Quotas
	operator.Calendar = file.Calendar
	return operator, faults.errs
}

// decodeOperator parses the files and merges them. It returns all diagnostics of the parser if one
// of them is an error.
func decodeOperator(files string) (*operatorFile, []error) {
	parser := hclparse.NewParser()
	var parsed []*hcl.File
	var diagnostics hcl.Diagnostics
	for _, name := range strings.Split(files, ",") {
		file, found := parser.ParseHCLFile(strings.TrimSpace(name))
		diagnostics = append(diagnostics, found...)
		if file != nil {
			parsed = append(parsed, file)
		}
	}
	merged := &operatorFile{}
	diagnostics = append(diagnostics, gohcl.DecodeBody(hcl.MergeFiles(parsed), nil, merged)...)
	if !diagnostics.HasErrors() {
		return merged, nil
	}
	var errs []error
	for _, diagnostic := range diagnostics {
		errs = append(errs, diagnostic)
	}
	return nil, errs
}

func (f *operatorFile) applyScaler(operator *Operator, faults *faultList) {
	scaler := f.Scaler
	if scaler == nil {
		return
	}
	override(faults, "scaler.step_s", &operator.StepS, scaler.StepS, 1, 600)
	override(faults, "scaler.plan_steps", &operator.PlanSteps, scaler.PlanSteps, 1, 200)
	override(faults, "scaler.samples", &operator.Samples, scaler.Samples, 1, 10000)
	override(faults, "scaler.tolerance", &operator.Tolerance, scaler.Tolerance, 0, 1)
	override(faults, "scaler.trend_steps", &operator.TrendSteps, scaler.TrendSteps, 3, 200)
	override(faults, "scaler.fresh_steps", &operator.NewLeaderSteps, scaler.FreshSteps, 0, 200)
}

func (f *operatorFile) applyRecords(operator *Operator, faults *faultList) {
	if f.Records == nil || f.Records.Packs == nil {
		return
	}
	operator.TaskBatching = TaskBatching(*f.Records.Packs)
	known := []TaskBatching{BatchingOff, BatchingWhenScarce, BatchingAlways}
	faults.require(
		slices.Contains(known, operator.TaskBatching),
		"records.packs",
		fmt.Sprintf("is %q; expected %q, %q or %q", operator.TaskBatching, BatchingOff, BatchingWhenScarce, BatchingAlways),
	)
}

func (f *operatorFile) applyStandby(operator *Operator, faults *faultList) {
	standby := f.Standby
	if standby == nil {
		return
	}
	if standby.FollowCloud != nil {
		operator.FollowCloud = *standby.FollowCloud
	}
	if standby.TakeOver != nil {
		operator.Failover = Failover(*standby.TakeOver)
		faults.require(
			operator.Failover == FailoverOnProbes || operator.Failover == FailoverOnLeaseExpiry,
			"standby.take_over",
			fmt.Sprintf("is %q; expected %q or %q", operator.Failover, FailoverOnProbes, FailoverOnLeaseExpiry),
		)
	}
}

func (f *operatorFile) applyDrain(operator *Operator, faults *faultList) {
	if drain := f.Drain; drain != nil {
		override(faults, "drain.steps", &operator.DrainSteps, drain.Steps, 1, 100)
		override(faults, "drain.revive_steps", &operator.ReviveSteps, drain.Revive, 0, 100)
	}
	faults.require(
		operator.ReviveSteps <= operator.DrainSteps,
		"drain.revive_steps",
		"must not be above drain.steps",
	)
}

// applyLimits sets the duration of the controllers' leases and the size of the cache of final
// states.
func (f *operatorFile) applyLimits(operator *Operator, faults *faultList) {
	if members := f.Members; members != nil {
		override(faults, "members.ttl_s", &operator.MemberTTLS, members.TTLS, 1, 60)
	}
	if users := f.Users; users != nil {
		override(faults, "users.final_cache", &operator.FinalCache, users.FinalCache, 100, 1000000)
	}
}

func (f *operatorFile) applyLending(operator *Operator, faults *faultList) {
	if f.Lending == nil {
		return
	}
	lending := DefaultLending()
	override(faults, "lending.again_s", &lending.LendIntervalS, f.Lending.AgainS, 60, 86400)
	if f.Lending.ByRank != nil {
		lending.ByPriority = *f.Lending.ByRank
	}
	operator.Lending = lending
}

func (f *operatorFile) applyPipelines(operator *Operator, faults *faultList) {
	if f.Pipelines == nil {
		return
	}
	limits := DefaultPipelines()
	override(faults, "pipelines.most_runs", &limits.MaxRuns, f.Pipelines.MostRuns, 1, 100000)
	override(faults, "pipelines.most_steps", &limits.MaxRunSteps, f.Pipelines.MostSteps, 1, 1000000)
	override(faults, "pipelines.changes_share", &limits.WriteShare, f.Pipelines.ChangesShare, 0.01, 1)
	operator.Pipelines = limits
}

// DefaultLending returns the settings for lending if a file turns it on and sets nothing else.
func DefaultLending() *Lending {
	return &Lending{ByPriority: true, LendIntervalS: tuning.LendInterval.Seconds()}
}

// DefaultPipelines returns the limits on runs if a file turns pipelines on and sets none.
func DefaultPipelines() *Pipelines {
	return &Pipelines{
		MaxRuns:     tuning.MaxRuns,
		MaxRunSteps: tuning.MaxRunSteps,
		WriteShare:  tuning.RunWriteShare,
	}
}

// override replaces a setting by the file's value if there is one. A value out of bounds is a fault
// and not used.
func override[T int | float64](faults *faultList, field string, setting, value *T, low, high T) {
	if value == nil {
		return
	}
	if math.IsNaN(float64(*value)) || *value < low || *value > high {
		faults.require(false, field, fmt.Sprintf("%v is outside %v to %v", *value, low, high))
		return
	}
	*setting = *value
}
