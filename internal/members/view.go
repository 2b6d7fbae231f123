package members

import (
	"encoding/json"
	"slices"
	"sort"
)

// View is the value of the view key.
type View struct {
	Leader  string   `json:"leader"`
	Members []Member `json:"members"`
	Epoch   uint64   `json:"epoch"`
}

// Incarnation is the incarnation of a member in the view, 0 if it is not in it.
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

// Removed lists the names of members that are not in the next view, or are there as
// another incarnation.
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

// HasMembers tells whether the view has exactly these members.
func (v *View) HasMembers(ms []Member) bool { return slices.Equal(v.Members, ms) }

// Decode reads a view.
func Decode(b []byte) (*View, bool) {
	var v View
	if json.Unmarshal(b, &v) != nil || v.Epoch == 0 {
		return nil, false
	}
	return &v, true
}

// ViewInputs is all that a change of view is decided from.
type ViewInputs struct {
	Name        string
	Incarnation uint64            // my incarnation, 0 while I have none
	View        *View             // nil when there is none yet
	Keys        map[string]uint64 // member keys: name to incarnation
	Unreachable map[string]bool   // members that workers cannot reach
	BackingOff  map[string]bool   // members that keep ending and are not let in yet
}

// Role is this controller's state in the cluster.
type Role string

// Roles of a controller.
const (
	Outside  Role = "outside"  // not in the view: decides nothing
	Follower Role = "follower" // owns a part
	Leader   Role = "leader"   // also releases, rents and changes the view
)

// RoleOf tells what the view makes of an incarnation.
func RoleOf(v *View, me string, incarnation uint64) Role {
	switch {
	case v == nil || incarnation == 0 || v.Incarnation(me) != incarnation:
		return Outside
	case v.Leader == me:
		return Leader
	}
	return Follower
}

// NextView returns the view that this controller should write now, or nil. The
// leader writes it; when the leader's member key is gone or belongs to
// another incarnation, or workers cannot reach it, any live member may, and
// the condition on the view's stamp lets one succeed.
func NextView(s ViewInputs) *View {
	if s.Incarnation == 0 || s.Keys[s.Name] != s.Incarnation {
		return nil
	}
	var live []Member
	for name, incarnation := range s.Keys {
		// Whoever is in the view stays, and nobody holds himself back: where all keep
		// ending, somebody must lead.
		if !s.Unreachable[name] && (!s.BackingOff[name] || name == s.Name || s.View != nil && s.View.Incarnation(name) == incarnation) {
			live = append(live, Member{name, incarnation})
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Name < live[j].Name })
	if len(live) == 0 {
		return nil
	}
	if s.View == nil {
		return &View{Leader: s.Name, Members: live, Epoch: 1}
	}
	leaderAlive := s.View.Incarnation(s.View.Leader) != 0 && s.Keys[s.View.Leader] == s.View.Incarnation(s.View.Leader)
	switch {
	case s.View.Leader == s.Name && leaderAlive:
		if s.Unreachable[s.Name] || s.View.HasMembers(live) {
			return nil
		}
	case leaderAlive && !s.Unreachable[s.View.Leader]:
		return nil
	case s.Unreachable[s.Name]:
		return nil
	}
	return &View{Leader: s.Name, Members: live, Epoch: s.View.Epoch + 1}
}
