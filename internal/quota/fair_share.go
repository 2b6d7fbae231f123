package quota

import "slices"

// FairShares returns the weighted dominant share (fairShareOf) of each node on the path to a leaf,
// from the child of the root down; nil in a tree that was not built from a document. If the leaf
// has children, the tasks charged directly to it count as one more child, of weight 1. Without this
// entry the lists would differ in length and their order would not be transitive: the order of
// three jobs would depend on which two are compared.
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

// CompareFairShares orders two leaves by their FairShares: the one with the smaller share goes
// first. This is progressive filling, in which each task goes to the side that is behind.
func CompareFairShares(a, b []float64) int { return slices.Compare(a, b) }

// fairShareOf returns a node's weighted dominant share: its usage beyond its guarantee as a part of
// its parent's usage, in the resource where that part is largest, divided by the node's weight.
func (a *Account) fairShareOf(i int) float64 {
	node := &a.tree.nodes[i]
	return dominantShare(a.used[i].subClamped(node.Guaranteed), a.used[node.parent]) / node.Weight
}

// dominantShare returns part divided by whole in the resource where the ratio is largest.
func dominantShare(part, whole Amount) float64 {
	largest := 0.0
	eachResource(func(_ string, valueOf func(Amount) int64) {
		if valueOf(whole) > 0 {
			largest = max(largest, float64(valueOf(part))/float64(valueOf(whole)))
		}
	})
	return largest
}
