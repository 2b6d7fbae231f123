package members

import (
	"encoding/json"
	"slices"
	"strings"
)

// Member is a live controller.
type Member struct {
	Name string `json:"name"`
	// Incarnation is the id of the lease that the controller's member key hangs on: a restart
	// has a new lease and so is a new incarnation.
	Incarnation uint64 `json:"inc"`
}

// View is the value of ViewKey.
type View struct {
	Leader  string   `json:"leader"`
	Members []Member `json:"members"`
	// Epoch grows by one with each change of the view, from 1.
	Epoch uint64 `json:"epoch"`
}

// Incarnation returns the incarnation of a member in the view, 0 if it is not in it.
func (v *View) Incarnation(name string) uint64 {
	for _, m := range v.Members {
		if m.Name == name {
			return m.Incarnation
		}
	}
	return 0
}

// Names lists the members' names.
func (v *View) Names() []string {
	out := make([]string, 0, len(v.Members))
	for _, m := range v.Members {
		out = append(out, m.Name)
	}
	return out
}

// Removed lists the names of members that are not in the next view, or are in it as another
// incarnation; none if there is no view yet (v is nil).
func (v *View) Removed(next *View) []string {
	var out []string
	if v == nil {
		return out
	}
	for _, m := range v.Members {
		if next.Incarnation(m.Name) != m.Incarnation {
			out = append(out, m.Name)
		}
	}
	return out
}

// HasMembers reports whether the view has exactly these members, in this order.
func (v *View) HasMembers(members []Member) bool { return slices.Equal(v.Members, members) }

// leaderAlive reports whether the leader still has the member key of the incarnation in the view.
func (v *View) leaderAlive(memberKeys map[string]uint64) bool {
	incarnation := v.Incarnation(v.Leader)
	return incarnation != 0 && memberKeys[v.Leader] == incarnation
}

// Decode reads a stored view; false if it is none.
func Decode(b []byte) (*View, bool) {
	var v View
	if json.Unmarshal(b, &v) != nil || v.Epoch == 0 {
		return nil, false
	}
	return &v, true
}

// Role is what a controller may do in the cluster.
type Role string

// Roles of a controller.
const (
	Outside  Role = "outside"  // not in the view: decides nothing
	Follower Role = "follower" // owns a shard
	Leader   Role = "leader"   // also places tasks, scales out and in, and changes the view
)

// RoleOf returns the role that the view gives an incarnation of a controller.
func RoleOf(v *View, name string, incarnation uint64) Role {
	switch {
	case v == nil || incarnation == 0 || v.Incarnation(name) != incarnation:
		return Outside
	case v.Leader == name:
		return Leader
	}
	return Follower
}

// ViewInputs is all that a change of the view is decided from.
type ViewInputs struct {
	Name        string
	Incarnation uint64            // this controller's, 0 while it has none
	View        *View             // nil while there is none
	MemberKeys  map[string]uint64 // name to incarnation
	Unreachable map[string]bool   // members that agents cannot reach
	BackingOff  map[string]bool   // members that keep crashing and are not admitted yet
}

// NextView returns the view that this controller should write now, or nil. The leader writes
// it; when the leader's member key is gone or belongs to another incarnation, or agents cannot
// reach the leader, any live member may, and the precondition on the view's revision lets one
// of them succeed.
func NextView(in ViewInputs) *View {
	if in.Incarnation == 0 || in.MemberKeys[in.Name] != in.Incarnation {
		return nil
	}
	live := in.liveMembers()
	switch {
	case len(live) == 0:
		return nil
	case in.View == nil:
		return &View{Leader: in.Name, Members: live, Epoch: 1}
	case in.Unreachable[in.Name] || !in.mayChangeView(live):
		return nil
	}
	return &View{Leader: in.Name, Members: live, Epoch: in.View.Epoch + 1}
}

// liveMembers lists the members of the next view, by name.
func (in ViewInputs) liveMembers() []Member {
	var live []Member
	for name, incarnation := range in.MemberKeys {
		if !in.Unreachable[name] && in.admits(name, incarnation) {
			live = append(live, Member{Name: name, Incarnation: incarnation})
		}
	}
	slices.SortFunc(live, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return live
}

// admits reports whether restarts do not keep a member out. Who is in the view stays, and no
// controller holds itself back: where all keep crashing, one must lead.
func (in ViewInputs) admits(name string, incarnation uint64) bool {
	if !in.BackingOff[name] || name == in.Name {
		return true
	}
	return in.View != nil && in.View.Incarnation(name) == incarnation
}

// mayChangeView reports whether this controller is the one to replace the view by one of these
// members, and there is something to change.
func (in ViewInputs) mayChangeView(live []Member) bool {
	if !in.View.leaderAlive(in.MemberKeys) {
		return true
	}
	if in.View.Leader == in.Name {
		return !in.View.HasMembers(live)
	}
	return in.Unreachable[in.View.Leader]
}
