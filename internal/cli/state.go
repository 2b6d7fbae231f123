package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/time/rate"

	"github.com/harrierreel/harrierreel/internal/client"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/snapshot"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

func (a *app) state() *cobra.Command {
	c := &cobra.Command{
		Use: "state", Short: "Save and check what the state service holds", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(a.stateDump(), a.stateVerify())
	return c
}

// stateSource reads the state service, paced.
type stateSource struct {
	*client.Client
	limit *rate.Limiter
}

// newStateSource is a source over real sockets.
func newStateSource(address string, rps float64, note func(string)) *stateSource {
	c := client.New([]string{address}, tuning.SnapshotPatience)
	conn := &http1.Client{Addr: address, MaxIdle: 1, MaxBody: tuning.SnapshotBlock}
	c.Do = func(_, method, target string, body []byte) (*http1.Message, error) {
		return conn.Do(method, target, body, tuning.StateTimeout)
	}
	c.Note = note
	return &stateSource{c, rate.NewLimiter(rate.Limit(rps), 1)}
}

// get asks until there is an answer that counts, and decodes it.
func (s *stateSource) get(target string, v any) error {
	if err := s.limit.Wait(context.Background()); err != nil {
		return err
	}
	ans, err := s.Call("GET", target, nil)
	switch {
	case errors.Is(err, client.ErrUnreachable):
		return &Exit{
			ExitUnreachable,
			fmt.Sprintf(
				"the state service at %s gave nothing for %g s; run the same command again to go on",
				s.Servers[0],
				s.Patience.Seconds(),
			),
		}
	case err != nil:
		return err
	case ans.Status == 410:
		return store.ErrGone
	case ans.Status != 200:
		return fmt.Errorf("the state service answered %d", ans.Status)
	}
	return json.Unmarshal(ans.Body, v)
}

// List is a page of all keys.
func (s *stateSource) List(after string) (p store.Page, err error) {
	err = s.get(store.ListTarget("", after), &p)
	return p, err
}

// Changes is what the service remembers since an epoch; it waits for none.
func (s *stateSource) Changes(since uint64) (uint64, []store.Event, error) {
	var answer store.WatchResult
	err := s.get(store.WatchTarget(since, 0), &answer)
	return answer.Epoch, answer.Events, err
}

func (a *app) stateDump() *cobra.Command {
	var config, address string
	rps := tuning.SnapshotRPS
	c := a.printed(&cobra.Command{
		Use:   "dump FILE",
		Short: "Save all keys as of one epoch, while controllers work; goes on where it was cut off",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if (config == "") == (address == "") {
				return usage("give either --config, the platform's settings file, or --state, the state service's HOST:PORT")
			}
			if rps <= 0 {
				return usage("--rps: must be above 0")
			}
			if _, err := os.Stat(args[0]); err == nil {
				return usage("%s: is there already", args[0])
			}
			if config != "" {
				set, err := settings.Load(config, "")
				if err != nil {
					return usage("%v", err)
				}
				address = set.Outside.State
			}
			note := func(what string) { fmt.Fprintln(a.note, "harrierreel:", what) }
			epoch, err := snapshot.Take(newStateSource(address, rps, note), args[0], time.Now(), note)
			if err != nil {
				return err
			}
			if a.json() {
				a.line(map[string]any{"event": "saved", "file": args[0], "epoch": epoch})
			} else {
				fmt.Fprintf(a.out, "saved %s as of epoch %d\n", args[0], epoch)
			}
			return nil
		},
	})
	c.Flags().StringVar(&config, "config", "", "the platform's settings file (TOML)")
	c.Flags().StringVar(&address, "state", "", "the state service's address, HOST:PORT, instead of a settings file")
	c.Flags().Float64Var(&rps, "rps", rps, "requests a second to the state service, which controllers then lack")
	return c
}

func (a *app) stateVerify() *cobra.Command {
	var config string
	c := a.printed(&cobra.Command{
		Use:   "verify FILE",
		Short: "Check a saved state: that it is whole, and that its records agree",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			var teams map[string]quota.Team
			if config != "" {
				set, err := settings.Load(config, "")
				if err != nil {
					return usage("%v", err)
				}
				teams = set.TeamMap()
			}
			f, err := os.Open(args[0])
			if err != nil {
				return usage("%v", err)
			}
			defer f.Close()
			s, err := snapshot.Read(f)
			switch {
			case errors.Is(err, snapshot.ErrCut):
				return usage("%s: %v; the same dump command goes on with it if it ends in .part", args[0], err)
			case err != nil:
				return usage("%s: %v", args[0], err)
			}
			r := snapshot.Check(s, teams)
			if a.json() {
				a.line(r)
			} else {
				a.report(s, r)
			}
			if len(r.Findings) > 0 {
				return &Exit{Code: ExitFailed}
			}
			return nil
		},
	})
	c.Flags().StringVar(&config, "config", "", "the platform's settings file (TOML), to check limits of teams as well")
	return c
}

// report prints what a check found, for people.
func (a *app) report(s *snapshot.State, r snapshot.Report) {
	fmt.Fprintf(
		a.out,
		"epoch %d, begun %s: %d live jobs, %d tasks, %d of them on machines\n",
		r.Epoch,
		time.UnixMilli(s.AtMs).UTC().Format(time.RFC3339),
		r.Live,
		r.Tasks,
		r.On,
	)
	w := tabwriter.NewWriter(a.out, 0, 4, 2, ' ', tabwriter.AlignRight)
	for _, k := range clusterstate.SortedKeys(r.Keys) {
		fmt.Fprintf(w, "%d\t %s\t\n", r.Keys[k], k)
	}
	_ = w.Flush()
	for _, f := range r.Findings {
		fmt.Fprintln(a.out, strings.TrimPrefix(f.Key+": "+f.What, ": "))
	}
	if len(r.Findings) == 0 {
		fmt.Fprintln(a.out, "all records agree")
	}
}
