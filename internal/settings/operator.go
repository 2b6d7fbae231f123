package settings

import (
	"fmt"
	"math"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"

	"github.com/harrierreel/harrierreel/internal/calendar"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Operator holds the operators' own settings. Every one is optional.
type Operator struct {
	StepS       float64
	PlanSteps   int
	Samples     int
	Tolerance   float64
	TrendSteps  int
	FreshSteps  int
	DrainSteps  int
	ReviveSteps int
	MemberTTLS  float64
	FinalCache  int
	TakeOver    TakeOver           // when a controller that has ended is known for dead
	FollowCloud bool               // those that are to follow the leader read the cloud's list, too
	Packs       Packs              // when tasks of many jobs share a record
	Pipelines   *Pipelines         // nil: turned off
	Quotas      *quota.Document    // nil: the platform's teams alone
	Calendar    *calendar.Document // nil: turned off
	Lending     *Lending           // nil: turned off
}

// TakeOver tells when others take over from a controller that has ended.
type TakeOver string

// When a controller that has ended is taken for dead.
const (
	TakeOverCalls TakeOver = "calls" // when it doesn't answer a call, or when its lease ends
	TakeOverLease TakeOver = "lease" // when its lease ends
)

// Packs tells when new tasks go into records that many jobs share (package taskbatch).
type Packs string

// When tasks are packed.
const (
	PacksOff    Packs = "off"
	PacksScarce Packs = "scarce" // where there are more machines than changes a second
	PacksAlways Packs = "always"
)

// Pipelines holds the limits on runs of pipeline files.
type Pipelines struct {
	MaxRuns      int     // live at once
	MaxSteps     int     // of them, not ended
	ChangesShare float64 // of a node's changes a second
}

// Lending is how GPUs are lent to serving (package lending).
type Lending struct {
	ByPriority bool    // where nobody can lend, lower ranks make way as without lending
	AgainS     float64 // seconds in which a job lends once
}

// operatorFile is the file's form.
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

// DefaultOperator is what holds without a file.
func DefaultOperator() Operator {
	return Operator{
		StepS:       tuning.Step.Seconds(),
		PlanSteps:   tuning.PlanSteps,
		Samples:     tuning.Samples,
		Tolerance:   tuning.Tolerance,
		TrendSteps:  tuning.TrendSteps,
		FreshSteps:  tuning.FreshSteps,
		DrainSteps:  tuning.DrainSteps,
		ReviveSteps: tuning.ReviveSteps,
		MemberTTLS:  tuning.MemberTTL.Seconds(),
		FinalCache:  tuning.FinalCache,
		Packs:       PacksScarce,
		TakeOver:    TakeOverCalls,
	}
}

// loadOperator reads the operators' files, named one behind the other with commas
// between: each may turn something on. Every fault is told.
func loadOperator(files string) (Operator, []error) {
	op := DefaultOperator()
	if files == "" {
		return op, nil
	}
	p := hclparse.NewParser()
	var parsed []*hcl.File
	var all hcl.Diagnostics
	for _, name := range strings.Split(files, ",") {
		f, diags := p.ParseHCLFile(strings.TrimSpace(name))
		all = append(all, diags...)
		if f != nil {
			parsed = append(parsed, f)
		}
	}
	var f operatorFile
	all = append(all, gohcl.DecodeBody(hcl.MergeFiles(parsed), nil, &f)...)
	if all.HasErrors() {
		var errs []error
		for _, d := range all {
			errs = append(errs, d)
		}
		return op, errs
	}
	c := &check{}
	if s := f.Scaler; s != nil {
		set(c, "scaler.step_s", &op.StepS, s.StepS, 1, 600)
		set(c, "scaler.plan_steps", &op.PlanSteps, s.PlanSteps, 1, 200)
		set(c, "scaler.samples", &op.Samples, s.Samples, 1, 10000)
		set(c, "scaler.tolerance", &op.Tolerance, s.Tolerance, 0, 1)
		set(c, "scaler.trend_steps", &op.TrendSteps, s.TrendSteps, 3, 200)
		set(c, "scaler.fresh_steps", &op.FreshSteps, s.FreshSteps, 0, 200)
	}
	if r := f.Records; r != nil && r.Packs != nil {
		op.Packs = Packs(*r.Packs)
		known := op.Packs == PacksOff || op.Packs == PacksScarce || op.Packs == PacksAlways
		c.that(
			known,
			"records.packs",
			fmt.Sprintf("is %q; expected %q, %q or %q", *r.Packs, PacksOff, PacksScarce, PacksAlways),
		)
	}
	if s := f.Standby; s != nil && s.FollowCloud != nil {
		op.FollowCloud = *s.FollowCloud
	}
	if s := f.Standby; s != nil && s.TakeOver != nil {
		op.TakeOver = TakeOver(*s.TakeOver)
		c.that(
			op.TakeOver == TakeOverCalls || op.TakeOver == TakeOverLease,
			"standby.take_over",
			fmt.Sprintf("is %q; expected %q or %q", *s.TakeOver, TakeOverCalls, TakeOverLease),
		)
	}
	if d := f.Drain; d != nil {
		set(c, "drain.steps", &op.DrainSteps, d.Steps, 1, 100)
		set(c, "drain.revive_steps", &op.ReviveSteps, d.Revive, 0, 100)
	}
	c.that(op.ReviveSteps <= op.DrainSteps, "drain.revive_steps", "must not be above drain.steps")
	if m := f.Members; m != nil {
		set(c, "members.ttl_s", &op.MemberTTLS, m.TTLS, 1, 60)
	}
	if u := f.Users; u != nil {
		set(c, "users.final_cache", &op.FinalCache, u.FinalCache, 100, 1000000)
	}
	if l := f.Lending; l != nil {
		op.Lending = DefaultLending()
		set(c, "lending.again_s", &op.Lending.AgainS, l.AgainS, 60, 86400)
		if l.ByRank != nil {
			op.Lending.ByPriority = *l.ByRank
		}
	}
	op.Quotas, op.Calendar = f.Quotas, f.Calendar
	if p := f.Pipelines; p != nil {
		op.Pipelines = DefaultPipelines()
		set(c, "pipelines.most_runs", &op.Pipelines.MaxRuns, p.MostRuns, 1, 100000)
		set(c, "pipelines.most_steps", &op.Pipelines.MaxSteps, p.MostSteps, 1, 1000000)
		set(c, "pipelines.changes_share", &op.Pipelines.ChangesShare, p.ChangesShare, 0.01, 1)
	}
	return op, c.errs
}

// DefaultLending is how GPUs are lent where the file turns it on and says no more.
func DefaultLending() *Lending {
	return &Lending{ByPriority: true, AgainS: tuning.LendAgain.Seconds()}
}

// DefaultPipelines are the limits on runs where the file names none.
func DefaultPipelines() *Pipelines {
	return &Pipelines{MaxRuns: tuning.MaxRuns, MaxSteps: tuning.MaxRunSteps, ChangesShare: tuning.RunChanges}
}

// set takes a value from the file if it is there and within its bounds.
func set[T int | float64](c *check, field string, to, from *T, low, high T) {
	if from == nil {
		return
	}
	if math.IsNaN(float64(*from)) || *from < low || *from > high {
		c.that(false, field, fmt.Sprintf("%v is outside %v to %v", *from, low, high))
		return
	}
	*to = *from
}
