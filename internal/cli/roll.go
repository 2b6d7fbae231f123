package cli

import (
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/harrierreel/harrierreel/internal/rollout"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// ExitNotYet: a controller must not be ended yet.
const ExitNotYet = 5

func (a *app) roll() *cobra.Command {
	c := &cobra.Command{
		Use: "roll", Short: "Replace controllers in service: which one next, and when", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(a.rollPlan(), a.rollWait())
	return c
}

// rollFlags is what both verbs are told.
type rollFlags struct{ config, done string }

func (f *rollFlags) add(c *cobra.Command) *cobra.Command {
	c.Flags().StringVar(&f.config, "config", "", "the platform's settings file (TOML) of any controller")
	c.Flags().StringVar(&f.done, "done", "", "controllers that were replaced already, with commas between")
	return c
}

// roller reads the state service for one command.
type roller struct {
	all  []rollout.Controller
	done []string
	src  *stateSource
}

func (a *app) roller(f *rollFlags) (*roller, error) {
	if f.config == "" {
		return nil, usage("--config: is missing; expected the platform's settings file")
	}
	set, err := settings.Load(f.config, "")
	if err != nil {
		return nil, usage("%v", err)
	}
	r := &roller{all: []rollout.Controller{{Name: set.NodeName, Zone: set.Zone}}}
	known := map[string]bool{set.NodeName: true}
	for _, p := range set.Peers {
		r.all = append(r.all, rollout.Controller{Name: p.NodeName, Zone: p.Zone})
		known[p.NodeName] = true
	}
	for _, name := range strings.Split(f.done, ",") {
		if name = strings.TrimSpace(name); name == "" {
			continue
		}
		if !known[name] {
			return nil, usage("--done: the settings name no controller %q", name)
		}
		r.done = append(r.done, name)
	}
	r.src = newStateSource(
		set.Outside.State,
		tuning.SnapshotRPS,
		func(what string) { fmt.Fprintln(a.note, "harrierreel:", what) },
	)
	return r, nil
}

// plan reads what the plan goes by. Keys are listed one prefix after the other: what
// changes meanwhile is seen by the next look.
func (r *roller) plan() (rollout.Plan, error) {
	var rows []store.Item
	for _, prefix := range rollout.Prefixes {
		for after, more := "", true; more; {
			var p store.Page
			if err := r.src.get(store.ListTarget(prefix, after), &p); err != nil {
				return rollout.Plan{}, err
			}
			rows = append(rows, p.Rows...)
			if more = p.HasNext && len(p.Rows) > 0; more {
				after = p.Rows[len(p.Rows)-1].Key
			}
		}
	}
	return rollout.Make(r.all, r.done, rollout.Read(rows)), nil
}

func (a *app) rollPlan() *cobra.Command {
	f := &rollFlags{}
	return f.add(a.printed(&cobra.Command{
		Use:   "plan",
		Short: "Say in which order controllers are to be replaced, and whether the next one may be ended now",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			r, err := a.roller(f)
			if err != nil {
				return err
			}
			p, err := r.plan()
			if err != nil {
				return err
			}
			if a.json() {
				a.line(p)
			} else {
				a.planText(p)
			}
			if len(p.NotYet) > 0 {
				return &Exit{Code: ExitNotYet}
			}
			return nil
		},
	}))
}

func (a *app) planText(p rollout.Plan) {
	if p.Leader != "" {
		fmt.Fprintf(a.out, "%s leads, epoch %d\n", p.Leader, p.Epoch)
	}
	for i, name := range p.Order {
		mark := ""
		if name == p.Leader {
			mark = " (leads now; hands over first)"
		}
		fmt.Fprintf(a.out, "%d. %s%s\n", i+1, name, mark)
	}
	if len(p.Order) == 0 && p.Leader != "" {
		fmt.Fprintln(a.out, "all are replaced")
	}
	for _, why := range p.NotYet {
		fmt.Fprintln(a.out, "not yet:", why)
	}
	if len(p.NotYet) == 0 && len(p.Order) > 0 {
		fmt.Fprintf(a.out, "%s may be ended now\n", p.Order[0])
	}
}

func (a *app) rollWait() *cobra.Command {
	f := &rollFlags{}
	patience, stands := 300.0, tuning.RolloutStableFor.Seconds()
	c := f.add(a.printed(&cobra.Command{
		Use: "wait NAME", Short: "Wait until a controller may be ended", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if patience <= 0 || stands < 0 {
				return usage("--patience must be above 0, --stands not below 0")
			}
			r, err := a.roller(f)
			if err != nil {
				return err
			}
			seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
			err = waitFor(
				args[0],
				r.plan,
				seconds(stands),
				seconds(patience),
				time.Now,
				time.Sleep,
				func(what string) { fmt.Fprintln(a.note, "harrierreel:", what) },
			)
			if err == nil && a.json() {
				a.line(map[string]any{"event": "may end", "name": args[0]})
			} else if err == nil {
				fmt.Fprintf(a.out, "%s may be ended now\n", args[0])
			}
			return err
		},
	}))
	c.Flags().Float64Var(&patience, "patience", patience, "seconds to wait at most")
	c.Flags().Float64Var(&stands, "stands", stands, "seconds for which nothing may stand against it, under one view")
	return c
}

// waitFor looks until nothing has stood against a controller's end for some time, with
// the view unchanged meanwhile.
func waitFor(
	name string,
	plan func() (rollout.Plan, error),
	stands, patience time.Duration,
	now func() time.Time,
	sleep func(time.Duration),
	note func(string),
) error {
	began := now()
	var since time.Time
	epoch, said := uint64(0), ""
	for {
		p, err := plan()
		if err != nil {
			return err
		}
		why := p.May(name)
		if text := strings.Join(why, "; "); text != said {
			if said = text; said != "" {
				note("not yet: " + said)
			}
		}
		switch {
		case len(why) > 0:
			since = time.Time{}
		case since.IsZero() || p.Epoch != epoch:
			since, epoch = now(), p.Epoch
		}
		switch {
		case !since.IsZero() && now().Sub(since) >= stands:
			return nil
		case now().Sub(began) >= patience:
			if said == "" {
				said = "the view changes again and again"
			}
			return &Exit{ExitNotYet, "not yet: " + said}
		}
		sleep(tuning.RolloutPollEvery)
	}
}
