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

// quotaPath is the path of the quota tree in the controllers' API.
const quotaPath = "/quota"

// quotaCommand returns the command group for quotas.
func (a *app) quotaCommand() *cobra.Command {
	return commandGroup("quota", "Show or change the tree of quotas", a.quotaShowCommand(), a.quotaApplyCommand())
}

// quotaTree requests the quota tree in force. It also returns the client, for further requests.
func (a *app) quotaTree() (*client.Client, *quota.ShownTree, error) {
	c, err := a.clientFromFlags()
	if err != nil {
		return nil, nil, err
	}
	response, err := c.Call("GET", quotaPath, nil)
	if err != nil {
		return nil, nil, err
	}
	if response.Status != 200 {
		return nil, nil, refusalError("quota", response)
	}
	tree, err := decode[quota.ShownTree]("quota", response)
	return c, tree, err
}

func (a *app) quotaShowCommand() *cobra.Command {
	return a.withClientFlags(&cobra.Command{
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

// showTree prints a quota tree as a table, or as JSON.
func (a *app) showTree(tree *quota.ShownTree) error {
	if a.jsonOutput() {
		a.printJSON(tree)
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
			formatAmounts(node.Used),
			formatAmounts(node.Guaranteed),
			formatAmounts(node.Limit),
			formatAmounts(node.Borrowed),
			formatAmounts(node.Lent),
			node.Waiting,
			node.Why,
		)
	}
	return t.flush()
}

// formatAmounts returns the amounts other than 0, in cores (c), accelerators (g) and GB, or a dash
// if all are 0.
func formatAmounts(bounds quota.Bounds) string {
	var parts []string
	for _, amount := range []struct {
		value float64
		unit  string
	}{
		{bounds.Cores, "c"},
		{bounds.Accelerators, "g"},
		{bounds.MemoryGB, "GB"},
	} {
		if amount.value != 0 {
			parts = append(parts, fmt.Sprintf("%.6g%s", amount.value, amount.unit))
		}
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, " ")
}

func (a *app) quotaApplyCommand() *cobra.Command {
	dryRun, yes := false, false
	c := a.withClientFlags(&cobra.Command{
		Use:   "apply FILE",
		Short: "Put the tree of a file's quotas block in force, or say what it would mean",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if dryRun == yes {
				return usageError("give either --dry-run, to see what the tree would mean, or --yes")
			}
			document, err := a.loadQuotas(args[0])
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

// applyTree sends a new quota tree together with the number of the tree that it replaces. The
// controller refuses it if another tree was applied in the meantime.
func (a *app) applyTree(c *client.Client, apply quota.Apply) error {
	response, err := c.Call("POST", quotaPath, jobs.Encode(apply))
	if err != nil {
		return err
	}
	if response.Status != 200 {
		return a.reportRefusedTree(response)
	}
	preview, err := decode[quota.Preview]("quota", response)
	if err != nil {
		return err
	}
	switch {
	case a.jsonOutput():
		a.printJSON(preview)
	case apply.DryRun:
		a.showPreview(preview)
	default:
		a.printf("tree %d is in force\n", preview.Number)
	}
	return nil
}

// reportRefusedTree prints the faults of a refused tree, and returns an error.
func (a *app) reportRefusedTree(response *client.Response) error {
	switch response.Status {
	case 400:
		var refusal quota.Refusal
		if json.Unmarshal(response.Body, &refusal) != nil || len(refusal.Faults) == 0 {
			break
		}
		for _, fault := range refusal.Faults {
			a.printErrf("%s\n", fault)
		}
		return &ExitError{Code: ExitUsage}
	case 409:
		return usageError(
			"quota: another tree was put in force meanwhile; look at it with harrierreel quota show, then apply again",
		)
	}
	return refusalError("quota", response)
}

// showPreview prints the effects that a tree would have: the nodes over their limit and the tasks
// that would be stopped.
func (a *app) showPreview(preview *quota.Preview) {
	for _, over := range preview.Over {
		a.printf("%s would be over its limit by %s\n", over.Path, formatAmounts(over.By))
	}
	for _, stop := range preview.Stops {
		a.printf("%s would be stopped for %s unless enough ends within the grace\n", stop.Task, stop.Path)
	}
	if len(preview.Over) == 0 {
		a.printf("nothing would be over its limit\n")
	}
}
