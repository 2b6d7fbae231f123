package quota

// noNode is the entitlement of what lies within no guarantee.
const noNode = -1

// Entitled is the lowest node, from the leaf upward, within whose guarantee n
// more tasks of amount a lie; none if there is no such node. What is within an
// organisation's guarantee but beyond its team's is borrowed from the team's
// siblings.
func (c *Account) Entitled(leaf int, a Amount, n int) int {
	node := noNode
	c.tree.walkUp(leaf, func(i int, x *Node) bool {
		if x.Guaranteed != (Amount{}) && c.used[i].Add(a, n).within(x.Guaranteed) {
			node = i
			return false
		}
		return true
	})
	return node
}

// FairShareOrder is the place of a node in the queue: 0 for what lies within its own team's
// guarantee, then what lies within those further up, the nearest first, last what
// lies within none.
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

// Yields tells whether a task of amount a, charged to leaf, has to make way for one
// that is within the guarantee of a node: with it gone, all nodes on its side must
// still have what they are guaranteed. What shares the guarantee does not yield.
func (c *Account) Yields(entitled, leaf int, a Amount) bool {
	if entitled == noNode {
		return false
	}
	yields := true
	c.tree.walkUp(leaf, func(i int, n *Node) bool {
		if c.tree.Under(entitled, i) { // the two sides meet here
			yields = yields && i != entitled
			return false
		}
		yields = yields && c.used[i].Add(a, -1).Covers(n.Guaranteed)
		return yields
	})
	return yields
}

// Spares tells whether all nodes on a leaf's side still have what they are guaranteed
// once amount a of it is gone, up to where its side and that of the one which needs the
// room meet: what shares a guarantee has no claim against its own side.
func (c *Account) Spares(needs, leaf int, a Amount) bool {
	spares := true
	c.tree.walkUp(leaf, func(i int, n *Node) bool {
		if c.tree.Under(needs, i) {
			return false
		}
		spares = c.used[i].Add(a, -1).Covers(n.Guaranteed)
		return spares
	})
	return spares
}
