package quota

// noNode is the index that stands for no node, such as the result of Entitled for tasks that are
// within no guarantee.
const noNode = -1

// Entitled returns the lowest node, from the leaf upward, whose guarantee covers count more tasks;
// -1 if there is none. The parameter each is the amount that one task uses. Usage within an
// organisation's guarantee but beyond the team's own is borrowed from the team's siblings.
func (a *Account) Entitled(leaf int, each Amount, count int) int {
	entitled := noNode
	a.tree.walkUp(leaf, func(i int, node *Node) bool {
		if node.Guaranteed != (Amount{}) && a.used[i].Add(each, count).within(node.Guaranteed) {
			entitled = i
			return false
		}
		return true
	})
	return entitled
}

// GuaranteeOrder returns the queue rank of a leaf's tasks that are within the guarantee of node
// entitled; lower ranks go first. It is 0 within the guarantee of the leaf's own team or class,
// grows with the distance of an ancestor whose guarantee applies, and is highest if none does.
func (t *Tree) GuaranteeOrder(entitled, leaf int) int {
	if entitled == noNode {
		return len(t.nodes) + 1
	}
	team := leaf
	if t.nodes[leaf].Kind == Class {
		team = t.nodes[leaf].parent
	}
	return max(t.nodes[team].depth-t.nodes[entitled].depth, 0)
}

// MayPreempt reports whether a task of an amount, charged to leaf, may be preempted for one that is
// within the guarantee of node entitled. All nodes from leaf up to below the lowest ancestor that
// it shares with entitled must still use at least their guarantee without the task. A task in the
// subtree of entitled shares that guarantee and is not preempted.
func (a *Account) MayPreempt(entitled, leaf int, amount Amount) bool {
	if entitled == noNode || a.suspended {
		return false
	}
	allowed := true
	a.tree.walkUp(leaf, func(i int, node *Node) bool {
		if a.tree.InSubtree(entitled, i) { // i is the lowest common ancestor
			allowed = allowed && i != entitled
			return false
		}
		allowed = allowed && a.used[i].Add(amount, -1).Covers(node.Guaranteed)
		return allowed
	})
	return allowed
}

// CanSpare reports whether leaf can give up an amount to the leaf receiver: all nodes from leaf up
// to below their lowest common ancestor must still use at least their guarantee without it. Their
// common ancestors lose nothing, so the guarantees of those are not checked.
func (a *Account) CanSpare(receiver, leaf int, amount Amount) bool {
	canSpare := true
	a.tree.walkUp(leaf, func(i int, node *Node) bool {
		if a.tree.InSubtree(receiver, i) {
			return false
		}
		canSpare = a.used[i].Add(amount, -1).Covers(node.Guaranteed)
		return canSpare
	})
	return canSpare
}
