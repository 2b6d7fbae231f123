package quota

import "slices"

// FairShares is, for each node from the top down to a leaf, what it uses of the spare capacity for
// its weight; nil in a tree that has only the platform's teams. What a node with children
// runs itself counts as one more child, of weight 1: while lists ended at such a node, their
// order was not transitive, and the order of three jobs depended on which two were compared.
func (a *Account) FairShares(leaf int) []float64 {
	if !a.tree.nested {
		return nil
	}
	var shares []float64
	a.tree.walkUp(leaf, func(i int, node *Node) bool {
		if node.parent >= 0 {
			shares = append(shares, a.fairShareOf(i))
		}
		return true
	})
	slices.Reverse(shares)
	if children := a.tree.nodes[leaf].children; len(children) > 0 {
		own := a.used[leaf]
		for _, k := range children {
			own = own.Add(a.used[k], -1)
		}
		shares = append(shares, dominantShare(own, a.used[leaf]))
	}
	return shares
}

// CompareFairShares orders two leaves by what Way gives for them: who has had less goes first. It
// is progressive filling: each task goes to the side that is behind.
func CompareFairShares(a, b []float64) int { return slices.Compare(a, b) }

// fairShareOf is what a node uses beyond its guarantee for its weight, by the resource
// of which it uses the largest share of what its parent has in use.
func (a *Account) fairShareOf(i int) float64 {
	node := &a.tree.nodes[i]
	return dominantShare(a.used[i].minus(node.Guaranteed), a.used[node.parent]) / node.Weight
}

// dominantShare is the part of a whole, by the resource in which it is the largest.
func dominantShare(part, whole Amount) float64 {
	largest := 0.0
	eachResource(func(_ string, of func(Amount) int64) {
		if of(whole) > 0 {
			largest = max(largest, float64(of(part))/float64(of(whole)))
		}
	})
	return largest
}
