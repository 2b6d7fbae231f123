package reconcile

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Tracker tracks the reconciliation of a controller's own machines, from the controller's start
// until the phase is Steady. Then it forgets the machines and restricts nothing. It must be used on
// the event loop only.
type Tracker struct {
	phase            Phase
	startedAt        time.Time // of the first view
	viewedAt         time.Time // of the newest view
	hearingEndedAt   time.Time // when the phase last left Hearing
	viewEpoch        uint64    // of the newest view
	heartbeatsWithin time.Duration
	finishWithin     time.Duration

	// awaitedOwners holds the other owners that reconciliation waits for. The value is 0 until the
	// owner reports that it has heard from its machines. From then on it is the epoch of the state
	// service that this controller must know, in order to know which machines the owner has not
	// heard from.
	awaitedOwners  map[string]uint64
	machines       map[string]MachineState // own machines, by name
	counts         Counts                  // of machines
	decommissioned []string                // own machines that were decommissioned when the phase became Steady

	summary *summary // nil once steady
	log     *slog.Logger
}

// summary holds the statistics for the log line at the end of the reconciliation.
type summary struct {
	registeredAfter *hdrhistogram.Histogram // time from the first view until a machine registered, in ms
	reconciledAfter *hdrhistogram.Histogram // time from the first view until a machine was reconciled, in ms
	differences     map[Difference]int
	actions         map[Action]int
	redirected      map[string]int // redirected heartbeats, by the owner that they were redirected to
}

// New returns the tracker of a controller whose workers send a heartbeat every
// heartbeatIntervalS seconds.
func New(heartbeatIntervalS float64, log *slog.Logger) *Tracker {
	heartbeatWait := time.Duration(tuning.ReconcileHeartbeatIntervals * heartbeatIntervalS * float64(time.Second))
	return &Tracker{
		phase:            Loading,
		heartbeatsWithin: heartbeatWait + tuning.ReconcileSlack,
		finishWithin:     tuning.MaxReconcile,
		machines:         map[string]MachineState{},
		summary: &summary{
			registeredAfter: newHistogram(),
			reconciledAfter: newHistogram(),
			differences:     map[Difference]int{},
			actions:         map[Action]int{},
			redirected:      map[string]int{},
		},
		log: log,
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, tuning.MaxReconcile.Milliseconds()*2, 2)
}

// Phase returns the current phase.
func (t *Tracker) Phase() Phase { return t.phase }

// Steady reports whether reconciliation is over.
func (t *Tracker) Steady() bool { return t.phase == Steady }

// Permits reports whether the current phase grants a permission.
func (t *Tracker) Permits(permission Permission) bool { return t.phase.Permits(permission) }

// MayScaleOut reports whether new machines may be requested. That is delayed until the queue had
// time to use the machines that registered last.
func (t *Tracker) MayScaleOut(now time.Time) bool {
	return t.Permits(ScaleOut) && now.Sub(t.hearingEndedAt) >= tuning.ReconcileScaleOutDelay
}

// AcceptsTasks reports whether tasks may be placed on a machine. A machine of this controller
// accepts tasks once it is reconciled. A machine of another owner accepts them once the owner had
// time to hear from its machines and to publish those that it has not heard from.
func (t *Tracker) AcceptsTasks(machine string) bool {
	if t.Steady() {
		return true
	}
	state, own := t.machines[machine]
	if own {
		return t.Permits(PlaceOnOwn) && state == MachineReconciled
	}
	return t.Permits(PlaceOnOthers)
}

// Awaits reports whether a machine has not registered yet but may do so soon. Decisions that depend
// on several machines wait until none of them is awaited.
func (t *Tracker) Awaits(machine string) bool {
	return t.phase == Hearing && t.machines[machine] == MachineUnregistered
}

// SetView applies a view. It sets which machines this controller owns and which other controllers
// own machines. The first view starts the reconciliation. Under every view all machines have to
// send a heartbeat with the new fencing token.
func (t *Tracker) SetView(epoch uint64, machines, others []string, now time.Time) {
	t.viewEpoch = epoch
	if t.Steady() {
		return
	}
	if t.startedAt.IsZero() {
		t.startedAt = now
	}
	t.viewedAt = now
	t.awaitedOwners = map[string]uint64{}
	for _, owner := range others {
		t.awaitedOwners[owner] = 0
	}
	before := t.machines
	t.machines, t.counts = make(map[string]MachineState, len(machines)), Counts{}
	for _, machine := range machines {
		state, known := before[machine]
		if !known {
			state = MachineUnregistered
		}
		state, _ = Next(state, TokenChanged)
		t.machines[machine] = state
		*t.counts.of(state)++
	}
	t.Advance(now, 0)
}

// ApplyEvent applies an event to a machine of this controller.
func (t *Tracker) ApplyEvent(machine string, event Event, now time.Time) {
	if t.phase != Hearing && t.phase != Reconciling {
		return
	}
	state, known := t.machines[machine]
	if !known {
		state = MachineUnregistered // a machine without a record
		t.counts.Unregistered++
	}
	next, changed := Next(state, event)
	t.machines[machine] = next
	*t.counts.of(state)--
	*t.counts.of(next)++
	if !changed {
		return
	}
	// Values beyond the histogram's range are not counted in the summary.
	afterMs := now.Sub(t.startedAt).Milliseconds() + 1
	switch next {
	case MachineRegistered:
		_ = t.summary.registeredAfter.RecordValue(afterMs)
	case MachineReconciled:
		_ = t.summary.reconciledAfter.RecordValue(afterMs)
	case MachineUnregistered, MachineDiffers, MachineDecommissioned:
	}
}

// Remove forgets a machine that has moved to another owner or was removed.
func (t *Tracker) Remove(machine string) {
	if state, known := t.machines[machine]; known {
		*t.counts.of(state)--
		delete(t.machines, machine)
	}
}

// Count counts a difference and the action taken on it for the summary. Only a machine's first
// comparison counts.
func (t *Tracker) Count(machine string, difference Difference, action Action) {
	state := t.machines[machine]
	if t.Steady() || difference == Unclear || state == MachineDiffers || state == MachineReconciled {
		return
	}
	t.summary.differences[difference]++
	t.summary.actions[action]++
}

// MachinesHeardEpoch returns the epoch of the newest view if all of this controller's machines have
// registered under it or were decommissioned, and 0 otherwise.
func (t *Tracker) MachinesHeardEpoch() uint64 {
	if t.startedAt.IsZero() || t.counts.Unregistered > 0 {
		return 0
	}
	return t.viewEpoch
}

// OwnerHeard records that another owner has heard from its machines under the view of an epoch, and
// that the state service holds, as of listEpoch, the list of those that it has not heard from. The
// owner is awaited until that list is known here. Otherwise the listed machines would be taken for
// running ones.
func (t *Tracker) OwnerHeard(name string, epoch, listEpoch uint64) {
	if _, awaited := t.awaitedOwners[name]; awaited && epoch >= t.viewEpoch {
		t.awaitedOwners[name] = max(listEpoch, 1)
	}
}

// Decommissioned returns this controller's machines that are no longer awaited, in no particular
// order.
func (t *Tracker) Decommissioned() []string {
	machines := slices.Clone(t.decommissioned)
	for machine, state := range t.machines {
		if state == MachineDecommissioned {
			machines = append(machines, machine)
		}
	}
	return machines
}

// Redirected counts a heartbeat that was redirected to another owner, for the summary.
func (t *Tracker) Redirected(owner string) {
	if !t.Steady() {
		t.summary.redirected[owner]++
	}
}

// Advance moves to the next phase if its conditions are met, and logs the summary when
// reconciliation ends. The contents of the state service are known up to knownEpoch.
func (t *Tracker) Advance(now time.Time, knownEpoch uint64) {
	maps.DeleteFunc(t.awaitedOwners, func(_ string, listed uint64) bool { return listed > 0 && listed <= knownEpoch })
	facts := Facts{
		InView:        !t.startedAt.IsZero(),
		Machines:      t.counts,
		AwaitsOwners:  len(t.awaitedOwners) > 0,
		SinceStart:    now.Sub(t.startedAt),
		SinceLastView: now.Sub(t.viewedAt),
	}
	next := t.phase.Advance(facts, t.heartbeatsWithin, t.finishWithin)
	if next == t.phase {
		return
	}
	t.log.Debug("reconciliation phase changed",
		"phase", string(next),
		"machines", fmt.Sprintf("%+v", t.counts),
		"duration_ms", facts.SinceStart.Milliseconds())
	if t.phase == Hearing {
		t.hearingEndedAt = now
	}
	t.phase = next
	if next == Steady {
		t.finish(facts.SinceStart)
	}
}

// finish logs the summary and forgets the machines.
func (t *Tracker) finish(after time.Duration) {
	if s := t.summary; s.registeredAfter.TotalCount() > 0 {
		t.log.Info("machines reconciled",
			"machines", fmt.Sprintf("%+v", t.counts),
			"duration_ms", after.Milliseconds(),
			"registered_p50_ms", s.registeredAfter.ValueAtQuantile(50),
			"registered_max_ms", s.registeredAfter.Max(),
			"reconciled_p50_ms", s.reconciledAfter.ValueAtQuantile(50),
			"reconciled_max_ms", s.reconciledAfter.Max(),
			"differences", fmt.Sprint(s.differences),
			"answers", fmt.Sprint(s.actions),
			"redirected", fmt.Sprint(s.redirected))
	}
	t.decommissioned = t.Decommissioned()
	t.machines, t.counts, t.summary = nil, Counts{}, nil
}
