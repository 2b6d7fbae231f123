package node

import (
	"encoding/json"

	"github.com/harrierreel/harrierreel/internal/quota"
)

// quotas is what a node knows of the tree of quotas.
type quotas struct {
	teams map[string]quota.Team // the platform's
	// on: the operators turned the tree on, and decisions carry its stamp.
	on     bool
	stored *quota.Stored // nil until one was read
}

// quotaChanged takes a tree in. One that can't be read, or that doesn't fit the
// platform's teams, is told and the old one kept as a whole.
func (n *Node) quotaChanged(value json.RawMessage) {
	if value == nil {
		return
	}
	s, err := quota.Decode(value)
	if err != nil {
		n.log.Error("unreadable quotas set aside, the tree in force is kept", "error", err)
		return
	}
	tree, faults := quota.Build(&s.Doc, n.quotas.teams, n.set.Classes())
	for _, f := range faults {
		n.log.Error("quotas do not fit, the tree in force is kept", "fault", f)
	}
	if len(faults) > 0 {
		return
	}
	n.quotas.stored = s
	n.Account.Rebase(tree)
	n.log.Info("quotas in force", "number", s.Number, "nodes", len(tree.Paths()))
}
