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

// ReservationPrefix begins the IDs of reservations that only keep room for a window that is about to open.
const ReservationPrefix = "kept "

// Config is the settings of a Service.
type Config struct {
	// ClockOffMs is how far a controller's time of day may be off, in ms.
	ClockOffMs float64
	// ValueBytes is the size limit of a record.
	ValueBytes int
	// MaxTxnWrites is how many puts and deletes a transaction takes.
	MaxTxnWrites int
	// ScalerStepS is the time between two steps of the scaler, in seconds.
	ScalerStepS float64
	// FreshSteps is for how many steps a new leader prepares nothing.
	FreshSteps int
	Log        *slog.Logger
}

// Collaborators are what a Service needs of its controller.
type Collaborators struct {
	Mirror   *store.Mirror
	Clock    WallClock
	Commits  CommitQueue
	Machines MachineOwner
}

// WallClock tells the time of day.
type WallClock interface {
	// WallMs is the time of day in ms.
	WallMs() int64
}

// CommitQueue takes decisions to be committed.
type CommitQueue interface {
	// Busy tells whether a record is under a transaction.
	Busy(key string) bool
	// Commit takes decisions.
	Commit(decisions []decide.Decision)
}

// MachineOwner knows which machines answer, and changes their state.
type MachineOwner interface {
	// UnresponsiveSince tells since when a machine has not answered, false if it does.
	UnresponsiveSince(machine *clusterstate.Machine) (time.Time, bool)
	// TransitionMachine returns the decision that an event changes a machine's record, none if
	// it does not.
	TransitionMachine(machine string, event fleet.Event, reason string) []decide.Decision
}

// Service joins the keeper to a controller. A nil one does nothing: the calendar is turned off.
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
	logged          map[string]bool // windows and jobs that were logged
	overruledLogged bool            // it was logged that another document is in force
	// documentUnreadable: the document in force can't be read, so it is neither replaced nor
	// followed.
	documentUnreadable bool
}

// New makes the service of a controller's own file; nil for none.
func New(state *clusterstate.State, file *Document, config Config, collaborators Collaborators) *Service {
	if file == nil {
		return nil
	}
	plan, err := Compile(file)
	if err != nil {
		config.Log.Error("calendar file rejected", "error", err) // it was checked when it was read
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

// Keys are the keys that every decision is conditional on because of the calendar, and the
// prefixes to read.
func (s *Service) Keys() []string {
	if s == nil {
		return nil
	}
	return []string{StoreKey}
}

// PreconditionCount is how many conditions more a decision may have because of the calendar: the
// document, and the tracks of two revisions.
func (s *Service) PreconditionCount() int {
	if s == nil {
		return 0
	}
	return 3
}

// Changed takes a change of the calendar's keys in. It tells whether the key is one.
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

// now is the time for the keeper. Machines are rented at the scaler's next step, and boot for as
// long as the slowest known type.
func (s *Service) now() Now {
	prepare := tuning.MinPrepare
	for _, machineType := range s.state.MachineTypes {
		prepare = max(prepare, jobs.Seconds(machineType.BootS*tuning.PrepareBoots))
	}
	prepare += jobs.Seconds(s.config.ScalerStepS)
	return Now{
		Ms:        s.clock.WallMs(),
		OffMs:     int64(s.config.ClockOffMs),
		PrepareMs: prepare.Milliseconds(),
	}
}

// Gate judges a job's class for the queue. A new leader prepares nothing yet.
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

// Pass does what only the leader does, while it leads.
func (s *Service) Pass() {
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

// Reset forgets what only a leader keeps.
func (s *Service) Reset() {
	if s == nil {
		return
	}
	s.leadingSince = time.Time{}
	s.logged = map[string]bool{}
}

// Reconcile puts this controller's own file in force if its revision is the highest. Any
// controller in the view may: each decision of all is conditional on the document's revision
// in the store. A document that can't be read is neither replaced nor followed.
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

// sameDocument tells whether two plans are of the same document.
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

// logOverruled logs that another document than this controller's file is in force.
func (s *Service) logOverruled(reason string) {
	s.overruledLogged = true
	s.config.Log.Error("calendar file overruled",
		"revision", s.keeper.plan.Revision,
		"file_revision", s.keeper.filePlan.Revision,
		"reason", reason)
}

// recordDecision is the decision that a track's record changes.
func (s *Service) recordDecision(change *Change) decide.Decision {
	key := TrackKey(change.Track)
	write := store.Write{Put: key, Value: change.Value}
	if change.Value == nil {
		write = decide.Remove(key)
	}
	return decide.Decision{
		// A window that closes must not queue behind other decisions: its end is a rule.
		Urgent: change.Urgent,
		Writes: []store.Write{write},
		OnSettled: func(committed bool) {
			if !committed {
				s.keeper.Touch()
				return
			}
			for _, move := range change.Moves {
				s.logMove(change.Track, move)
			}
		},
	}
}
