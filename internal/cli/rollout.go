package cli

import (
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/harrierreel/harrierreel/internal/rollout"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// rolloutCommand returns the command group for rolling replacements of controllers.
func (a *app) rolloutCommand() *cobra.Command {
	return commandGroup(
		"roll",
		"Replace controllers in service: which one next, and when",
		a.rolloutPlanCommand(),
		a.rolloutWaitCommand(),
	)
}

// rolloutFlags are the flags of the rollout commands.
type rolloutFlags struct{ config, replaced string }

// add adds the flags to a command.
func (f *rolloutFlags) add(c *cobra.Command) *cobra.Command {
	c.Flags().StringVar(&f.config, "config", "", "the platform's settings file (TOML) of any controller")
	c.Flags().StringVar(&f.replaced, "done", "", "controllers that were replaced already, with commas between")
	return c
}

// rolloutPlanner makes rollout plans from the records in the state service.
type rolloutPlanner struct {
	controllers []rollout.Controller
	replaced    []string // names of the controllers that are already replaced
	source      *stateSource
}

// newRolloutPlanner returns a planner for the controllers in the settings file.
func (a *app) newRolloutPlanner(f *rolloutFlags) (*rolloutPlanner, error) {
	if f.config == "" {
		return nil, usageError("--config: is missing; expected the platform's settings file")
	}
	cfg, err := loadSettings(f.config)
	if err != nil {
		return nil, err
	}
	controllers := []rollout.Controller{{Name: cfg.NodeName, Zone: cfg.Zone}}
	known := map[string]bool{cfg.NodeName: true}
	for _, peer := range cfg.Peers {
		controllers = append(controllers, rollout.Controller{Name: peer.NodeName, Zone: peer.Zone})
		known[peer.NodeName] = true
	}
	var replaced []string
	for _, name := range strings.Split(f.replaced, ",") {
		if name = strings.TrimSpace(name); name == "" {
			continue
		}
		if !known[name] {
			return nil, usageError("--done: the settings name no controller %q", name)
		}
		replaced = append(replaced, name)
	}
	return &rolloutPlanner{
		controllers: controllers,
		replaced:    replaced,
		source:      newStateSource(cfg.Outside.State, tuning.SnapshotRPS, a.progress),
	}, nil
}

// plan reads the records that a plan depends on and returns the plan. Prefixes are listed one by
// one, so a change made in the meantime may only be seen by the next call.
func (p *rolloutPlanner) plan() (rollout.Plan, error) {
	var rows []store.Item
	for _, prefix := range rollout.Prefixes {
		listed, err := p.source.listAll(prefix)
		if err != nil {
			return rollout.Plan{}, err
		}
		rows = append(rows, listed...)
	}
	return rollout.NewPlan(p.controllers, p.replaced, rollout.DecodeState(rows)), nil
}

func (a *app) rolloutPlanCommand() *cobra.Command {
	flags := &rolloutFlags{}
	return flags.add(a.withOutputFlag(&cobra.Command{
		Use:   "plan",
		Short: "Say in which order controllers are to be replaced, and whether the next one may be ended now",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			planner, err := a.newRolloutPlanner(flags)
			if err != nil {
				return err
			}
			plan, err := planner.plan()
			if err != nil {
				return err
			}
			if a.jsonOutput() {
				a.printJSON(plan)
			} else {
				a.showRolloutPlan(plan)
			}
			if len(plan.Obstacles) > 0 {
				return &ExitError{Code: ExitNotYet}
			}
			return nil
		},
	}))
}

// showRolloutPlan prints a plan as text.
func (a *app) showRolloutPlan(plan rollout.Plan) {
	if plan.Leader != "" {
		a.printf("%s leads, epoch %d\n", plan.Leader, plan.Epoch)
	}
	for i, name := range plan.Order {
		mark := ""
		if name == plan.Leader {
			mark = " (leads now; hands over first)"
		}
		a.printf("%d. %s%s\n", i+1, name, mark)
	}
	if len(plan.Order) == 0 && plan.Leader != "" {
		a.printf("all are replaced\n")
	}
	for _, reason := range plan.Obstacles {
		a.printf("not yet: %s\n", reason)
	}
	if len(plan.Obstacles) == 0 && len(plan.Order) > 0 {
		a.printf("%s may be ended now\n", plan.Order[0])
	}
}

func (a *app) rolloutWaitCommand() *cobra.Command {
	flags := &rolloutFlags{}
	patience, stableFor := 300.0, tuning.RolloutStableFor.Seconds()
	c := flags.add(a.withOutputFlag(&cobra.Command{
		Use:   "wait NAME",
		Short: "Wait until a controller may be ended",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if patience <= 0 || stableFor < 0 {
				return usageError("--patience must be above 0, --stands not below 0")
			}
			planner, err := a.newRolloutPlanner(flags)
			if err != nil {
				return err
			}
			waiter := rolloutWaiter{
				name:      args[0],
				plan:      planner.plan,
				stableFor: seconds(stableFor),
				patience:  seconds(patience),
				now:       time.Now,
				sleep:     time.Sleep,
				progress:  a.progress,
			}
			if err := waiter.run(); err != nil {
				return err
			}
			if a.jsonOutput() {
				a.printJSON(map[string]any{"event": "may end", "name": args[0]})
			} else {
				a.printf("%s may be ended now\n", args[0])
			}
			return nil
		},
	}))
	c.Flags().Float64Var(&patience, "patience", patience, "seconds to wait at most")
	c.Flags().Float64Var(&stableFor, "stands", stableFor, "seconds for which nothing may stand against it, under one view")
	return c
}

// seconds returns a number of seconds as a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// rolloutWaiter waits until a controller may be stopped.
type rolloutWaiter struct {
	name      string // of the controller
	plan      func() (rollout.Plan, error)
	stableFor time.Duration // how long there must be no obstacle
	patience  time.Duration // maximum time to wait
	now       func() time.Time
	sleep     func(time.Duration)
	progress  func(text string) // called when the reasons change
}

// run polls the plan until there has been no reason against stopping the controller for stableFor.
// A change of the membership view restarts that period.
func (w *rolloutWaiter) run() error {
	start := w.now()
	var stableSince time.Time // zero while there are reasons against it
	epoch, reported := uint64(0), ""
	for {
		plan, err := w.plan()
		if err != nil {
			return err
		}
		reasons := plan.ReasonsAgainst(w.name)
		if text := strings.Join(reasons, "; "); text != reported {
			if reported = text; reported != "" {
				w.progress("not yet: " + reported)
			}
		}
		switch {
		case len(reasons) > 0:
			stableSince = time.Time{}
		case stableSince.IsZero() || plan.Epoch != epoch:
			stableSince, epoch = w.now(), plan.Epoch
		}
		switch {
		case !stableSince.IsZero() && w.now().Sub(stableSince) >= w.stableFor:
			return nil
		case w.now().Sub(start) >= w.patience:
			if reported == "" {
				reported = "the view changes again and again"
			}
			return &ExitError{Code: ExitNotYet, Text: "not yet: " + reported}
		}
		w.sleep(tuning.RolloutPollEvery)
	}
}
