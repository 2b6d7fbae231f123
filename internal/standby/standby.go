// Package standby is how ready a controller is to take the lead, how it finds out that
// another has ended before that one's lease does, and what it checks before it
// decides as a leader. It is pure: events come in, effects go out; it has no IO and no
// clock.
//
// A controller whose connection ends is suspected, no more: a packet filter or a lack of
// sockets ends connections, too. Who is to follow it calls it: by a key in the state
// service, which it answers by removing it, if it lives and reaches the state service.
// A call that is unanswered in time lets the caller change the view without it, in one
// transaction that is conditional on the call being there as it was written. So no
// message between controllers decides anything, and one that answers late is out, fenced
// by the view like any former member (docs/notes/standby.md).
package standby

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// CallPrefix is that of the keys by which members are called.
const CallPrefix = "call/"

// Call is the value of such a key.
type Call struct {
	Inc uint64 `json:"inc"` // incarnation that is called
	By  string `json:"by"`
	// WaitMs is how long it may stand unanswered.
	WaitMs int64 `json:"wait_ms"`
}

// DecodeCall reads a call; false if it is none.
func DecodeCall(v json.RawMessage) (Call, bool) {
	var c Call
	ok := json.Unmarshal(v, &c) == nil && c.Inc != 0 && c.WaitMs > 0
	return c, ok
}

// State is how ready a controller is.
type State string

// States of a controller.
const (
	Cold      State = "cold"      // outside the view, or not reading along
	Following State = "following" // a member
	Warm      State = "warm"      // a member that is among the first to follow the leader
	Calling   State = "calling"   // a leader is called, and this one is to follow
	Checking  State = "checking"  // leads, and has not checked all that a leader must
	Leading   State = "leading"
	Leaving   State = "leaving" // gives its place away
)

// Member is a member of the view, as others see it.
type Member struct {
	Name string
	Inc  uint64
	Zone string
	// Answers tells that its program answers calls.
	Answers bool
}

// Situation is what a look goes by.
type Situation struct {
	Now     time.Time
	Me      string
	Inside  bool // in the view, reading along, certain of its place
	Leader  string
	Members []Member
	// Lag is how far this controller is behind: with its watch, or with its own loop.
	Lag time.Duration
	// Behind tells that its watch has not come to what it wrote itself.
	Behind bool
	// Unchecked is what a leader has still to check.
	Unchecked []Check
	// Calls are those that stand in the state service, by who is called.
	Calls map[string]Call
	// Down tells that the state service does not answer.
	Down bool
}

// Act is something to do.
type Act struct {
	Kind  ActKind
	Names []string
	Wait  time.Duration // of a call
}

// ActKind names an act.
type ActKind string

// Acts.
const (
	DoCall   ActKind = "call"      // write calls
	DoAnswer ActKind = "answer"    // remove the call of this controller
	DoOut    ActKind = "out"       // change the view without these
	DoLeave  ActKind = "leave"     // change the view to one without this controller, led by Names[0]
	DoPass   ActKind = "hand over" // change the view to one led by Names[0]
)

// suspect is what is known against one incarnation of a member.
type suspect struct {
	inc   uint64
	ended time.Time // its connection ended, zero if it did not
	// seen is since when its call stands, as seen here.
	seen  time.Time
	until time.Time // it answered: not called again before
	pause time.Duration
	// answers counts calls that went since the last look.
	answers int
}

// Standby is one controller's readiness.
type Standby struct {
	State State
	Why   string
	Since time.Time
	// Turn is its place among those that are to follow the leader, -1 if it has none.
	Turn int
	// FalseAlarms counts calls that were answered.
	FalseAlarms int

	suspects map[string]*suspect
	leaving  bool
	// unfit is since when it leads while it is behind; passing on has a pause of its own,
	// so that controllers that are all behind do not pass the lead around.
	unfit     time.Time
	passedAt  time.Time
	passPause time.Duration
}

// New is a controller that has just started.
func New(now time.Time) *Standby {
	return &Standby{State: Cold, Why: "started", Since: now, suspects: map[string]*suspect{}}
}

// Ended takes in that the connection to a peer has ended or was refused.
func (s *Standby) Ended(name string, now time.Time) {
	if p := s.of(name); p.ended.IsZero() {
		p.ended = now
	}
}

// Heard takes in that a peer spoke: it lives.
func (s *Standby) Heard(name string) {
	if p := s.suspects[name]; p != nil {
		p.ended = time.Time{}
	}
}

// Called takes in that a call stands, Gone that it stands no more. Both may come
// between two looks: an answer takes a tenth of a second.
func (s *Standby) Called(name string, c Call, now time.Time) {
	if p := s.of(name); p.seen.IsZero() || p.inc != c.Inc {
		p.inc, p.seen = c.Inc, now
	}
}

// Gone takes in that a call was removed.
func (s *Standby) Gone(name string) {
	if p := s.suspects[name]; p != nil && !p.seen.IsZero() {
		p.seen, p.ended = time.Time{}, time.Time{}
		p.answers++
	}
}

// Leave has the controller give its place away.
func (s *Standby) Leave() { s.leaving = true }

func (s *Standby) of(name string) *suspect {
	p := s.suspects[name]
	if p == nil {
		p = &suspect{}
		s.suspects[name] = p
	}
	return p
}

// Look takes the situation in and says what to do. It is the one place where the state
// changes; changed tells that it did.
func (s *Standby) Look(x Situation) (acts []Act, changed bool) {
	s.compare(x)
	rank, follows := s.rank(x)
	s.Turn = follows
	if !x.Inside {
		// What it would decide is not its to decide. It still answers: a call means
		// that others count it in.
		if _, called := x.Calls[x.Me]; called && !x.Down {
			acts = append(acts, Act{Kind: DoAnswer})
		}
		return acts, s.become(Cold, "outside the view, or not certain of its place", x.Now)
	}
	if _, called := x.Calls[x.Me]; called && !s.leaving {
		acts = append(acts, Act{Kind: DoAnswer})
	}
	if x.Down {
		return nil, false // nothing can be called, answered or changed
	}
	if s.leaving {
		to := Successors(x, s.suspected)
		if x.Leader != x.Me {
			to = []string{x.Leader} // who takes note of it
		}
		if len(to) > 0 {
			acts = append(acts, Act{Kind: DoLeave, Names: to[:1]})
		}
		return acts, s.become(Leaving, "asked to end", x.Now)
	}
	if rank >= 0 {
		if call := s.toCall(x, rank); call.Names != nil {
			acts = append(acts, call)
		}
		// Whoever is behind its own call would be a leader that can't decide: those after
		// it see the call and follow instead.
		if out := s.unanswered(x, rank); out != nil && !x.Behind {
			acts = append(acts, Act{Kind: DoOut, Names: out})
		}
	}
	if to := s.passOn(x); to != "" {
		acts = append(acts, Act{Kind: DoPass, Names: []string{to}})
	}
	switch {
	case x.Leader == x.Me && len(x.Unchecked) > 0:
		return acts, s.become(Checking, "leads now", x.Now)
	case x.Leader == x.Me:
		return acts, s.become(Leading, "all is checked", x.Now)
	case rank >= 0 && s.suspected(x.Leader):
		return acts, s.become(Calling, "the leader's connection ended", x.Now)
	case follows >= 0 && follows < tuning.WarmStandbys:
		return acts, s.become(Warm, "among the first to follow", x.Now)
	}
	return acts, s.become(Following, "in the view", x.Now)
}

func (s *Standby) become(to State, why string, now time.Time) bool {
	if s.State == to {
		return false
	}
	s.State, s.Why, s.Since = to, why, now
	return true
}

func (s *Standby) suspected(name string) bool {
	p := s.suspects[name]
	return p != nil && (!p.ended.IsZero() || !p.seen.IsZero())
}

// compare brings what is known against others in step with the view and the calls.
func (s *Standby) compare(x Situation) {
	in := map[string]uint64{}
	for _, m := range x.Members {
		in[m.Name] = m.Inc
	}
	for name, p := range s.suspects {
		if in[name] == 0 || p.inc != 0 && in[name] != p.inc {
			delete(s.suspects, name) // gone, or back as another incarnation
		} else {
			p.inc = in[name]
		}
	}
	for name, inc := range in {
		p := s.suspects[name]
		if c, called := x.Calls[name]; called && c.Inc == inc && (p == nil || p.seen.IsZero()) {
			s.Called(name, c, x.Now)
		}
		if p != nil && p.answers > 0 {
			// What ended its connection may last: it is not called again and again for
			// that, however often the connection ends.
			s.FalseAlarms += p.answers
			p.pause = min(max(2*p.pause, tuning.CallPause), tuning.CallPauseMost)
			p.answers, p.until = 0, x.Now.Add(p.pause)
		}
		if p != nil && p.pause > 0 && x.Now.Sub(p.until) > tuning.CallForget {
			p.pause = 0
		}
	}
}

// rank tells when it is this controller's turn to act on a suspicion: the leader's
// first; after a suspected leader the others' in the order in which they follow it. It
// is -1 while it is not its turn at all. follows is its place among those.
func (s *Standby) rank(x Situation) (rank, follows int) {
	follows = slices.Index(Successors(x, s.suspected), x.Me)
	switch {
	case x.Leader == x.Me:
		return 0, -1
	case s.suspected(x.Leader):
		return follows, follows
	}
	return -1, follows
}

// Successors orders the members by who should lead next: those that nobody suspects,
// of other zones than the leader's first, then by name in turn after the leader's, so
// that not the same one follows every leader.
func Successors(x Situation, suspected func(string) bool) []string {
	zone := ""
	for _, m := range x.Members {
		if m.Name == x.Leader {
			zone = m.Zone
		}
	}
	var out []Member
	for _, m := range x.Members {
		if m.Name != x.Leader && (m.Name == x.Me || !suspected(m.Name)) {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b Member) int {
		return cmp.Or(order(a.Zone == zone, b.Zone == zone), order(a.Name < x.Leader, b.Name < x.Leader), cmp.Compare(a.Name, b.Name))
	})
	names := make([]string, len(out))
	for i, m := range out {
		names[i] = m.Name
	}
	return names
}

// order puts false before true.
func order(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// passOn is who a leader hands the lead to because it is behind, for some time, with its
// own loop or with the watch: what it decides comes late and conflicts. None if it isn't.
func (s *Standby) passOn(x Situation) string {
	if x.Leader != x.Me || x.Lag < tuning.UnfitLag {
		s.unfit = time.Time{}
		return ""
	}
	if s.unfit.IsZero() {
		s.unfit = x.Now
	}
	to := Successors(x, s.suspected)
	if x.Now.Sub(s.unfit) < tuning.UnfitFor || len(to) == 0 || s.suspected(to[0]) || !s.passedAt.IsZero() && x.Now.Sub(s.passedAt) < s.passPause {
		return ""
	}
	s.unfit, s.passedAt = time.Time{}, x.Now
	s.passPause = min(max(2*s.passPause, tuning.PassPause), tuning.PassPauseMost)
	return to[0]
}

// delay is how long a controller leaves the first go to those before it. One that is
// behind itself had better not be the one.
func (x Situation) delay(rank int) time.Duration {
	return time.Duration(rank)*tuning.CallStagger + min(x.Lag, tuning.CallStagger)
}

// toCall is the members that this controller is to call now. The leader's call comes
// from its followers, everybody else's from the leader.
func (s *Standby) toCall(x Situation, rank int) Act {
	ended := 0
	for _, m := range x.Members {
		if p := s.suspects[m.Name]; p != nil && !p.ended.IsZero() {
			ended++
		}
	}
	act := Act{Kind: DoCall, Wait: tuning.CallWait}
	if ended > 1 {
		// Several at once: more likely it is the way to them, so they are given time.
		act.Wait = tuning.CallWaitMany
	}
	for _, m := range x.Members {
		p := s.suspects[m.Name]
		_, called := x.Calls[m.Name]
		mine := x.Leader == x.Me || m.Name == x.Leader
		if m.Name == x.Me || !m.Answers || p == nil || p.ended.IsZero() || called || !mine {
			continue
		}
		if x.Now.Sub(p.ended) >= x.delay(rank) && !x.Now.Before(p.until) {
			act.Names = append(act.Names, m.Name)
			if p.pause > 0 {
				act.Wait = tuning.CallWaitMany // it has answered before
			}
		}
	}
	return act
}

// unanswered is the members whose calls have stood for too long.
func (s *Standby) unanswered(x Situation, rank int) []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(x.Calls)) {
		c := x.Calls[name]
		p := s.suspects[name]
		mine := x.Leader == x.Me || name == x.Leader
		if name == x.Me || p == nil || p.seen.IsZero() || p.inc != c.Inc || !mine {
			continue
		}
		if x.Now.Sub(p.seen) >= time.Duration(c.WaitMs)*time.Millisecond+x.delay(rank) {
			out = append(out, name)
		}
	}
	return out
}
