package calendar

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// ReservationPrefix is the prefix of the IDs of reservations that only keep capacity free for a
// window that is about to open.
const ReservationPrefix = "kept "

// Config contains the settings of a Service.
type Config struct {
	// ClockErrorMs is the maximum error of a controller's wall clock, in ms.
	ClockErrorMs float64
	// ValueBytes is the size limit of a record.
	ValueBytes int
	// MaxTxnWrites is the maximum number of puts and deletes in a transaction.
	MaxTxnWrites int
	// ScalerStepS is the time between two steps of the scaler, in seconds.
	ScalerStepS float64
	// FreshSteps is the number of scaler steps during which a new leader prepares no windows.
	FreshSteps int
	Log        *slog.Logger
}

// Collaborators are the parts of the controller that a Service depends on.
type Collaborators struct {
	Mirror   *store.Mirror
	Clock    WallClock
	Commits  CommitQueue
	Machines MachineOwner
}

// WallClock reads the wall clock.
type WallClock interface {
	// WallMs returns the wall-clock time in Unix ms.
	WallMs() int64
}

// CommitQueue commits decisions.
type CommitQueue interface {
	// Busy reports whether a pending transaction includes a record.
	Busy(key string) bool
	// Commit queues decisions for commit.
	Commit(decisions []decide.Decision)
}

// MachineOwner tracks which machines respond, and changes their state.
type MachineOwner interface {
	// UnresponsiveSince returns since when a machine has not responded, or false if it responds.
	UnresponsiveSince(machine *clusterstate.Machine) (time.Time, bool)
	// TransitionMachine returns the decisions that apply an event to a machine's record, none if
	// the event changes nothing.
	TransitionMachine(machine string, event fleet.Event, reason string) []decide.Decision
}

// Service connects the keeper to a controller. A nil Service does nothing: the calendar is
// disabled.
type Service struct {
	state    *clusterstate.State
	config   Config
	mirror   *store.Mirror
	clock    WallClock
	commits  CommitQueue
	machines MachineOwner

	keeper          *Keeper
	leadingSince    time.Time // zero if this controller does not lead
	stopsCheckedAt  time.Time
	lateCheckedAt   time.Time
	logged          map[string]bool // windows and jobs that were logged already
	overruledLogged bool            // the log says already that another document is in force
	// documentUnreadable says that the document in force can't be read. It is then neither
	// replaced nor applied.
	documentUnreadable bool
}

// New returns the service for a controller's own calendar file, or nil without a file.
func New(state *clusterstate.State, file *Document, config Config, collaborators Collaborators) *Service {
	if file == nil {
		return nil
	}
	plan, err := Compile(file)
	if err != nil {
		config.Log.Error("calendar file rejected", "error", err) // not expected: it was validated when it was read
		return nil
	}
	return &Service{
		state:    state,
		config:   config,
		mirror:   collaborators.Mirror,
		clock:    collaborators.Clock,
		commits:  collaborators.Commits,
		machines: collaborators.Machines,
		keeper:   NewKeeper(plan, config.ValueBytes),
		logged:   map[string]bool{},
	}
}

// Keys returns the calendar keys that every decision is conditional on. They are also the prefixes
// to read.
func (s *Service) Keys() []string {
	if s == nil {
		return nil
	}
	return []string{StoreKey}
}

// PreconditionCount returns how many preconditions the calendar may add to a decision: the document
// in force, the track of the class in it, and the track of the class under an earlier revision.
func (s *Service) PreconditionCount() int {
	if s == nil {
		return 0
	}
	return 3
}

// Changed applies a change of a key of the state service. It reports whether the key belongs to the
// calendar.
func (s *Service) Changed(key string, value json.RawMessage) bool {
	track, isTrack := strings.CutPrefix(key, TrackPrefix)
	if key != StoreKey && !isTrack {
		return false
	}
	if s == nil {
		return true
	}
	var err error
	if isTrack {
		err = s.keeper.ApplyTrack(track, value)
	} else {
		err = s.keeper.ApplyDocument(value)
		s.overruledLogged = false
		s.documentUnreadable = err != nil
	}
	if err != nil {
		s.config.Log.Error("calendar record quarantined", "key", key, "error", err)
	}
	return true
}

// now returns the time for the keeper. Its preparation time allows for the wait until the next
// scaler step and for the boot time of the slowest known machine type.
func (s *Service) now() Now {
	prepare := tuning.MinPrepare
	for _, machineType := range s.state.MachineTypes {
		prepare = max(prepare, jobs.Seconds(machineType.BootS*tuning.PrepareBoots))
	}
	prepare += jobs.Seconds(s.config.ScalerStepS)
	return Now{
		Ms:           s.clock.WallMs(),
		ClockErrorMs: int64(s.config.ClockErrorMs),
		PrepareMs:    prepare.Milliseconds(),
	}
}

// Gate returns the verdict on a job's class for the queue. A new leader prepares no windows at
// first: it returns Shut instead of Soon.
func (s *Service) Gate(spec *jobs.Spec) Verdict {
	if s == nil {
		return Free
	}
	verdict, _ := s.keeper.Gate(s.now(), spec.QuotaKey())
	fresh := jobs.Seconds(s.config.ScalerStepS * float64(s.config.FreshSteps))
	if verdict == Soon && s.state.Now.Sub(s.leadingSince) < fresh {
		return Shut
	}
	return verdict
}

// ReconcileLeader runs the leader's part of the calendar. It is called on each pass while this
// controller leads.
func (s *Service) ReconcileLeader() {
	if s == nil {
		return
	}
	if s.leadingSince.IsZero() {
		s.leadingSince = s.state.Now
		s.keeper.Touch()
	}
	if s.keeper.plan == nil || s.documentUnreadable {
		return
	}
	now := s.now()
	var decisions []decide.Decision
	for _, change := range s.keeper.Reconcile(now, &clusterView{service: s}) {
		decisions = append(decisions, s.recordDecision(&change))
	}
	s.logBlocked()
	if s.state.Now.Sub(s.stopsCheckedAt) >= tuning.CalendarPollEvery {
		s.stopsCheckedAt = s.state.Now
		decisions = append(decisions, s.stopDecisions(now)...)
		s.logLateJobs(now)
	}
	s.commits.Commit(decisions)
}

// Reset clears the state that only a leader has.
func (s *Service) Reset() {
	if s == nil {
		return
	}
	s.leadingSince = time.Time{}
	s.logged = map[string]bool{}
}

// Reconcile puts this controller's own file in force if its revision is the highest. Any controller
// in the view may do so, because every decision is conditional on the document's revision in the
// store. A document that can't be read is neither replaced nor applied.
func (s *Service) Reconcile(inView bool) {
	if s == nil || !inView || s.documentUnreadable {
		return
	}
	file, inForce := s.keeper.filePlan, s.keeper.plan
	switch {
	case s.mirror.Revision(StoreKey) == 0:
		s.putInForce()
	case inForce == nil:
	case file.Revision > inForce.Revision:
		s.putInForce()
	case s.overruledLogged:
	case file.Revision < inForce.Revision:
		s.logOverruled("a higher revision is in force")
	case !sameDocument(inForce, file):
		s.logOverruled("another document of the same revision is in force")
	}
}

// sameDocument reports whether two plans have equal documents.
func sameDocument(a, b *Plan) bool {
	return bytes.Equal(jobs.Encode(a.Doc), jobs.Encode(b.Doc))
}

// putInForce commits this controller's own file as the document in force.
func (s *Service) putInForce() {
	if s.commits.Busy(StoreKey) {
		return
	}
	file := s.keeper.filePlan
	s.commits.Commit([]decide.Decision{{
		Urgent: true,
		Writes: []store.Write{{Put: StoreKey, Value: EncodeDocument(&file.Doc)}},
		OnSettled: func(committed bool) {
			if committed {
				s.config.Log.Info("calendar put in force", "revision", file.Revision)
			}
		},
	}})
}

// logOverruled logs that the document in force differs from this controller's file.
func (s *Service) logOverruled(reason string) {
	s.overruledLogged = true
	s.config.Log.Error("calendar file overruled",
		"revision", s.keeper.plan.Revision,
		"file_revision", s.keeper.filePlan.Revision,
		"reason", reason)
}

// recordDecision returns the decision that commits a change of a track's record.
func (s *Service) recordDecision(change *Change) decide.Decision {
	key := TrackKey(change.Track)
	write := store.Write{Put: key, Value: change.Value}
	if change.Value == nil {
		write = decide.Remove(key)
	}
	return decide.Decision{
		// The end of a window is a guarantee: closing must not queue behind other decisions.
		Urgent: change.Urgent,
		Writes: []store.Write{write},
		OnSettled: func(committed bool) {
			if !committed {
				s.keeper.Touch()
				return
			}
			for _, transition := range change.Transitions {
				s.logTransition(change.Track, transition)
			}
		},
	}
}
