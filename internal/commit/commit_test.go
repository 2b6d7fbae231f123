package commit

import (
	"encoding/json"
	"errors"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
)

// sent is a request at the state service that is not answered yet.
type sent struct {
	target string
	body   string
	answer func(status int, body []byte, err error)
}

// committer is one with a wide budget, and what it has sent.
func committer() (*Committer, *[]sent) {
	out := &[]sent{}
	client := store.New(func(_, target string, body []byte, _ time.Duration, done func(int, []byte, error)) {
		*out = append(*out, sent{target, string(body), done})
	}, nil)
	client.SetBudget(1000, 1000, 1000)
	b := clusterstate.New(quota.Flat(nil), func(string) {})
	b.Now = time.UnixMilli(1e12)
	client.Dispatch(b.Now)
	c := New(b, Env{
		Name: "n0", StoreLimits: settings.State{TxnOps: 16}, ValueBytes: 8192, Log: slog.New(slog.DiscardHandler),
		Client: client, Mirror: store.NewMirror(func(string, json.RawMessage, uint64) {}),
		HasView: func() bool { return true }, Epoch: func() uint64 { return 7 }, OwnsMachine: func(string) bool { return true },
		Preconditions: func() []string { return []string{"quotas"} }, ApplyCalendar: func(ds []decide.Decision) []decide.Decision { return ds },
		Touch: func(*clusterstate.Task) {}, Wake: func() {}, WatchNow: func() {},
	})
	return c, out
}

// note is a decision that writes one key, and notes what came of it.
func note(key string, became *[]bool) decide.Decision {
	return decide.Decision{Urgent: true, Writes: []store.Write{decide.Put(key, 1)}, OnSettled: func(ok bool) { *became = append(*became, ok) }}
}

// After a transaction without an answer nothing is decided before the fence is raised
// and the watch has come to it.
func TestNoAnswerFences(t *testing.T) {
	c, out := committer()
	var became []bool
	commit := func(key string) { c.Commit([]decide.Decision{note(key, &became)}) }
	commit("a/1")
	for _, key := range []string{members.ViewKey, "fence/n0", "quotas", "a/1"} {
		if !strings.Contains((*out)[0].body, `{"key":"`+key+`","stamp":0}`) {
			t.Errorf("not conditional on %s: %s", key, (*out)[0].body)
		}
	}
	(*out)[0].answer(0, nil, errors.New("cut"))
	if len(*out) != 2 || (*out)[1].target != "/store/a/1" || !c.Busy("a/1") {
		t.Fatalf("not read again: %+v", *out)
	}
	(*out)[1].answer(404, []byte(`{"epoch":3}`), nil)
	if c.Busy("a/1") || !slices.Equal(became, []bool{false}) {
		t.Fatal("not settled")
	}
	commit("a/2")
	if len(*out) != 3 || !strings.Contains((*out)[2].body, `"write":"fence/n0"`) || strings.Contains((*out)[2].body, "a/2") {
		t.Fatalf("no fence: %+v", (*out)[2:])
	}
	(*out)[2].answer(200, []byte(`{"epoch":9}`), nil)
	commit("a/3")
	if len(*out) != 3 || !c.Fencing() {
		t.Fatal("decided before the watch came to the fence")
	}
	c.Mirror.Epoch = 9
	commit("a/4")
	if len(*out) != 4 || !strings.Contains((*out)[3].body, `{"key":"fence/n0","stamp":9}`) {
		t.Fatalf("after the fence: %+v", (*out)[3:])
	}
}

// A conflict over a pack is settled by the watch alone.
func TestPackConflictWaitsForTheWatch(t *testing.T) {
	c, out := committer()
	var became []bool
	key := taskbatch.KeyPrefix + "1-n0-1"
	c.Commit([]decide.Decision{note(key, &became)})
	(*out)[0].answer(409, []byte(`{"epoch":5,"failed":["`+key+`"]}`), nil)
	c.Mirror.Epoch = 4
	c.SettleWatched()
	if len(*out) != 1 || !c.Busy(key) || len(became) != 0 {
		t.Fatal("a pack was read by itself, or settled early")
	}
	c.Mirror.Epoch = 5
	c.SettleWatched()
	if c.Busy(key) || !slices.Equal(became, []bool{false}) {
		t.Fatal("not settled")
	}
}

// Of a refused transaction only the one decision that is to blame is set aside.
func TestRefusedInHalves(t *testing.T) {
	c, out := committer()
	var became []bool
	var ds []decide.Decision
	for _, key := range []string{"a/1", "a/2", "a/bad", "a/4"} {
		ds = append(ds, note(key, &became))
	}
	c.Commit(ds)
	// An answer may have more sent, so what is left is looked at anew each time.
	for len(*out) > 0 {
		request := (*out)[0]
		*out = (*out)[1:]
		if strings.Contains(request.body, "a/bad") {
			request.answer(400, nil, nil)
		} else {
			request.answer(200, []byte(`{"epoch":2}`), nil)
		}
	}
	if c.Quarantined() != 1 || len(became) != 4 || c.Busy("a/bad") {
		t.Fatalf("%d set aside, %v", c.Quarantined(), became)
	}
	before := len(*out)
	c.Commit(ds[2:3])
	if len(*out) != before {
		t.Error("made again at once")
	}
}
