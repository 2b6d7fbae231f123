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

// Tracker is one controller's reconciliation of its own machines, from its start until it is steady. Then it forgets
// them and holds nothing back. It is used on the event loop only.
type Tracker struct {
	phase        Phase
	startedAt    time.Time // of the first view
	viewedAt     time.Time // of the newest view
	heardAt      time.Time // when it last left the phase Hearing
	viewEpoch    uint64    // of the newest view
	hearWithin   time.Duration
	finishWithin time.Duration

	// awaitedOwners is the other owners: 0 until they report that they heard their machines, then the epoch by which
	// it is known here which they did not hear.
	awaitedOwners  map[string]uint64
	machines       map[string]MachineState // own, by name
	counts         Counts                  // of machines
	decommissioned []string                // own, when it became steady

	summary *summary // nil once steady
	log     *slog.Logger
}

// summary is what the log line at the end of the reconciliation tells.
type summary struct {
	registeredAfter *hdrhistogram.Histogram // ms from the first view, by machine
	reconciledAfter *hdrhistogram.Histogram // the same
	differences     map[Difference]int
	answers         map[Answer]int
	redirected      map[string]int // heartbeats that were redirected, by the owner that they were redirected to
}

// New makes the tracker of a controller whose workers send a heartbeat every reportS seconds.
func New(reportS float64, log *slog.Logger) *Tracker {
	heartbeats := time.Duration(tuning.ReconcileReports * reportS * float64(time.Second))
	return &Tracker{
		phase:        Loading,
		hearWithin:   heartbeats + tuning.ReconcileSlack,
		finishWithin: tuning.MaxReconcile,
		machines:     map[string]MachineState{},
		summary: &summary{
			registeredAfter: newHistogram(),
			reconciledAfter: newHistogram(),
			differences:     map[Difference]int{},
			answers:         map[Answer]int{},
			redirected:      map[string]int{},
		},
		log: log,
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, tuning.MaxReconcile.Milliseconds()*2, 2)
}

// Phase is the present phase.
func (t *Tracker) Phase() Phase { return t.phase }

// Steady reports whether reconciliation is over.
func (t *Tracker) Steady() bool { return t.phase == Steady }

// Permits reports whether a permission is given now.
func (t *Tracker) Permits(permission Permission) bool { return t.phase.Permits(permission) }

// MayScaleOut reports whether machines may be scaled out: once the queue has been offered those that registered last.
func (t *Tracker) MayScaleOut(now time.Time) bool {
	return t.Permits(ScaleOut) && now.Sub(t.heardAt) >= tuning.ReconcileScaleOutDelay
}

// AcceptsTasks reports whether tasks may be placed on a machine: on an own one once it is reconciled,
// on another owner's once the owner had the time to hear its machines and to report which it does not
// hear.
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

// Awaits reports whether a machine has yet to register and may do so soon. What depends on several machines is decided
// once for all of them.
func (t *Tracker) Awaits(machine string) bool {
	return t.phase == Hearing && t.machines[machine] == MachineUnregistered
}

// SetView begins reconciliation with the first view, and sets which machines are this controller's
// under a later one and which other controllers own some: all machines have to send a heartbeat under
// the new fencing token.
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

// Record applies an event to a machine of this controller's.
func (t *Tracker) Record(machine string, event Event, now time.Time) {
	if t.phase != Hearing && t.phase != Reconciling {
		return
	}
	state, known := t.machines[machine]
	if !known {
		state = MachineUnregistered // no record named it
		t.counts.Unregistered++
	}
	next, changed := Next(state, event)
	t.machines[machine] = next
	*t.counts.of(state)--
	*t.counts.of(next)++
	if !changed {
		return
	}
	// A value beyond the histogram's range is left out of the summary.
	afterMs := now.Sub(t.startedAt).Milliseconds() + 1
	switch next {
	case MachineRegistered:
		_ = t.summary.registeredAfter.RecordValue(afterMs)
	case MachineReconciled:
		_ = t.summary.reconciledAfter.RecordValue(afterMs)
	case MachineUnregistered, MachineDiffers, MachineDecommissioned:
	}
}

// Remove removes a machine that is another owner's now, or gone.
func (t *Tracker) Remove(machine string) {
	if state, known := t.machines[machine]; known {
		*t.counts.of(state)--
		delete(t.machines, machine)
	}
}

// Count counts a difference and its answer for the summary, at the first comparison of a machine.
func (t *Tracker) Count(machine string, difference Difference, answer Answer) {
	state := t.machines[machine]
	if t.Steady() || difference == Unclear || state == MachineDiffers || state == MachineReconciled {
		return
	}
	t.summary.differences[difference]++
	t.summary.answers[answer]++
}

// MachinesHeardEpoch is the epoch of the view under which all of this controller's machines have
// registered or were decommissioned, 0 if they were not.
func (t *Tracker) MachinesHeardEpoch() uint64 {
	if t.startedAt.IsZero() || t.counts.Unregistered > 0 {
		return 0
	}
	return t.viewEpoch
}

// OwnerHeard notes that another owner has heard its machines under the view of an epoch, and that the state service
// holds at epoch by which of them it does not hear. It counts once that is known here: otherwise those would be taken
// for machines that run.
func (t *Tracker) OwnerHeard(name string, epoch, by uint64) {
	if _, awaited := t.awaitedOwners[name]; awaited && epoch >= t.viewEpoch {
		t.awaitedOwners[name] = max(by, 1)
	}
}

// Decommissioned lists the own machines that are no longer waited for, in no order.
func (t *Tracker) Decommissioned() []string {
	machines := slices.Clone(t.decommissioned)
	for machine, state := range t.machines {
		if state == MachineDecommissioned {
			machines = append(machines, machine)
		}
	}
	return machines
}

// Redirected counts a heartbeat of another owner's machine for the summary.
func (t *Tracker) Redirected(owner string) {
	if !t.Steady() {
		t.summary.redirected[owner]++
	}
}

// Advance advances the phase by what is known up to an epoch of the state service, and logs the summary when
// reconciliation is over.
func (t *Tracker) Advance(now time.Time, known uint64) {
	maps.DeleteFunc(t.awaitedOwners, func(_ string, by uint64) bool { return by > 0 && by <= known })
	facts := Facts{
		InView:        !t.startedAt.IsZero(),
		Machines:      t.counts,
		AwaitsOwners:  len(t.awaitedOwners) > 0,
		SinceStart:    now.Sub(t.startedAt),
		SinceLastView: now.Sub(t.viewedAt),
	}
	next := t.phase.Advance(facts, t.hearWithin, t.finishWithin)
	if next == t.phase {
		return
	}
	t.log.Debug("reconciliation phase changed",
		"phase", string(next),
		"machines", fmt.Sprintf("%+v", t.counts),
		"duration_ms", facts.SinceStart.Milliseconds())
	if t.phase == Hearing {
		t.heardAt = now
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
			"answers", fmt.Sprint(s.answers),
			"redirected", fmt.Sprint(s.redirected))
	}
	t.decommissioned = t.Decommissioned()
	t.machines, t.counts, t.summary = nil, Counts{}, nil
}
