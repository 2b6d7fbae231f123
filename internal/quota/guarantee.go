package quota

// noNode stands for no node of the tree, such as the entitlement of what lies within no
// guarantee.
const noNode = -1

// Entitled is the lowest node, from the leaf upward, within whose guarantee count more tasks
// of amount each lie; -1 if there is none. What is within an organisation's guarantee but
// beyond its team's is borrowed from the team's siblings.
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

// FairShareOrder is the order in the queue of a leaf's work that is within the guarantee of
// node entitled: 0 for what lies within its own team's guarantee, then what lies within those
// further up, the nearest first, last what lies within none.
func (t *Tree) FairShareOrder(entitled, leaf int) int {
	if entitled == noNode {
		return len(t.nodes) + 1
	}
	team := leaf
	if t.nodes[leaf].Kind == Class {
		team = t.nodes[leaf].parent
	}
	return max(t.nodes[team].depth-t.nodes[entitled].depth, 0)
}

// Yields tells whether a task of an amount, charged to leaf, has to be preempted for one
// that is within the guarantee of node entitled: without it, all nodes on its side must
// still have what they are guaranteed. What shares the guarantee does not yield.
func (a *Account) Yields(entitled, leaf int, amount Amount) bool {
	if entitled == noNode {
		return false
	}
	yields := true
	a.tree.walkUp(leaf, func(i int, node *Node) bool {
		if a.tree.Under(entitled, i) { // the two sides meet here
			yields = yields && i != entitled
			return false
		}
		yields = yields && a.used[i].Add(amount, -1).Covers(node.Guaranteed)
		return yields
	})
	return yields
}

// CanSpare tells whether all nodes on a leaf's side still have what they are guaranteed
// without an amount of its use, up to where its side and that of the leaf which needs the
// amount meet: what shares a guarantee has no claim against its own side.
func (a *Account) CanSpare(needs, leaf int, amount Amount) bool {
	spares := true
	a.tree.walkUp(leaf, func(i int, node *Node) bool {
		if a.tree.Under(needs, i) {
			return false
		}
		spares = a.used[i].Add(amount, -1).Covers(node.Guaranteed)
		return spares
	})
	return spares
}
