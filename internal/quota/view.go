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
func (c *Account) Show(waiting map[int]int) []View {
	var out []View
	var visit func(i int) int
	visit = func(i int) int {
		n := &c.tree.nodes[i]
		at := len(out)
		lent := n.Guaranteed.minus(c.used[i])
		v := View{
			Path:       c.tree.Path(i),
			Kind:       n.Kind,
			Depth:      n.depth,
			Used:       toBounds(c.used[i]),
			Guaranteed: toBounds(n.Guaranteed),
			Limit:      toBounds(n.effectiveLimit()),
			Weight:     n.Weight,
		}
		// Only where there is a guarantee can anything be beyond it.
		beyond := c.used[i].minus(n.Guaranteed)
		v.Borrowed = toBounds(
			Amount{
				beyond.Cores * sign(n.Guaranteed.Cores),
				beyond.Accelerators * sign(n.Guaranteed.Accelerators),
				beyond.MemoryGB * sign(n.Guaranteed.MemoryGB),
			},
		)
		if n.Lend {
			v.Lent = toBounds(lent)
		}
		out = append(out, v)
		sum := waiting[i]
		for _, k := range n.children {
			sum += visit(k)
		}
		out[at].Waiting = sum
		over, top := c.Excess(i), n.effectiveLimit()
		switch {
		case over != (Amount{}):
			out[at].Why = "over its limit by " + over.String()
		case sum > 0 && (top.Cores > 0 && c.used[i].Cores == top.Cores || top.Accelerators > 0 && c.used[i].Accelerators == top.Accelerators || top.MemoryGB > 0 && c.used[i].MemoryGB == top.MemoryGB):
			out[at].Why = "at its limit"
		case sum > 0 && n.Guaranteed != (Amount{}) && c.used[i].within(n.Guaranteed):
			out[at].Why = "within its guarantee, waits for room"
		}
		return sum
	}
	visit(0)
	return out
}

// sign is 1 for an amount that is there, else 0.
func sign(v int64) int64 { return min(max(v, 0), 1) }
