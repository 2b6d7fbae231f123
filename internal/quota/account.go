package quota

import "slices"

// Account holds the usage of each node of a tree. The leader's account is the authoritative one;
// copies of it are used to evaluate possible decisions.
type Account struct {
	tree *Tree
	used []Amount // by node index
	// charged is the sum of the charges to each key, from which the usage in another tree can be
	// computed; nil in a copy.
	charged map[Key]Amount
	// suspended is set while the tree in force is unknown. The account then allows nothing.
	suspended bool
}

// NewAccount returns an empty account of a tree.
func NewAccount(tree *Tree) *Account {
	return &Account{
		tree:    tree,
		used:    make([]Amount, len(tree.nodes)),
		charged: map[Key]Amount{},
	}
}

// Tree returns the tree whose usage the account holds.
func (a *Account) Tree() *Tree { return a.tree }

// Charge adds count tasks to the usage of a key's leaf and of all its ancestors; count may be
// negative. The parameter each is the amount that one task uses. Usage changes nowhere else.
func (a *Account) Charge(key Key, each Amount, count int) {
	if a.charged != nil {
		if sum := a.charged[key].Add(each, count); sum == (Amount{}) {
			delete(a.charged, key)
		} else {
			a.charged[key] = sum
		}
	}
	a.chargeNodes(key, each, count)
}

func (a *Account) chargeNodes(key Key, each Amount, count int) {
	a.tree.walkUp(a.tree.Leaf(key), func(i int, _ *Node) bool {
		a.used[i] = a.used[i].Add(each, count)
		return true
	})
}

// Suspend makes the account allow nothing until it is rebased, because another tree than its own is
// in force, which can't be read.
func (a *Account) Suspend() { a.suspended = true }

// Rebase moves the account to another tree and recomputes the usage from the charges by key.
func (a *Account) Rebase(tree *Tree) {
	a.tree = tree
	a.suspended = false
	a.used = make([]Amount, len(tree.nodes))
	for key, sum := range a.charged {
		a.chargeNodes(key, sum, 1)
	}
}

// Clone returns a copy of the account, to which tentative charges can be made. The copy can't be
// rebased.
func (a *Account) Clone() *Account {
	return &Account{tree: a.tree, used: slices.Clone(a.used), suspended: a.suspended}
}

// RebasedOn returns a copy of the account, moved to another tree. The account itself must not be a
// copy.
func (a *Account) RebasedOn(tree *Tree) *Account {
	rebased := &Account{charged: a.charged}
	rebased.Rebase(tree)
	rebased.charged = nil
	return rebased
}

// Used returns a node's current usage.
func (a *Account) Used(node int) Amount { return a.used[node] }
