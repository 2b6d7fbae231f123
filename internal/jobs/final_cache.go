package jobs

// FinalCache keeps final states, which never change, up to a bound; the oldest are
// forgotten first, for they can be read again.
type FinalCache struct {
	limit  int
	states map[string]Final
	order  []string
}

// NewFinalCache makes an empty cache for so many jobs.
func NewFinalCache(limit int) *FinalCache {
	return &FinalCache{limit: limit, states: map[string]Final{}}
}

// Get returns a job's final state, if it is known.
func (c *FinalCache) Get(jobID string) (Final, bool) {
	f, ok := c.states[jobID]
	return f, ok
}

// Put enters a job's state if it is a final one.
func (c *FinalCache) Put(jobID string, f Final) {
	if _, ok := c.states[jobID]; ok || (f.State != Done && f.State != Cancelled) {
		return
	}
	if len(c.order) >= c.limit {
		delete(c.states, c.order[0])
		c.order = c.order[1:]
	}
	c.states[jobID] = f
	c.order = append(c.order, jobID)
}
