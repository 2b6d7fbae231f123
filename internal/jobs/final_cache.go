package jobs

// FinalCache keeps final states of jobs, which never change, up to a limit. Those entered
// first are evicted first; they can be read from the store again.
type FinalCache struct {
	limit  int
	states map[string]Final
	order  []string
}

// NewFinalCache returns an empty cache for up to limit jobs.
func NewFinalCache(limit int) *FinalCache {
	return &FinalCache{limit: limit, states: map[string]Final{}}
}

// Get returns a job's final state if the cache has it.
func (c *FinalCache) Get(jobID string) (Final, bool) {
	final, ok := c.states[jobID]
	return final, ok
}

// Put enters a job's state if it is final and not known yet.
func (c *FinalCache) Put(jobID string, final Final) {
	if _, ok := c.states[jobID]; ok || (final.State != Done && final.State != Cancelled) {
		return
	}
	if len(c.order) >= c.limit {
		delete(c.states, c.order[0])
		c.order = c.order[1:]
	}
	c.states[jobID] = final
	c.order = append(c.order, jobID)
}
