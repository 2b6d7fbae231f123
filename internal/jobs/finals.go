package jobs

// Finals keeps final states, which never change, up to a bound; the oldest are
// forgotten first, for they can be read again.
type Finals struct {
	most  int
	state map[string]Final
	order []string
}

// NewFinals makes an empty cache for so many jobs.
func NewFinals(most int) *Finals { return &Finals{most: most, state: map[string]Final{}} }

// Get returns a job's final state, if it is known.
func (c *Finals) Get(uid string) (Final, bool) {
	f, ok := c.state[uid]
	return f, ok
}

// Put enters a job's state if it is a final one.
func (c *Finals) Put(uid string, f Final) {
	if _, ok := c.state[uid]; ok || (f.State != Done && f.State != Cancelled) {
		return
	}
	if len(c.order) >= c.most {
		delete(c.state, c.order[0])
		c.order = c.order[1:]
	}
	c.state[uid] = f
	c.order = append(c.order, uid)
}
