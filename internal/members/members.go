// Package members keeps the view: who leads, who lives, and the epoch that
// fences every decision.
package members

import (
	"encoding/json"
	"slices"
	"sort"
	"strings"
)

// Keys in the state service.
const (
	ViewKey      = "view"
	MemberPrefix = "member/"
	// FormPrefix is that of the keys in which members say what they can read.
	FormPrefix = "form/"
)

// Member is a live controller. Inc is the id of the lease that its member key
// hangs on: a restart has a new lease and so is a new incarnation.
type Member struct {
	Name string `json:"name"`
	Inc  uint64 `json:"inc"`
}

// View is the value of the view key.
type View struct {
	Leader  string   `json:"leader"`
	Members []Member `json:"members"`
	Epoch   uint64   `json:"epoch"`
}

// Inc is the incarnation of a member in the view, 0 if it is not in it.
func (v *View) Inc(name string) uint64 {
	for _, m := range v.Members {
		if m.Name == name {
			return m.Inc
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

// Left lists the names of members that are not in the next view, or are there as
// another incarnation.
func (v *View) Left(next *View) []string {
	var out []string
	if v == nil {
		return out
	}
	for _, m := range v.Members {
		if next.Inc(m.Name) != m.Inc {
			out = append(out, m.Name)
		}
	}
	return out
}

// Same tells whether the view has exactly these members.
func (v *View) Same(ms []Member) bool { return slices.Equal(v.Members, ms) }

// Decode reads a view.
func Decode(b []byte) (*View, bool) {
	var v View
	if json.Unmarshal(b, &v) != nil || v.Epoch == 0 {
		return nil, false
	}
	return &v, true
}

// Situation is all that a change of view is decided from.
type Situation struct {
	Me   string
	Inc  uint64            // my incarnation, 0 while I have none
	View *View             // nil when there is none yet
	Keys map[string]uint64 // member keys: name to incarnation
	Out  map[string]bool   // members that workers cannot reach
	Held map[string]bool   // members that keep ending and are not let in yet
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
func RoleOf(v *View, me string, inc uint64) Role {
	switch {
	case v == nil || inc == 0 || v.Inc(me) != inc:
		return Outside
	case v.Leader == me:
		return Leader
	}
	return Follower
}

// Next returns the view that this controller should write now, or nil. The
// leader writes it; when the leader's member key is gone or belongs to
// another incarnation, or workers cannot reach it, any live member may, and
// the condition on the view's stamp lets one succeed.
func Next(s Situation) *View {
	if s.Inc == 0 || s.Keys[s.Me] != s.Inc {
		return nil
	}
	var live []Member
	for name, inc := range s.Keys {
		// Whoever is in the view stays, and nobody holds himself back: where all keep
		// ending, somebody must lead.
		if !s.Out[name] && (!s.Held[name] || name == s.Me || s.View != nil && s.View.Inc(name) == inc) {
			live = append(live, Member{name, inc})
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Name < live[j].Name })
	if len(live) == 0 {
		return nil
	}
	if s.View == nil {
		return &View{Leader: s.Me, Members: live, Epoch: 1}
	}
	leaderAlive := s.View.Inc(s.View.Leader) != 0 && s.Keys[s.View.Leader] == s.View.Inc(s.View.Leader)
	switch {
	case s.View.Leader == s.Me && leaderAlive:
		if s.Out[s.Me] || s.View.Same(live) {
			return nil
		}
	case leaderAlive && !s.Out[s.View.Leader]:
		return nil
	case s.Out[s.Me]:
		return nil
	}
	return &View{Leader: s.Me, Members: live, Epoch: s.View.Epoch + 1}
}

// NameOfKey is the member's name in a member key.
func NameOfKey(key string) string { return strings.TrimPrefix(key, MemberPrefix) }

// Forms is what one incarnation of a controller can read of the records that came
// after the first version. A controller that says nothing reads none of them.
type Forms struct {
	Inc  uint64 `json:"inc"`
	Pack int    `json:"pack"` // newest form of packs
	// Calls tells that it answers calls (package standby): one that does not must not be
	// taken for dead because of it.
	Calls bool `json:"calls,omitempty"`
}

// AllRead tells whether every member of the view reads packs of some form.
func (v *View) AllRead(forms map[string]Forms, pack int) bool {
	for _, m := range v.Members {
		if f := forms[m.Name]; f.Inc != m.Inc || f.Pack < pack {
			return false
		}
	}
	return true
}
