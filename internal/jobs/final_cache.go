package jobs

// FinalCache caches the final states of jobs, which never change. When it is full, the oldest
// entry is evicted; evicted states can be read from the store again.
type FinalCache struct {
	limit  int
	states map[string]StoredState
	order  []string
}

// NewFinalCache returns an empty cache that holds up to limit jobs.
func NewFinalCache(limit int) *FinalCache {
	return &FinalCache{limit: limit, states: map[string]StoredState{}}
}

// Get returns a job's final state, and whether the cache holds it.
func (c *FinalCache) Get(jobID string) (StoredState, bool) {
	final, ok := c.states[jobID]
	return final, ok
}

// Put adds a job's state. It ignores states that are not final and jobs already in the cache.
func (c *FinalCache) Put(jobID string, final StoredState) {
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
