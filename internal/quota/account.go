package quota

import "slices"

// Account is what the nodes of a tree use.
type Account struct {
	tree *Tree
	used []Amount
	// by is what was charged to each key, from which the use of another tree
	// follows; nil in a copy that is only to be tried on.
	by map[Key]Amount
}

// NewAccount makes an empty account of a tree.
func NewAccount(t *Tree) *Account {
	return &Account{tree: t, used: make([]Amount, len(t.nodes)), by: map[Key]Amount{}}
}

// Tree is the tree that the account is of.
func (c *Account) Tree() *Tree { return c.tree }

// Charge books n tasks of amount a to a key's leaf and to all nodes above it; n
// may be negative. This is the one place where use changes.
func (c *Account) Charge(k Key, a Amount, n int) {
	if c.by != nil {
		if sum := c.by[k].Add(a, n); sum == (Amount{}) {
			delete(c.by, k)
		} else {
			c.by[k] = sum
		}
	}
	c.tree.up(c.tree.Leaf(k), func(i int, _ *Node) bool {
		c.used[i] = c.used[i].Add(a, n)
		return true
	})
}

// Rebase makes the account one of another tree: what runs is charged where the
// new tree has it.
func (c *Account) Rebase(t *Tree) {
	c.tree, c.used = t, make([]Amount, len(t.nodes))
	for k, a := range c.by {
		t.up(t.Leaf(k), func(i int, _ *Node) bool {
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
	out := &Account{by: c.by}
	out.Rebase(t)
	out.by = nil
	return out
}

// Used is a node's present use.
func (c *Account) Used(i int) Amount { return c.used[i] }
