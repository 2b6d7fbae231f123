package quota

import (
	"maps"
	"slices"
	"strings"
)

// Team is a team's guarantee and limit as the platform gives them.
type Team struct {
	Name       string
	Guaranteed Amount
	Max        Amount // 0 in a resource: no limit
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

// Node is a node of the tree. What is charged to a node is charged to all nodes above it. A
// limit of 0 in a resource is none; so is a guarantee of 0.
type Node struct {
	Name       string
	Kind       Kind
	Guaranteed Amount
	Max        Amount  // its limit
	Weight     float64 // of its share among its siblings in what is spare
	Borrow     bool    // may use more than its guarantee
	Lend       bool    // others may use what it leaves of its guarantee
	parent     int     // -1 for the root
	children   []int   // in the order of the document
	depth      int     // 0 for the root
}

// effectiveLimit is a node's limit by itself: what does not borrow ends at its guarantee.
func (n *Node) effectiveLimit() Amount {
	if n.Borrow {
		return n.Max
	}
	limit := n.Max
	if n.Guaranteed.Cores > 0 {
		limit.Cores = n.Guaranteed.Cores
	}
	if n.Guaranteed.Accelerators > 0 {
		limit.Accelerators = n.Guaranteed.Accelerators
	}
	if n.Guaranteed.MemoryGB > 0 {
		limit.MemoryGB = n.Guaranteed.MemoryGB
	}
	return limit
}

// Tree holds the nodes of the quotas. It never changes once it is built: a change of quotas is
// another tree. Nodes are named by their index, 0 for the root.
type Tree struct {
	nodes   []Node
	teams   map[string]int // node by team
	classes map[Key]int    // node by class
	nested  bool           // there is more to it than the platform's teams
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

// add appends a node below a parent and returns its index.
func (t *Tree) add(parent int, node Node) int {
	index := len(t.nodes)
	node.parent = parent
	node.depth = t.nodes[parent].depth + 1
	t.nodes = append(t.nodes, node)
	t.nodes[parent].children = append(t.nodes[parent].children, index)
	return index
}

// addTeam appends a team's node below a parent and returns its index.
func (t *Tree) addTeam(parent int, team Team) int {
	index := t.add(parent, Node{
		Name:       team.Name,
		Kind:       TeamNode,
		Guaranteed: team.Guaranteed,
		Max:        team.Max,
		Weight:     1,
		Borrow:     true,
		Lend:       true,
	})
	t.teams[team.Name] = index
	return index
}

// Leaf is the node that a task is charged to: its class's if its team has one
// for it, else its team's. Work of a team that the platform no longer names was
// accepted once and must run: it is charged to the root.
func (t *Tree) Leaf(key Key) int {
	if node, ok := t.classes[key]; ok {
		return node
	}
	if node, ok := t.teams[key.Team]; ok {
		return node
	}
	return 0
}

// HasTeam tells whether the platform names a team.
func (t *Tree) HasTeam(team string) bool {
	_, ok := t.teams[team]
	return ok
}

// Nested tells whether there is more to the tree than the platform's teams.
func (t *Tree) Nested() bool { return t.nested }

// Path names a node after those above it, separated by slashes; "" for the root.
func (t *Tree) Path(node int) string {
	var names []string
	for i := node; i > 0; i = t.nodes[i].parent {
		names = append(names, t.nodes[i].Name)
	}
	slices.Reverse(names)
	return strings.Join(names, "/")
}

// Paths are the paths of all nodes, by index.
func (t *Tree) Paths() []string {
	paths := make([]string, len(t.nodes))
	for i := range t.nodes {
		paths[i] = t.Path(i)
	}
	return paths
}

// walkUp calls f for a node and those above it, the root last, until f returns false.
func (t *Tree) walkUp(from int, f func(i int, node *Node) bool) {
	for i := from; i >= 0; i = t.nodes[i].parent {
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

// EverAllows tells whether count tasks, of amount each, would be within all limits of a leaf and of
// the nodes above it if nothing else ran.
func (t *Tree) EverAllows(leaf int, each Amount, count int) bool {
	allowed := true
	t.walkUp(leaf, func(_ int, node *Node) bool {
		allowed = (Amount{}).Add(each, count).within(node.effectiveLimit())
		return allowed
	})
	return allowed
}
