package quota

// View is a node for people and scripts. Fields are only ever added.
type View struct {
	Path       string  `json:"path"`
	Kind       Kind    `json:"kind"`
	Depth      int     `json:"depth"`
	Used       Bounds  `json:"used"`
	Guaranteed Bounds  `json:"guaranteed"`
	Limit      Bounds  `json:"limit"`
	Borrowed   Bounds  `json:"borrowed"` // used beyond the guarantee
	Lent       Bounds  `json:"lent"`     // of the guarantee, unused: others may have it
	Weight     float64 `json:"weight"`
	Waiting    int     `json:"waiting"` // tasks
	Why        string  `json:"why,omitempty"`
}

// Show lists all nodes from the root down. waiting counts tasks by leaf.
func (a *Account) Show(waiting map[int]int) []View {
	_, views := a.appendViews(nil, 0, waiting)
	return views
}

// appendViews appends the views of a node and of all below it, and counts the tasks that wait
// there.
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
	views[position].Why = a.whyWaiting(i, sum)
	return sum, views
}

// view shows a node by itself, without what waits.
func (a *Account) view(i int) View {
	node := &a.tree.nodes[i]
	v := View{
		Path:       a.tree.Path(i),
		Kind:       node.Kind,
		Depth:      node.depth,
		Used:       toBounds(a.used[i]),
		Guaranteed: toBounds(node.Guaranteed),
		Limit:      toBounds(node.effectiveLimit()),
		// Only where there is a guarantee can anything be beyond it.
		Borrowed: toBounds(a.used[i].minus(node.Guaranteed).whereSet(node.Guaranteed)),
		Weight:   node.Weight,
	}
	if node.Lend {
		v.Lent = toBounds(node.Guaranteed.minus(a.used[i]))
	}
	return v
}

// whyWaiting tells people what state a node is in that has so many tasks waiting; "" if there
// is nothing to say.
func (a *Account) whyWaiting(i, waiting int) string {
	node := &a.tree.nodes[i]
	excess := a.Excess(i)
	switch {
	case excess != (Amount{}):
		return "over its limit by " + excess.String()
	case waiting <= 0:
		return ""
	case a.used[i].reaches(node.effectiveLimit()):
		return "at its limit"
	case node.Guaranteed != (Amount{}) && a.used[i].within(node.Guaranteed):
		return "within its guarantee, waits for room"
	}
	return ""
}
