package quota

import (
	"maps"
	"slices"
	"strings"
)

// Team is a team's guarantee and limit as the platform gives them. A maximum of 0
// means no cap.
type Team struct {
	Name       string
	Guaranteed Amount
	Max        Amount
}

// Kind is what a node of the tree stands for.
type Kind string

// Kinds of nodes.
const (
	Root         Kind = "root"
	Organisation Kind = "organisation"
	TeamNode     Kind = "team"
	Class        Kind = "class"
)

// Node is a node of the tree. Every charge of a node is one of all nodes above
// it. A limit of 0 in a resource is none; so is a guarantee of 0.
type Node struct {
	Name       string
	Kind       Kind
	Guaranteed Amount
	Max        Amount
	Weight     float64 // its share of what is spare among its siblings
	Borrow     bool    // may use more than its guarantee
	Lend       bool    // others may use what it leaves of its guarantee
	parent     int     // -1 for the root
	children   []int
	depth      int
}

// Tree is the nodes; the first is the root. It never changes: a change of
// quotas is another tree.
type Tree struct {
	nodes   []Node
	teams   map[string]int
	classes map[Key]int
	// shaped: there is more to it than the platform's teams.
	shaped bool
}

// Key is what a task is charged to: its team and the class of its job.
type Key struct{ Team, Class string }

// Flat is the tree of the platform's teams alone.
func Flat(teams map[string]Team) *Tree {
	t := newTree()
	for _, name := range slices.Sorted(maps.Keys(teams)) {
		t.addTeam(0, teams[name])
	}
	return t
}

func newTree() *Tree {
	return &Tree{
		nodes:   []Node{{Kind: Root, Weight: 1, Borrow: true, Lend: true, parent: -1}},
		teams:   map[string]int{},
		classes: map[Key]int{},
	}
}

func (t *Tree) add(parent int, n Node) int {
	n.parent, n.depth = parent, t.nodes[parent].depth+1
	t.nodes = append(t.nodes, n)
	t.nodes[parent].children = append(t.nodes[parent].children, len(t.nodes)-1)
	return len(t.nodes) - 1
}

func (t *Tree) addTeam(parent int, team Team) int {
	i := t.add(
		parent,
		Node{
			Name:       team.Name,
			Kind:       TeamNode,
			Guaranteed: team.Guaranteed,
			Max:        team.Max,
			Weight:     1,
			Borrow:     true,
			Lend:       true,
		},
	)
	t.teams[team.Name] = i
	return i
}

// Leaf is the node that a task is charged to: its class's if its team has one
// for it, else its team's. Work of a team that the platform no longer names was
// accepted once and must run: it is charged to the root.
func (t *Tree) Leaf(k Key) int {
	if i, ok := t.classes[k]; ok {
		return i
	}
	if i, ok := t.teams[k.Team]; ok {
		return i
	}
	return 0
}

// Knows tells whether the platform names a team.
func (t *Tree) Knows(team string) bool {
	_, ok := t.teams[team]
	return ok
}

// Shaped tells whether there is more to the tree than the platform's teams.
func (t *Tree) Shaped() bool { return t.shaped }

// Path names a node with those above it.
func (t *Tree) Path(i int) string {
	var names []string
	for ; i > 0; i = t.nodes[i].parent {
		names = append(names, t.nodes[i].Name)
	}
	slices.Reverse(names)
	return strings.Join(names, "/")
}

// Paths names all nodes, by index.
func (t *Tree) Paths() []string {
	out := make([]string, len(t.nodes))
	for i := range t.nodes {
		out[i] = t.Path(i)
	}
	return out
}

// up calls f for a node and those above it, the root last, until it says stop.
func (t *Tree) up(i int, f func(i int, n *Node) bool) {
	for ; i >= 0; i = t.nodes[i].parent {
		if !f(i, &t.nodes[i]) {
			return
		}
	}
}

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

// Allows tells whether n more tasks of amount a are inside the limits of a leaf
// and of all nodes above it.
func (c *Account) Allows(leaf int, a Amount, n int) bool {
	return c.FullAt(leaf, a, n) < 0
}

// Ever tells whether n tasks of amount a would be inside all limits if nothing
// else ran.
func (t *Tree) Ever(leaf int, a Amount, n int) bool {
	ok := true
	t.up(leaf, func(_ int, node *Node) bool {
		ok = (Amount{}).Add(a, n).inside(node.top())
		return ok
	})
	return ok
}

// More is how many more tasks of amount a, up to n, a leaf may have.
func (c *Account) More(leaf int, a Amount, n int) int {
	below := -1
	c.tree.up(leaf, func(i int, node *Node) bool {
		n = times(c.used[i], a, c.room(i, below, node), n)
		below = i
		return n > 0
	})
	return n
}

// top is a node's limit by itself: what does not borrow ends at its guarantee.
func (n *Node) top() Amount {
	if n.Borrow {
		return n.Max
	}
	top := n.Max
	if n.Guaranteed.Cores > 0 {
		top.Cores = n.Guaranteed.Cores
	}
	if n.Guaranteed.Accelerators > 0 {
		top.Accelerators = n.Guaranteed.Accelerators
	}
	if n.Guaranteed.MemoryGB > 0 {
		top.MemoryGB = n.Guaranteed.MemoryGB
	}
	return top
}

// room is a node's limit for what comes through one of its children: less what
// its other children that don't lend have left of their guarantees.
func (c *Account) room(i, through int, node *Node) Amount {
	top := node.top()
	for _, k := range node.children {
		if child := &c.tree.nodes[k]; k != through && !child.Lend {
			kept := child.Guaranteed.less(c.used[k])
			top = Amount{
				keep(top.Cores, kept.Cores),
				keep(top.Accelerators, kept.Accelerators),
				keep(top.MemoryGB, kept.MemoryGB),
			}
		}
	}
	return top
}

// keep takes away from a limit that is one; nothing left must not read as none.
func keep(limit, kept int64) int64 {
	if limit == 0 || kept == 0 {
		return limit
	}
	return max(limit-kept, 1)
}

// none is the entitlement of what lies within no guarantee.
const none = -1

// Entitled is the lowest node, from the leaf upward, within whose guarantee n
// more tasks of amount a lie; none if there is no such node. What is within an
// organisation's guarantee but beyond its team's is borrowed from the team's
// siblings.
func (c *Account) Entitled(leaf int, a Amount, n int) int {
	node := none
	c.tree.up(leaf, func(i int, x *Node) bool {
		if x.Guaranteed != (Amount{}) && c.used[i].Add(a, n).inside(x.Guaranteed) {
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
	if entitled == none {
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
	if entitled == none {
		return false
	}
	yields := true
	c.tree.up(leaf, func(i int, n *Node) bool {
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
	c.tree.up(leaf, func(i int, n *Node) bool {
		if c.tree.Under(needs, i) {
			return false
		}
		spares = c.used[i].Add(a, -1).Covers(n.Guaranteed)
		return spares
	})
	return spares
}

// Way is what the sides of the tree that a leaf is on, from the top down, use of the
// spare capacity for their weight; nil in a tree that has only the platform's teams.
// What a node with children runs itself is one more side, of weight 1: with ways
// that ended there, which job came before which was not transitive, and the order of
// three jobs depended on the order in which they were looked at.
func (c *Account) Way(leaf int) []float64 {
	if !c.tree.shaped {
		return nil
	}
	var out []float64
	c.tree.up(leaf, func(i int, n *Node) bool {
		if n.parent >= 0 {
			out = append(out, c.behind(i))
		}
		return true
	})
	slices.Reverse(out)
	if children := c.tree.nodes[leaf].children; len(children) > 0 {
		own := c.used[leaf]
		for _, k := range children {
			own = own.Add(c.used[k], -1)
		}
		out = append(out, share(own, c.used[leaf]))
	}
	return out
}

// CompareWays orders two leaves by their ways: who has had less goes first. It is
// progressive filling: each task goes to the side that is behind.
func CompareWays(a, b []float64) int { return slices.Compare(a, b) }

// behind is what a node uses beyond its guarantee for its weight, by the resource
// of which it uses the most of what its parent has in use.
func (c *Account) behind(i int) float64 {
	n := &c.tree.nodes[i]
	return share(c.used[i].less(n.Guaranteed), c.used[n.parent]) / n.Weight
}

// share is the part of a whole, by the resource of which it is the most.
func share(part, all Amount) float64 {
	most := 0.0
	each(func(_ string, of func(Amount) int64) {
		if of(all) > 0 {
			most = max(most, float64(of(part))/float64(of(all)))
		}
	})
	return most
}

// Over lists the nodes whose use is beyond their limit, as after a change of the
// tree: the lowest first.
func (c *Account) Over() []int {
	var out []int
	for i := range c.tree.nodes {
		if c.Excess(i) != (Amount{}) {
			out = append(out, i)
		}
	}
	slices.SortStableFunc(out, func(a, b int) int { return c.tree.nodes[b].depth - c.tree.nodes[a].depth })
	return out
}

// Under tells whether a leaf is a node or below it.
func (t *Tree) Under(leaf, node int) bool {
	found := false
	t.up(leaf, func(i int, _ *Node) bool {
		found = i == node
		return !found
	})
	return found
}

// Excess is what a node uses beyond its limit.
func (c *Account) Excess(i int) Amount {
	top := c.tree.nodes[i].top()
	over := c.used[i].less(top)
	if top.Cores == 0 {
		over.Cores = 0
	}
	if top.Accelerators == 0 {
		over.Accelerators = 0
	}
	if top.MemoryGB == 0 {
		over.MemoryGB = 0
	}
	return over
}

// Helps tells whether an amount that goes takes anything off an excess.
func (a Amount) Helps(excess Amount) bool {
	return a.Cores > 0 && excess.Cores > 0 || a.Accelerators > 0 && excess.Accelerators > 0 ||
		a.MemoryGB > 0 && excess.MemoryGB > 0
}
