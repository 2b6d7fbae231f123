package cli

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"github.com/harrierreel/harrierreel/internal/client"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
)

// quotaPath is where controllers show and take the tree of quotas.
const quotaPath = "/quota"

func (a *app) quota() *cobra.Command {
	return group("quota", "Show or change the tree of quotas", a.quotaShow(), a.quotaApply())
}

// quotaTree requests the tree in force; the client is for the requests that follow from it.
func (a *app) quotaTree() (*client.Client, *quota.ShownTree, error) {
	c, err := a.client()
	if err != nil {
		return nil, nil, err
	}
	answer, err := c.Call("GET", quotaPath, nil)
	if err != nil {
		return nil, nil, err
	}
	if answer.Status != 200 {
		return nil, nil, refused("quota", answer)
	}
	tree, err := decode[quota.ShownTree]("quota", answer)
	return c, tree, err
}

func (a *app) quotaShow() *cobra.Command {
	return a.online(&cobra.Command{
		Use:   "show",
		Short: "Show the tree with what is used, guaranteed, borrowed, lent and waiting",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			_, tree, err := a.quotaTree()
			if err != nil {
				return err
			}
			return a.showTree(tree)
		},
	})
}

func (a *app) showTree(tree *quota.ShownTree) error {
	if a.json() {
		a.line(tree)
		return nil
	}
	t := newTable(a.out)
	t.row("TREE %d\tKIND\tUSED\tGUARANTEED\tLIMIT\tBORROWED\tLENT\tWAITING\tNOTE", tree.Number)
	for _, node := range tree.Nodes {
		name := "all"
		if node.Path != "" {
			name = strings.Repeat("  ", node.Depth) + node.Path[strings.LastIndexByte(node.Path, '/')+1:]
		}
		t.row(
			"%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s",
			name,
			node.Kind,
			amounts(node.Used),
			amounts(node.Guaranteed),
			amounts(node.Limit),
			amounts(node.Borrowed),
			amounts(node.Lent),
			node.Waiting,
			node.Why,
		)
	}
	return t.flush()
}

// amounts is a short form: cores (c), accelerators (g) and GB, what is not 0.
func amounts(bounds quota.Bounds) string {
	var out []string
	for _, amount := range []struct {
		value float64
		unit  string
	}{
		{bounds.Cores, "c"},
		{bounds.Accelerators, "g"},
		{bounds.MemoryGB, "GB"},
	} {
		if amount.value != 0 {
			out = append(out, fmt.Sprintf("%.6g%s", amount.value, amount.unit))
		}
	}
	if len(out) == 0 {
		return "-"
	}
	return strings.Join(out, " ")
}

func (a *app) quotaApply() *cobra.Command {
	dryRun, yes := false, false
	c := a.online(&cobra.Command{
		Use:   "apply FILE",
		Short: "Put the tree of a file's quotas block in force, or say what it would mean",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if dryRun == yes {
				return usage("give either --dry-run, to see what the tree would mean, or --yes")
			}
			document, err := a.quotaFile(args[0])
			if err != nil {
				return err
			}
			c, tree, err := a.quotaTree()
			if err != nil {
				return err
			}
			return a.applyTree(c, quota.Apply{Base: tree.Number, DryRun: dryRun, Quotas: *document})
		},
	})
	c.Flags().BoolVar(&dryRun, "dry-run", false, "only say what would be over its limit and who would be stopped")
	c.Flags().BoolVar(&yes, "yes", false, "put it in force")
	return c
}

// applyTree sends a tree with the number of the tree that it was made for, so that a change
// made meanwhile is refused and not overwritten.
func (a *app) applyTree(c *client.Client, apply quota.Apply) error {
	answer, err := c.Call("POST", quotaPath, jobs.Encode(apply))
	if err != nil {
		return err
	}
	if answer.Status != 200 {
		return a.refusedTree(answer)
	}
	preview, err := decode[quota.Preview]("quota", answer)
	if err != nil {
		return err
	}
	switch {
	case a.json():
		a.line(preview)
	case apply.DryRun:
		a.showPreview(preview)
	default:
		a.printf("tree %d is in force\n", preview.Number)
	}
	return nil
}

// refusedTree prints a tree's faults, or says why it was not put in force.
func (a *app) refusedTree(answer *client.Answer) error {
	switch answer.Status {
	case 400:
		var refusal quota.Refusal
		if json.Unmarshal(answer.Body, &refusal) != nil || len(refusal.Faults) == 0 {
			break
		}
		for _, fault := range refusal.Faults {
			a.notef("%s\n", fault)
		}
		return &Exit{Code: ExitUsage}
	case 409:
		return usage(
			"quota: another tree was put in force meanwhile; look at it with harrierreel quota show, then apply again",
		)
	}
	return refused("quota", answer)
}

// showPreview prints what a tree would mean if it were put in force.
func (a *app) showPreview(preview *quota.Preview) {
	for _, over := range preview.Over {
		a.printf("%s would be over its limit by %s\n", over.Path, amounts(over.By))
	}
	for _, stop := range preview.Stops {
		a.printf("%s would be stopped for %s unless enough ends within the grace\n", stop.Task, stop.Path)
	}
	if len(preview.Over) == 0 {
		a.printf("nothing would be over its limit\n")
	}
}
