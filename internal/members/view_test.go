package members

import (
	"slices"
	"testing"
)

func view(leader string, epoch uint64, members ...Member) *View {
	return &View{Leader: leader, Members: members, Epoch: epoch}
}

var (
	a1, b2, c3 = Member{"a", 1}, Member{"b", 2}, Member{"c", 3}
	allKeys    = map[string]uint64{"a": 1, "b": 2, "c": 3}
)

var nextViewTests = map[string]struct {
	inputs ViewInputs
	want   *View
}{
	"first view": {
		inputs: ViewInputs{Name: "a", Incarnation: 1, MemberKeys: map[string]uint64{"a": 1}},
		want:   view("a", 1, a1),
	},
	"nothing to change": {
		inputs: ViewInputs{Name: "a", Incarnation: 1, MemberKeys: allKeys, View: view("a", 4, a1, b2, c3)},
	},
	"the leader adds a member": {
		inputs: ViewInputs{Name: "a", Incarnation: 1, MemberKeys: allKeys, View: view("a", 4, a1, b2)},
		want:   view("a", 5, a1, b2, c3),
	},
	"a restarted member gets a new epoch": {
		inputs: ViewInputs{
			Name: "a", Incarnation: 1,
			MemberKeys: map[string]uint64{"a": 1, "b": 9},
			View:       view("a", 4, a1, b2),
		},
		want: view("a", 5, a1, Member{"b", 9}),
	},
	"a follower does not change the view of a live leader": {
		inputs: ViewInputs{Name: "b", Incarnation: 2, MemberKeys: allKeys, View: view("a", 4, a1, b2)},
	},
	"a follower replaces a leader without a member key": {
		inputs: ViewInputs{
			Name: "b", Incarnation: 2,
			MemberKeys: map[string]uint64{"b": 2, "c": 3},
			View:       view("a", 4, a1, b2, c3),
		},
		want: view("b", 5, b2, c3),
	},
	"a restarted leader stays leader as a new incarnation": {
		inputs: ViewInputs{
			Name: "a", Incarnation: 7,
			MemberKeys: map[string]uint64{"a": 7, "b": 2},
			View:       view("a", 4, a1, b2),
		},
		want: view("a", 5, Member{"a", 7}, b2),
	},
	"a leader that has just restarted leaves its replacement to a live member": {
		inputs: ViewInputs{
			Name: "a", Incarnation: 7,
			MemberKeys:      map[string]uint64{"a": 7, "b": 2},
			View:            view("a", 4, a1, b2),
			RecentlyStarted: true,
		},
	},
	"a member that has just started replaces a restarted leader and admits it": {
		inputs: ViewInputs{
			Name: "b", Incarnation: 2,
			MemberKeys:      map[string]uint64{"a": 7, "b": 2},
			View:            view("a", 4, a1, b2),
			RecentlyStarted: true,
		},
		want: view("b", 5, Member{"a", 7}, b2),
	},
	"a leader that has just restarted leads if all members have restarted": {
		inputs: ViewInputs{
			Name: "a", Incarnation: 7,
			MemberKeys:      map[string]uint64{"a": 7, "b": 9, "c": 3},
			View:            view("a", 4, a1, b2),
			RecentlyStarted: true,
		},
		want: view("a", 5, Member{"a", 7}, Member{"b", 9}, c3),
	},
	"a leader that has just restarted leads if agents cannot reach the members": {
		inputs: ViewInputs{
			Name: "a", Incarnation: 7,
			MemberKeys:      map[string]uint64{"a": 7, "b": 2},
			View:            view("a", 4, a1, b2),
			Unreachable:     map[string]bool{"b": true},
			RecentlyStarted: true,
		},
		want: view("a", 5, Member{"a", 7}),
	},
	"a controller without a member key writes no view": {
		inputs: ViewInputs{
			Name: "b", Incarnation: 2,
			MemberKeys: map[string]uint64{"c": 3},
			View:       view("a", 4, a1),
		},
	},
	"a controller whose member key has its former incarnation writes no view": {
		inputs: ViewInputs{
			Name: "b", Incarnation: 8,
			MemberKeys: map[string]uint64{"b": 2},
			View:       view("a", 4, a1),
		},
	},
	"the leader removes an unreachable member": {
		inputs: ViewInputs{
			Name: "a", Incarnation: 1,
			MemberKeys:  allKeys,
			View:        view("a", 4, a1, b2, c3),
			Unreachable: map[string]bool{"b": true},
		},
		want: view("a", 5, a1, c3),
	},
	"a follower replaces an unreachable leader": {
		inputs: ViewInputs{
			Name: "b", Incarnation: 2,
			MemberKeys:  allKeys,
			View:        view("a", 4, a1, b2, c3),
			Unreachable: map[string]bool{"a": true},
		},
		want: view("b", 5, b2, c3),
	},
	"an unreachable follower replaces no leader": {
		inputs: ViewInputs{
			Name: "b", Incarnation: 2,
			MemberKeys:  allKeys,
			View:        view("a", 4, a1, b2, c3),
			Unreachable: map[string]bool{"a": true, "b": true},
		},
	},
}

func TestNextViewIsWrittenByTheLeaderUnlessItIsLost(t *testing.T) {
	for name, test := range nextViewTests {
		t.Run(name, func(t *testing.T) {
			if got := NextView(test.inputs); !sameView(got, test.want) {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

func sameView(a, b *View) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Leader == b.Leader && a.Epoch == b.Epoch && a.HasMembers(b.Members)
}

func TestRoleOfRequiresTheIncarnationInTheView(t *testing.T) {
	v := view("a", 4, Member{"a", 1}, Member{"b", 2})
	for name, test := range map[string]struct {
		controller  string
		incarnation uint64
		want        Role
	}{
		"the leader":             {"a", 1, Leader},
		"a member":               {"b", 2, Follower},
		"a restarted leader":     {"a", 5, Outside},
		"not in the view":        {"c", 3, Outside},
		"without an incarnation": {"a", 0, Outside},
	} {
		t.Run(name, func(t *testing.T) {
			if got := RoleOf(v, test.controller, test.incarnation); got != test.want {
				t.Errorf("%s, incarnation %d: %s, want %s", test.controller, test.incarnation, got, test.want)
			}
		})
	}
}

func TestRemovedReturnsMissingAndRestartedMembers(t *testing.T) {
	old := &View{Members: []Member{{"a", 1}, {"b", 2}, {"c", 3}}}
	got := old.Removed(&View{Members: []Member{{"a", 1}, {"b", 9}}})
	if len(got) != 2 || got[0] != "b" || got[1] != "c" {
		t.Errorf("removed: %v", got)
	}
	if (*View)(nil).Removed(old) != nil {
		t.Error("members removed although there was no view")
	}
}

func TestJoinedReturnsAddedAndRestartedMembers(t *testing.T) {
	next := &View{Members: []Member{{"a", 1}, {"b", 9}, {"c", 3}}}
	got := (&View{Members: []Member{{"a", 1}, {"b", 2}, {"d", 4}}}).Joined(next)
	if !slices.Equal(got, []string{"b", "c"}) {
		t.Errorf("joined: %v", got)
	}
	if got := (*View)(nil).Joined(next); !slices.Equal(got, []string{"a", "b", "c"}) {
		t.Errorf("joined the first view: %v", got)
	}
}
