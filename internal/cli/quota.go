package cli

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"
	"github.com/spf13/cobra"

	"github.com/harrierreel/harrierreel/internal/calendar"
	"github.com/harrierreel/harrierreel/internal/client"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
)

// quotaPath is where controllers show and take the tree of quotas.
const quotaPath = "/quota"

func (a *app) quota() *cobra.Command {
	c := &cobra.Command{
		Use: "quota", Short: "Show or change the tree of quotas", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(a.quotaShow(), a.quotaApply())
	return c
}

// tree asks for the tree in force; the client is for what follows from it.
func (a *app) tree() (*client.Client, *quota.ShownTree, error) {
	c, err := a.client()
	if err != nil {
		return nil, nil, err
	}
	ans, err := c.Call("GET", quotaPath, nil)
	if err != nil {
		return nil, nil, err
	}
	if ans.Status != 200 {
		return nil, nil, refused("quota", ans)
	}
	var t quota.ShownTree
	if err := json.Unmarshal(ans.Body, &t); err != nil {
		return nil, nil, usage("quota: %s gave an answer that can't be read: %v", ans.Server, err)
	}
	return c, &t, nil
}

func (a *app) quotaShow() *cobra.Command {
	return a.online(&cobra.Command{
		Use: "show", Short: "Show the tree with what is used, guaranteed, borrowed, lent and waiting", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			_, t, err := a.tree()
			if err != nil {
				return err
			}
			if a.json() {
				a.line(t)
				return nil
			}
			w := tabwriter.NewWriter(a.out, 0, 4, 2, ' ', 0)
			fmt.Fprintf(w, "TREE %d\tKIND\tUSED\tGUARANTEED\tLIMIT\tBORROWED\tLENT\tWAITING\tNOTE\n", t.Number)
			for _, n := range t.Nodes {
				name := "all"
				if n.Path != "" {
					name = strings.Repeat("  ", n.Depth) + n.Path[strings.LastIndexByte(n.Path, '/')+1:]
				}
				fmt.Fprintf(
					w,
					"%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\n",
					name,
					n.Kind,
					amounts(n.Used),
					amounts(n.Guaranteed),
					amounts(n.Limit),
					amounts(n.Borrowed),
					amounts(n.Lent),
					n.Waiting,
					n.Why,
				)
			}
			return w.Flush()
		},
	})
}

// amounts is a short form: cores, accelerators and GB, what is not 0.
func amounts(b quota.Bounds) string {
	var out []string
	for _, x := range []struct {
		v    float64
		unit string
	}{{b.Cores, "c"}, {b.Accelerators, "g"}, {b.MemoryGB, "GB"}} {
		if x.v != 0 {
			out = append(out, fmt.Sprintf("%.6g%s", x.v, x.unit))
		}
	}
	if len(out) == 0 {
		return "-"
	}
	return strings.Join(out, " ")
}

func (a *app) quotaApply() *cobra.Command {
	dry, yes := false, false
	c := a.online(&cobra.Command{
		Use:   "apply FILE",
		Short: "Put the tree of a file's quotas block in force, or say what it would mean",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if dry == yes {
				return usage("give either --dry-run, to see what the tree would mean, or --yes")
			}
			doc, err := a.quotaFile(args[0])
			if err != nil {
				return err
			}
			c, t, err := a.tree()
			if err != nil {
				return err
			}
			return a.applyTree(c, quota.Apply{Base: t.Number, DryRun: dry, Quotas: *doc})
		},
	})
	c.Flags().BoolVar(&dry, "dry-run", false, "only say what would be over its limit and who would be stopped")
	c.Flags().BoolVar(&yes, "yes", false, "put it in force")
	return c
}

// quotaFile reads the quotas block of an operators' file.
func (a *app) quotaFile(name string) (*quota.Document, error) {
	v, err := a.blocks(name)
	if err == nil && v.Quotas == nil {
		err = usage("%s: has no quotas block", name)
	}
	return v.Quotas, err
}

// blocks is what verbs read of an operators' file.
type blocks struct {
	Quotas   *quota.Document    `hcl:"quotas,block"`
	Calendar *calendar.Document `hcl:"calendar,block"`
	Rest     hcl.Body           `hcl:",remain"`
}

// blocks reads an operators' file. Every fault of form is told by its place.
func (a *app) blocks(name string) (v blocks, err error) {
	f, diags := hclparse.NewParser().ParseHCLFile(name)
	if f != nil {
		diags = append(diags, gohcl.DecodeBody(f.Body, nil, &v)...)
	}
	for _, d := range diags {
		fmt.Fprintln(a.note, d.Error())
	}
	if diags.HasErrors() {
		err = &Exit{Code: ExitUsage}
	}
	return v, err
}

func (a *app) applyTree(c *client.Client, apply quota.Apply) error {
	ans, err := c.Call("POST", quotaPath, jobs.Encode(apply))
	if err != nil {
		return err
	}
	if ans.Status == 400 {
		var r quota.Refusal
		if json.Unmarshal(ans.Body, &r) == nil && len(r.Faults) > 0 {
			for _, f := range r.Faults {
				fmt.Fprintln(a.note, f)
			}
			return &Exit{Code: ExitUsage}
		}
	}
	if ans.Status == 409 {
		return usage(
			"quota: another tree was put in force meanwhile; look at it with harrierreel quota show, then apply again",
		)
	}
	if ans.Status != 200 {
		return refused("quota", ans)
	}
	var p quota.Preview
	if err := json.Unmarshal(ans.Body, &p); err != nil {
		return usage("quota: %s gave an answer that can't be read: %v", ans.Server, err)
	}
	if a.json() {
		a.line(p)
		return nil
	}
	if !apply.DryRun {
		fmt.Fprintf(a.out, "tree %d is in force\n", p.Number)
		return nil
	}
	for _, o := range p.Over {
		fmt.Fprintf(a.out, "%s would be over its limit by %s\n", o.Path, amounts(o.By))
	}
	for _, s := range p.Stops {
		fmt.Fprintf(a.out, "%s would be stopped for %s unless enough ends within the grace\n", s.Task, s.Path)
	}
	if len(p.Over) == 0 {
		fmt.Fprintln(a.out, "nothing would be over its limit")
	}
	return nil
}
