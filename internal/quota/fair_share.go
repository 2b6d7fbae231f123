package quota

import "slices"

// Way is what the sides of the tree that a leaf is on, from the top down, use of the
// spare capacity for their weight; nil in a tree that has only the platform's teams.
// What a node with children runs itself is one more side, of weight 1: with ways
// that ended there, which job came before which was not transitive, and the order of
// three jobs depended on the order in which they were looked at.
func (c *Account) Way(leaf int) []float64 {
	if !c.tree.nested {
		return nil
	}
	var out []float64
	c.tree.walkUp(leaf, func(i int, n *Node) bool {
		if n.parent >= 0 {
			out = append(out, c.fairShareOf(i))
		}
		return true
	})
	slices.Reverse(out)
	if children := c.tree.nodes[leaf].children; len(children) > 0 {
		own := c.used[leaf]
		for _, k := range children {
			own = own.Add(c.used[k], -1)
		}
		out = append(out, dominantShare(own, c.used[leaf]))
	}
	return out
}

// CompareWays orders two leaves by their ways: who has had less goes first. It is
// progressive filling: each task goes to the side that is behind.
func CompareWays(a, b []float64) int { return slices.Compare(a, b) }

// fairShareOf is what a node uses beyond its guarantee for its weight, by the resource
// of which it uses the most of what its parent has in use.
func (c *Account) fairShareOf(i int) float64 {
	n := &c.tree.nodes[i]
	return dominantShare(c.used[i].minus(n.Guaranteed), c.used[n.parent]) / n.Weight
}

// dominantShare is the part of a whole, by the resource of which it is the most.
func dominantShare(part, all Amount) float64 {
	most := 0.0
	eachResource(func(_ string, of func(Amount) int64) {
		if of(all) > 0 {
			most = max(most, float64(of(part))/float64(of(all)))
		}
	})
	return most
}
