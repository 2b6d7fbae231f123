package quota

// View describes a node for operators and their scripts. For compatibility, fields may be added but
// never removed or renamed.
type View struct {
	Path       string  `json:"path"`
	Kind       Kind    `json:"kind"`
	Depth      int     `json:"depth"`
	Used       Bounds  `json:"used"`
	Guaranteed Bounds  `json:"guaranteed"`
	Limit      Bounds  `json:"limit"`
	Borrowed   Bounds  `json:"borrowed"` // used beyond the guarantee
	Lent       Bounds  `json:"lent"`     // unused part of the guarantee, which other nodes may use
	Weight     float64 `json:"weight"`
	Waiting    int     `json:"waiting"` // number of waiting tasks in the node's subtree
	Why        string  `json:"why,omitempty"`
}

// Views returns the views of all nodes in pre-order, the root first. waiting is the number of
// waiting tasks by leaf.
func (a *Account) Views(waiting map[int]int) []View {
	_, views := a.appendViews(nil, 0, waiting)
	return views
}

// appendViews appends the views of a node and its descendants. It also returns the number of tasks
// that wait in this subtree.
func (a *Account) appendViews(views []View, i int, waiting map[int]int) (int, []View) {
	position := len(views)
	views = append(views, a.view(i))
	sum := waiting[i]
	for _, k := range a.tree.nodes[i].children {
		var below int
		below, views = a.appendViews(views, k, waiting)
		sum += below
	}
	views[position].Waiting = sum
	views[position].Why = a.statusText(i, sum)
	return sum, views
}

// view returns the view of one node, without Waiting and Why, which depend on its subtree.
func (a *Account) view(i int) View {
	node := &a.tree.nodes[i]
	v := View{
		Path:       a.tree.Path(i),
		Kind:       node.Kind,
		Depth:      node.depth,
		Used:       toBounds(a.used[i]),
		Guaranteed: toBounds(node.Guaranteed),
		Limit:      toBounds(node.effectiveLimit()),
		// Only usage of a resource that has a guarantee can count as borrowed.
		Borrowed: toBounds(a.used[i].subClamped(node.Guaranteed).maskedBy(node.Guaranteed)),
		Weight:   node.Weight,
	}
	if node.Lend {
		v.Lent = toBounds(node.Guaranteed.subClamped(a.used[i]))
	}
	return v
}

// statusText describes the state of a node that has the given number of waiting tasks, for
// operators; "" if there is nothing to report.
func (a *Account) statusText(i, waiting int) string {
	node := &a.tree.nodes[i]
	excess := a.Excess(i)
	switch {
	case excess != (Amount{}):
		return "over its limit by " + excess.String()
	case waiting <= 0:
		return ""
	case a.used[i].atLimit(node.effectiveLimit()):
		return "at its limit"
	case node.Guaranteed != (Amount{}) && a.used[i].within(node.Guaranteed):
		return "within its guarantee, waits for room"
	}
	return ""
}
