package quota

import "slices"

// Account is what the nodes of a tree use.
type Account struct {
	tree *Tree
	used []Amount
	// charged is what was charged to each key, from which the use of another tree
	// follows; nil in a copy that is only to be tried on.
	charged map[Key]Amount
}

// NewAccount makes an empty account of a tree.
func NewAccount(t *Tree) *Account {
	return &Account{tree: t, used: make([]Amount, len(t.nodes)), charged: map[Key]Amount{}}
}

// Tree is the tree that the account is of.
func (c *Account) Tree() *Tree { return c.tree }

// Charge books n tasks of amount a to a key's leaf and to all nodes above it; n
// may be negative. This is the one place where use changes.
func (c *Account) Charge(k Key, a Amount, n int) {
	if c.charged != nil {
		if sum := c.charged[k].Add(a, n); sum == (Amount{}) {
			delete(c.charged, k)
		} else {
			c.charged[k] = sum
		}
	}
	c.tree.walkUp(c.tree.Leaf(k), func(i int, _ *Node) bool {
		c.used[i] = c.used[i].Add(a, n)
		return true
	})
}

// Rebase makes the account one of another tree: what runs is charged where the
// new tree has it.
func (c *Account) Rebase(t *Tree) {
	c.tree, c.used = t, make([]Amount, len(t.nodes))
	for k, a := range c.charged {
		t.walkUp(t.Leaf(k), func(i int, _ *Node) bool {
			c.used[i] = c.used[i].Add(a, 1)
			return true
		})
	}
}

// Clone copies the account, to charge in it what is only being considered.
func (c *Account) Clone() *Account {
	return &Account{tree: c.tree, used: slices.Clone(c.used)}
}

// On is a copy of the account on another tree.
func (c *Account) On(t *Tree) *Account {
	out := &Account{charged: c.charged}
	out.Rebase(t)
	out.charged = nil
	return out
}

// Used is a node's present use.
func (c *Account) Used(i int) Amount { return c.used[i] }
