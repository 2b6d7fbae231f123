package standin

import (
	"log/slog"
	"strings"
	"testing"
	"time"
)

// The users' own rules must fail what they are there to fail.
func TestUsersRules(t *testing.T) {
	w := NewWorld(1, slog.New(slog.DiscardHandler))
	w.Now = w.Start.Add(10 * time.Minute)
	at := func(s int) time.Time { return w.Start.Add(time.Duration(s) * time.Second) }
	add := func(uid, class, owner string, pieces, submitted, begun int) *Job {
		j := &Job{UID: uid, Class: class, Owner: owner, Pieces: pieces, Accel: 1, Accepted: true, SubmittedAt: at(submitted), LastOK: w.Now}
		if begun > 0 {
			j.Begun = at(begun)
		}
		w.Jobs[uid] = j
		return j
	}
	// Eleven jobs of one class: the largest tenth are two, the 50 and the 40.
	for i := range 9 {
		add("wk-"+string(rune('a'+i)), "c", "t", 1, 0, 5)
	}
	add("wk-x", "c", "t", 50, 10, 251)
	add("wk-y", "c", "t", 40, 10, 250)
	w.CheckServed(true)
	if len(w.Broken) != 1 || !strings.Contains(w.Broken[0], "begins late: largest of c: 2 of 2 served, 1 late, the latest after 4m1s") {
		t.Errorf("largest in time: %q", w.Broken)
	}
	w.Broken = nil
	w.Jobs["wk-x"].Begun, w.Jobs["wk-y"].Begun = time.Time{}, time.Time{}
	add("wk-z", "d", "u", 1, 0, 0).AbortAsked = true // its user no longer waits
	w.CheckServed(false)
	if len(w.Broken) != 1 || !strings.Contains(w.Broken[0], "served too little: largest of c: 0 of 2") {
		t.Errorf("largest served: %q", w.Broken)
	}
	w.Broken = nil
	w.Aftermath()
	if len(w.Broken) != len(w.Jobs)-1 || !strings.Contains(w.Broken[0], "forgotten: no question about wk-a was answered") {
		t.Errorf("forgotten: %q", w.Broken)
	}
}
