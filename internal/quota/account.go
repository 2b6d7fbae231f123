package quota

import "slices"

// Account is what the nodes of a tree use. Only the leader's own account says what is in
// use; copies are for what is being considered.
type Account struct {
	tree *Tree
	used []Amount // by node
	// charged is what was charged to each key, from which the use of another tree
	// follows; nil in a copy.
	charged map[Key]Amount
}

// NewAccount returns an empty account of a tree.
func NewAccount(tree *Tree) *Account {
	return &Account{
		tree:    tree,
		used:    make([]Amount, len(tree.nodes)),
		charged: map[Key]Amount{},
	}
}

// Tree is the tree that the account is of.
func (a *Account) Tree() *Tree { return a.tree }

// Charge adds count tasks, of amount each, to a key's leaf and to all nodes above it; count
// may be negative. This is the one place where use changes.
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

// Rebase makes the account one of another tree: what runs is charged where the
// new tree has it.
func (a *Account) Rebase(tree *Tree) {
	a.tree = tree
	a.used = make([]Amount, len(tree.nodes))
	for key, sum := range a.charged {
		a.chargeNodes(key, sum, 1)
	}
}

// Clone copies the account, to charge in the copy what is only being considered. The copy
// can't be rebased.
func (a *Account) Clone() *Account {
	return &Account{tree: a.tree, used: slices.Clone(a.used)}
}

// RebasedOn is a copy of the account on another tree. It needs an account that is no copy itself.
func (a *Account) RebasedOn(tree *Tree) *Account {
	rebased := &Account{charged: a.charged}
	rebased.Rebase(tree)
	rebased.charged = nil
	return rebased
}

// Used is a node's present use.
func (a *Account) Used(node int) Amount { return a.used[node] }
