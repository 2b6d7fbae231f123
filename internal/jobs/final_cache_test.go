package jobs

import "testing"

func TestFinalCacheIsBounded(t *testing.T) {
	c := NewFinalCache(2)
	c.Put("wk-1", StoredState{State: Live})
	c.Put("wk-2", StoredState{State: Done, DoneCount: 3})
	c.Put("wk-2", StoredState{State: Cancelled}) // a final state never changes
	c.Put("wk-3", StoredState{State: Cancelled})
	if f, ok := c.Get("wk-2"); !ok || f.State != Done || f.DoneCount != 3 {
		t.Errorf("wk-2: %v %v", f, ok)
	}
	if _, ok := c.Get("wk-1"); ok {
		t.Error("a live state is cached")
	}
	c.Put("wk-4", StoredState{State: Done})
	if _, ok := c.Get("wk-2"); ok || len(c.order) != 2 {
		t.Errorf("cached jobs: %v, want two without wk-2", c.order)
	}
}
