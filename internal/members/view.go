package members

import (
	"encoding/json"
	"slices"
	"strings"
)

// Member is a live controller.
type Member struct {
	Name string `json:"name"`
	// Incarnation is the ID of the lease that the controller's member key is attached to. A
	// restarted controller has a new lease and thus a new incarnation.
	Incarnation uint64 `json:"inc"`
}

// View is the cluster view, stored under ViewKey.
type View struct {
	Leader  string   `json:"leader"`
	Members []Member `json:"members"`
	// Epoch starts at 1 and increases by one with each change of the view.
	Epoch uint64 `json:"epoch"`
}

// Incarnation returns the incarnation of a member, 0 if the view does not contain it.
func (v *View) Incarnation(name string) uint64 {
	for _, m := range v.Members {
		if m.Name == name {
			return m.Incarnation
		}
	}
	return 0
}

// Names returns the members' names.
func (v *View) Names() []string {
	out := make([]string, 0, len(v.Members))
	for _, m := range v.Members {
		out = append(out, m.Name)
	}
	return out
}

// Removed returns the names of members that the next view does not contain, or contains with
// another incarnation. It returns nil if there is no view yet (v is nil).
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

// Joined returns the names of members of the next view that v does not contain, or contains with
// another incarnation. It returns all of them if there is no view yet (v is nil).
func (v *View) Joined(next *View) []string {
	if v == nil {
		return next.Names()
	}
	return next.Removed(v)
}

// HasMembers reports whether the view has exactly these members, in this order.
func (v *View) HasMembers(members []Member) bool { return slices.Equal(v.Members, members) }

// Decode decodes a stored view. It returns false if the value is not a valid view.
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
	Outside  Role = "outside"  // not in the view; makes no decisions
	Follower Role = "follower" // owns a shard
	Leader   Role = "leader"   // also schedules tasks, scales the cluster and changes the view
)

// RoleOf returns the role of an incarnation of a controller in a view.
func RoleOf(v *View, name string, incarnation uint64) Role {
	switch {
	case v == nil || incarnation == 0 || v.Incarnation(name) != incarnation:
		return Outside
	case v.Leader == name:
		return Leader
	}
	return Follower
}

// ViewInputs contains everything that NextView bases its decision on.
type ViewInputs struct {
	Name        string
	Incarnation uint64            // of this controller, 0 if it has no lease
	View        *View             // nil if there is no view yet
	MemberKeys  map[string]uint64 // incarnation by name
	Unreachable map[string]bool   // members that agents cannot reach
	BackingOff  map[string]bool   // members that restart repeatedly and are not admitted yet
	// RecentlyStarted is set until this incarnation has been up for tuning.TakeoverDeference.
	RecentlyStarted bool
}

// NextView returns the view that this controller should write now, or nil. Normally the leader
// writes it. If the leader is lost, any live controller may write it; the precondition on the view's
// revision lets only one of them succeed. A controller that has recently started leaves it to the
// live members of the view: it knows of no restarts, and a leader that keeps restarting would
// readmit itself each time.
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

// liveMembers returns the members of the next view, sorted by name.
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

// admits reports whether the restart backoff lets a member into the view. Members of the current
// view stay, and a controller never holds itself back: if all controllers crash repeatedly, one of
// them must still lead.
func (in ViewInputs) admits(name string, incarnation uint64) bool {
	if !in.BackingOff[name] || name == in.Name {
		return true
	}
	return in.View != nil && in.View.Incarnation(name) == incarnation
}

// mayChangeView reports whether this controller should replace the view by one with these members,
// and whether that would change anything.
func (in ViewInputs) mayChangeView(live []Member) bool {
	if in.leaderLost() {
		return !in.defersToMembers()
	}
	return in.View.Leader == in.Name && !in.View.HasMembers(live)
}

// leaderLost reports whether the leader of the view is no longer able to lead.
func (in ViewInputs) leaderLost() bool { return !in.canLead(in.View.Leader) }

// defersToMembers reports whether this controller leaves the replacement of a lost leader to a live
// member of the view.
func (in ViewInputs) defersToMembers() bool {
	if !in.RecentlyStarted || RoleOf(in.View, in.Name, in.Incarnation) != Outside {
		return false
	}
	return slices.ContainsFunc(in.View.Names(), in.canLead)
}

// canLead reports whether a controller is in the view, still has a member key with the incarnation
// that the view lists, and can be reached by agents.
func (in ViewInputs) canLead(name string) bool {
	incarnation := in.View.Incarnation(name)
	return incarnation != 0 && in.MemberKeys[name] == incarnation && !in.Unreachable[name]
}
