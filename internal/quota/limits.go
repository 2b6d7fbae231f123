package quota

import (
	"fmt"
	"slices"
)

// Allows reports whether the limits of a leaf and of all its ancestors allow count more tasks. The
// parameter each is the amount that one task uses.
func (a *Account) Allows(leaf int, each Amount, count int) bool {
	return !a.suspended && a.LimitingNode(leaf, each, count) < 0
}

// CountAllowed returns how many more tasks the limits of a leaf and of all its ancestors allow, but
// at most count. The parameter each is the amount that one task uses.
func (a *Account) CountAllowed(leaf int, each Amount, count int) int {
	if a.suspended {
		return 0
	}
	child := noNode
	a.tree.walkUp(leaf, func(i int, node *Node) bool {
		count = countFitting(a.used[i], each, a.limitForChild(child, node), count)
		child = i
		return count > 0
	})
	return count
}

// LimitReached returns a description of the lowest node whose limit doesn't allow one more task of
// the given amount in a leaf, with the node's usage and limit; "" if all limits allow it.
func (a *Account) LimitReached(leaf int, amount Amount) string {
	node := a.LimitingNode(leaf, amount, 1)
	if node < 0 {
		return ""
	}
	path := a.tree.Path(node)
	if path == "" {
		path = "the whole"
	}
	return fmt.Sprintf("%s uses %s of %s", path, a.used[node], a.tree.nodes[node].effectiveLimit())
}

// LimitingNode returns the lowest node, from a leaf upward, whose limit would be exceeded by count
// more tasks; -1 if there is none. The parameter each is the amount that one task uses.
func (a *Account) LimitingNode(leaf int, each Amount, count int) int {
	limiting, child := noNode, noNode
	a.tree.walkUp(leaf, func(i int, node *Node) bool {
		if !a.used[i].Add(each, count).within(a.limitForChild(child, node)) {
			limiting = i
			return false
		}
		child = i
		return true
	})
	return limiting
}

// limitForChild returns the node's limit for a charge that comes from the given child: the node's
// limit minus the unused guarantees of its other children that don't lend.
func (a *Account) limitForChild(child int, node *Node) Amount {
	limit := node.effectiveLimit()
	for _, k := range node.children {
		if sibling := &a.tree.nodes[k]; k != child && !sibling.Lend {
			reserved := sibling.Guaranteed.subClamped(a.used[k])
			limit = Amount{
				Cores:        subtractReserved(limit.Cores, reserved.Cores),
				Accelerators: subtractReserved(limit.Accelerators, reserved.Accelerators),
				MemoryGB:     subtractReserved(limit.MemoryGB, reserved.MemoryGB),
			}
		}
	}
	return limit
}

// subtractReserved returns a limit minus what is reserved for siblings. A limit of 0 means no limit
// and stays 0. The result is at least 1 unit otherwise, since 0 would mean no limit.
func subtractReserved(limit, reserved int64) int64 {
	if limit == 0 || reserved == 0 {
		return limit
	}
	return max(limit-reserved, 1)
}

// NodesOverLimit returns the nodes whose usage exceeds their limit, for example after a change of
// the tree, the deepest first.
func (a *Account) NodesOverLimit() []int {
	var nodes []int
	for i := range a.tree.nodes {
		if a.Excess(i) != (Amount{}) {
			nodes = append(nodes, i)
		}
	}
	slices.SortStableFunc(nodes, func(i, j int) int { return a.tree.nodes[j].depth - a.tree.nodes[i].depth })
	return nodes
}

// Excess returns the part of a node's usage that exceeds its limit.
func (a *Account) Excess(node int) Amount {
	limit := a.tree.nodes[node].effectiveLimit()
	return a.used[node].subClamped(limit).maskedBy(limit)
}
