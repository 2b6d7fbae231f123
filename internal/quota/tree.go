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

// effectiveLimit is a node's limit by itself: what does not borrow ends at its guarantee.
func (n *Node) effectiveLimit() Amount {
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

// Tree is the nodes; the first is the root. It never changes: a change of
// quotas is another tree.
type Tree struct {
	nodes   []Node
	teams   map[string]int
	classes map[Key]int
	// nested: there is more to it than the platform's teams.
	nested bool
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
func (t *Tree) Shaped() bool { return t.nested }

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

// walkUp calls f for a node and those above it, the root last, until it says stop.
func (t *Tree) walkUp(i int, f func(i int, n *Node) bool) {
	for ; i >= 0; i = t.nodes[i].parent {
		if !f(i, &t.nodes[i]) {
			return
		}
	}
}

// Under tells whether a leaf is a node or below it.
func (t *Tree) Under(leaf, node int) bool {
	found := false
	t.walkUp(leaf, func(i int, _ *Node) bool {
		found = i == node
		return !found
	})
	return found
}

// Ever tells whether n tasks of amount a would be inside all limits if nothing
// else ran.
func (t *Tree) Ever(leaf int, a Amount, n int) bool {
	ok := true
	t.walkUp(leaf, func(_ int, node *Node) bool {
		ok = (Amount{}).Add(a, n).within(node.effectiveLimit())
		return ok
	})
	return ok
}
