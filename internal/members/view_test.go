package members

import "testing"

func view(leader string, epoch uint64, ms ...Member) *View {
	return &View{Leader: leader, Members: ms, Epoch: epoch}
}

func TestNext(t *testing.T) {
	a1, b2, c3 := Member{"a", 1}, Member{"b", 2}, Member{"c", 3}
	all := map[string]uint64{"a": 1, "b": 2, "c": 3}
	for name, c := range map[string]struct {
		s    ViewInputs
		want *View
	}{
		"first view":               {ViewInputs{Name: "a", Incarnation: 1, Keys: map[string]uint64{"a": 1}}, view("a", 1, a1)},
		"nothing to change":        {ViewInputs{Name: "a", Incarnation: 1, Keys: all, View: view("a", 4, a1, b2, c3)}, nil},
		"leader adds a member":     {ViewInputs{Name: "a", Incarnation: 1, Keys: all, View: view("a", 4, a1, b2)}, view("a", 5, a1, b2, c3)},
		"a restart is a new epoch": {ViewInputs{Name: "a", Incarnation: 1, Keys: map[string]uint64{"a": 1, "b": 9}, View: view("a", 4, a1, b2)}, view("a", 5, a1, Member{"b", 9})},
		"followers leave it alone": {ViewInputs{Name: "b", Incarnation: 2, Keys: all, View: view("a", 4, a1, b2)}, nil},
		"the leader is gone":       {ViewInputs{Name: "b", Incarnation: 2, Keys: map[string]uint64{"b": 2, "c": 3}, View: view("a", 4, a1, b2, c3)}, view("b", 5, b2, c3)},
		"the leader was restarted": {ViewInputs{Name: "a", Incarnation: 7, Keys: map[string]uint64{"a": 7, "b": 2}, View: view("a", 4, a1, b2)}, view("a", 5, Member{"a", 7}, b2)},
		"no member key, no say":    {ViewInputs{Name: "b", Incarnation: 2, Keys: map[string]uint64{"c": 3}, View: view("a", 4, a1)}, nil},
		"an old incarnation's key": {ViewInputs{Name: "b", Incarnation: 8, Keys: map[string]uint64{"b": 2}, View: view("a", 4, a1)}, nil},
		"leader votes one out":     {ViewInputs{Name: "a", Incarnation: 1, Keys: all, View: view("a", 4, a1, b2, c3), Unreachable: map[string]bool{"b": true}}, view("a", 5, a1, c3)},
		"workers miss the leader":  {ViewInputs{Name: "b", Incarnation: 2, Keys: all, View: view("a", 4, a1, b2, c3), Unreachable: map[string]bool{"a": true}}, view("b", 5, b2, c3)},
		"one who is out stays out": {ViewInputs{Name: "b", Incarnation: 2, Keys: all, View: view("a", 4, a1, b2, c3), Unreachable: map[string]bool{"a": true, "b": true}}, nil},
	} {
		got := NextView(c.s)
		if (got == nil) != (c.want == nil) || (got != nil && (got.Leader != c.want.Leader || got.Epoch != c.want.Epoch || !got.HasMembers(c.want.Members))) {
			t.Errorf("%s: got %+v, want %+v", name, got, c.want)
		}
	}
}

func TestRoleOf(t *testing.T) {
	v := view("a", 4, Member{"a", 1}, Member{"b", 2})
	for _, c := range []struct {
		me   string
		inc  uint64
		want Role
	}{{"a", 1, Leader}, {"b", 2, Follower}, {"a", 5, Outside}, {"c", 3, Outside}, {"a", 0, Outside}} {
		if got := RoleOf(v, c.me, c.inc); got != c.want {
			t.Errorf("%s %d: %s", c.me, c.inc, got)
		}
	}
}

func TestLeft(t *testing.T) {
	old := &View{Members: []Member{{"a", 1}, {"b", 2}, {"c", 3}}}
	got := old.Removed(&View{Members: []Member{{"a", 1}, {"b", 9}}})
	if len(got) != 2 || got[0] != "b" || got[1] != "c" {
		t.Errorf("left: %v", got)
	}
	if (*View)(nil).Removed(old) != nil {
		t.Error("nobody leaves no view")
	}
}
