package quota

import (
	"fmt"
	"slices"
)

// Allows tells whether n more tasks of amount a are inside the limits of a leaf
// and of all nodes above it.
func (c *Account) Allows(leaf int, a Amount, n int) bool {
	return c.FullAt(leaf, a, n) < 0
}

// More is how many more tasks of amount a, up to n, a leaf may have.
func (c *Account) More(leaf int, a Amount, n int) int {
	below := -1
	c.tree.walkUp(leaf, func(i int, node *Node) bool {
		n = countFitting(c.used[i], a, c.limitThrough(i, below, node), n)
		below = i
		return n > 0
	})
	return n
}

// Full names the lowest node at whose limit a leaf is for one more task of
// amount a, and why; "" if there is room.
func (c *Account) Full(leaf int, a Amount) string {
	i := c.FullAt(leaf, a, 1)
	if i < 0 {
		return ""
	}
	where := c.tree.Path(i)
	if where == "" {
		where = "the whole"
	}
	return fmt.Sprintf("%s uses %s of %s", where, c.used[i], c.tree.nodes[i].effectiveLimit())
}

// FullAt is the lowest node, from a leaf upward, whose limit n more tasks of amount
// a would pass; -1 if there is none.
func (c *Account) FullAt(leaf int, a Amount, n int) int {
	full, below := -1, -1
	c.tree.walkUp(leaf, func(i int, node *Node) bool {
		if !c.used[i].Add(a, n).within(c.limitThrough(i, below, node)) {
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
func (c *Account) limitThrough(i, through int, node *Node) Amount {
	top := node.effectiveLimit()
	for _, k := range node.children {
		if child := &c.tree.nodes[k]; k != through && !child.Lend {
			kept := child.Guaranteed.minus(c.used[k])
			top = Amount{
				reserve(top.Cores, kept.Cores),
				reserve(top.Accelerators, kept.Accelerators),
				reserve(top.MemoryGB, kept.MemoryGB),
			}
		}
	}
	return top
}

// reserve takes away from a limit that is one; nothing left must not read as none.
func reserve(limit, kept int64) int64 {
	if limit == 0 || kept == 0 {
		return limit
	}
	return max(limit-kept, 1)
}

// Over lists the nodes whose use is beyond their limit, as after a change of the
// tree: the lowest first.
func (c *Account) Over() []int {
	var out []int
	for i := range c.tree.nodes {
		if c.Excess(i) != (Amount{}) {
			out = append(out, i)
		}
	}
	slices.SortStableFunc(out, func(a, b int) int { return c.tree.nodes[b].depth - c.tree.nodes[a].depth })
	return out
}

// Excess is what a node uses beyond its limit.
func (c *Account) Excess(i int) Amount {
	top := c.tree.nodes[i].effectiveLimit()
	over := c.used[i].minus(top)
	if top.Cores == 0 {
		over.Cores = 0
	}
	if top.Accelerators == 0 {
		over.Accelerators = 0
	}
	if top.MemoryGB == 0 {
		over.MemoryGB = 0
	}
	return over
}
