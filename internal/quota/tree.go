package quota

import (
	"maps"
	"slices"
	"strings"
)

// Team holds a team's guarantee and limit, as the platform's settings give them.
type Team struct {
	Name       string
	Guaranteed Amount
	Limit      Amount // the team's limit; 0 in a resource means no limit
}

// Kind says what a node of the tree represents.
type Kind string

// Kinds of nodes.
const (
	Root         Kind = "root"
	Organisation Kind = "organisation"
	TeamNode     Kind = "team"
	Class        Kind = "class"
)

// Node is a node of the tree. A charge to a node is also a charge to all its ancestors. In each
// resource, a limit of 0 means no limit and a guarantee of 0 means no guarantee.
type Node struct {
	Name       string
	Kind       Kind
	Guaranteed Amount
	Limit      Amount
	Weight     float64 // relative to those of its siblings when they share spare capacity
	Borrow     bool    // may use more than its guarantee
	Lend       bool    // other nodes may use the unused part of its guarantee
	parent     int     // -1 for the root
	children   []int   // in the order of the document
	depth      int     // 0 for the root
}

// effectiveLimit returns the node's own limit. For a node that may not borrow, the limit in each
// resource with a guarantee is that guarantee.
func (n *Node) effectiveLimit() Amount {
	if n.Borrow {
		return n.Limit
	}
	limit := n.Limit
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

// Tree is the quota tree. It is immutable: a change of quotas builds a new tree. Nodes are
// identified by their index; the root has index 0.
type Tree struct {
	nodes   []Node
	teams   map[string]int // node index by team
	classes map[Key]int    // node index by team and class
	nested  bool           // it was built from a document, not from the platform's teams alone
}

// Key identifies what a task is charged to: its team and the class of its job.
type Key struct{ Team, Class string }

// Flat returns the tree in which all of the platform's teams are children of the root.
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
		Limit:      team.Limit,
		Weight:     1,
		Borrow:     true,
		Lend:       true,
	})
	t.teams[team.Name] = index
	return index
}

// Leaf returns the node that a task is charged to: the node of its class if there is one, else the
// node of its team. Jobs of a team that has been removed from the platform's settings were accepted
// and must still run, so they are charged to the root.
func (t *Tree) Leaf(key Key) int {
	if node, ok := t.classes[key]; ok {
		return node
	}
	if node, ok := t.teams[key.Team]; ok {
		return node
	}
	return 0
}

// HasTeam reports whether a team is in the tree.
func (t *Tree) HasTeam(team string) bool {
	_, ok := t.teams[team]
	return ok
}

// Nested reports whether the tree was built from a document, not from the platform's teams alone.
func (t *Tree) Nested() bool { return t.nested }

// Path returns the names of the nodes from below the root down to a node, separated by slashes; ""
// for the root.
func (t *Tree) Path(node int) string {
	var names []string
	for i := node; i > 0; i = t.nodes[i].parent {
		names = append(names, t.nodes[i].Name)
	}
	slices.Reverse(names)
	return strings.Join(names, "/")
}

// Paths returns the paths of all nodes, by index.
func (t *Tree) Paths() []string {
	paths := make([]string, len(t.nodes))
	for i := range t.nodes {
		paths[i] = t.Path(i)
	}
	return paths
}

// walkUp calls f for a node and then for each of its ancestors up to the root, until f returns
// false.
func (t *Tree) walkUp(from int, f func(i int, node *Node) bool) {
	for i := from; i >= 0; i = t.nodes[i].parent {
		if !f(i, &t.nodes[i]) {
			return
		}
	}
}

// InSubtree reports whether leaf is in the subtree of node, which includes node itself.
func (t *Tree) InSubtree(leaf, node int) bool {
	found := false
	t.walkUp(leaf, func(i int, _ *Node) bool {
		found = i == node
		return !found
	})
	return found
}

// EverAllows reports whether the limits of a leaf and of all its ancestors would allow count tasks
// if nothing else were running. The parameter each is the amount that one task uses.
func (t *Tree) EverAllows(leaf int, each Amount, count int) bool {
	allowed := true
	t.walkUp(leaf, func(_ int, node *Node) bool {
		allowed = (Amount{}).Add(each, count).within(node.effectiveLimit())
		return allowed
	})
	return allowed
}
