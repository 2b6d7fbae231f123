package quota

import (
	"fmt"
	"slices"
)

// Allows tells whether count more tasks, of amount each, are within the limits of a leaf
// and of all nodes above it.
func (a *Account) Allows(leaf int, each Amount, count int) bool {
	return a.LimitingNode(leaf, each, count) < 0
}

// CountAllowed is how many more tasks of amount each, up to count, a leaf may have.
func (a *Account) CountAllowed(leaf int, each Amount, count int) int {
	below := noNode
	a.tree.walkUp(leaf, func(i int, node *Node) bool {
		count = countFitting(a.used[i], each, a.limitThrough(below, node), count)
		below = i
		return count > 0
	})
	return count
}

// LimitReached names the lowest node whose limit keeps a leaf from one more task of an amount, and
// what it uses of its limit; "" if no limit does.
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

// LimitingNode is the lowest node, from a leaf upward, whose limit count more tasks of amount each
// would pass; -1 if there is none.
func (a *Account) LimitingNode(leaf int, each Amount, count int) int {
	full, below := noNode, noNode
	a.tree.walkUp(leaf, func(i int, node *Node) bool {
		if !a.used[i].Add(each, count).within(a.limitThrough(below, node)) {
			full = i
			return false
		}
		below = i
		return true
	})
	return full
}

// limitThrough is a node's limit for what comes through one of its children: less what
// its other children that don't lend have left of their guarantees.
func (a *Account) limitThrough(through int, node *Node) Amount {
	limit := node.effectiveLimit()
	for _, k := range node.children {
		if child := &a.tree.nodes[k]; k != through && !child.Lend {
			kept := child.Guaranteed.minus(a.used[k])
			limit = Amount{
				Cores:        reserve(limit.Cores, kept.Cores),
				Accelerators: reserve(limit.Accelerators, kept.Accelerators),
				MemoryGB:     reserve(limit.MemoryGB, kept.MemoryGB),
			}
		}
	}
	return limit
}

// reserve takes what is kept for others from a limit. A limit of 0 is none and stays none;
// one of which nothing is left becomes 1 unit, since 0 would read as none.
func reserve(limit, kept int64) int64 {
	if limit == 0 || kept == 0 {
		return limit
	}
	return max(limit-kept, 1)
}

// Over lists the nodes whose use is beyond their limit, as after a change of the
// tree: the lowest first.
func (a *Account) Over() []int {
	var nodes []int
	for i := range a.tree.nodes {
		if a.Excess(i) != (Amount{}) {
			nodes = append(nodes, i)
		}
	}
	slices.SortStableFunc(nodes, func(i, j int) int { return a.tree.nodes[j].depth - a.tree.nodes[i].depth })
	return nodes
}

// Excess is what a node uses beyond its limit.
func (a *Account) Excess(node int) Amount {
	limit := a.tree.nodes[node].effectiveLimit()
	return a.used[node].minus(limit).whereSet(limit)
}
