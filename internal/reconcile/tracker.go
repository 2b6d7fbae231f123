package reconcile

import (
	"fmt"
	"log/slog"
	"maps"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Tracker is one controller's reconciling of its own machines, from its start until it is
// steady. Then it forgets them and holds nothing back.
type Tracker struct {
	phase    Phase
	since    time.Time         // of the first view
	viewed   time.Time         // of the newest view
	opened   time.Time         // when it last went on from hearing
	epoch    uint64            // of it
	others   map[string]uint64 // owners that have not told that they heard their machines, or by when it is known which
	within   time.Duration
	limit    time.Duration
	machines map[string]Machine
	counts   Counts
	lost     []string // given up when it became steady

	heard, reconciled *hdrhistogram.Histogram // ms from the first view, by machine
	differences       map[Difference]int
	answers           map[Answer]int
	redirected        map[string]int // reports that were sent on, by the controller that they were sent to
	log               *slog.Logger
}

// New makes the tracker of a controller whose workers report every reportS seconds.
func New(reportS float64, log *slog.Logger) *Tracker {
	h := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, tuning.MaxReconcile.Milliseconds()*2, 2)
	}
	return &Tracker{
		phase:  Reading,
		within: time.Duration(tuning.ReconcileReports*reportS*float64(time.Second)) + tuning.ReconcileSlack, limit: tuning.MaxReconcile,
		machines: map[string]Machine{}, heard: h(), reconciled: h(), differences: map[Difference]int{}, answers: map[Answer]int{}, redirected: map[string]int{}, log: log,
	}
}

// Phase is how far it has come.
func (t *Tracker) Phase() Phase { return t.phase }

// Steady tells whether reconciling is over.
func (t *Tracker) Steady() bool { return t.phase == Steady }

// Permits tells whether a duty may be done now.
func (t *Tracker) Permits(d Permission) bool { return t.phase.Permits(d) }

// MayRent tells whether machines may be rented: once the queue has been offered those that
// were heard last.
func (t *Tracker) MayRent(now time.Time) bool {
	return t.Permits(Rent) && now.Sub(t.opened) >= tuning.ReconcileRent
}

// Open tells whether a machine takes new work: own ones once they are reconciled, others'
// once their owners had the time to hear them and to tell which they do not.
func (t *Tracker) Open(machine string) bool {
	m, own := t.machines[machine]
	return t.Steady() || own && t.Permits(Hand) && m == Reconciled || !own && t.Permits(HandAny)
}

// Awaits tells whether a machine has yet to be heard and may soon be: what hangs on
// several machines is decided once for all of them.
func (t *Tracker) Awaits(machine string) bool {
	return t.phase == Hearing && t.machines[machine] == MachineUnheard
}

// View begins reconciling with the first view, and takes in which machines are this
// controller's under a later one, and which others have some: all machines have to show
// the new baton.
func (t *Tracker) View(epoch uint64, machines, others []string, now time.Time) {
	t.epoch = epoch
	if t.Steady() {
		return
	}
	if t.since.IsZero() {
		t.since = now
	}
	t.viewed, t.others = now, map[string]uint64{}
	for _, o := range others {
		t.others[o] = 0
	}
	was := t.machines
	t.machines, t.counts = make(map[string]Machine, len(machines)), Counts{}
	for _, h := range machines {
		m, known := was[h]
		if !known {
			m = MachineUnheard
		}
		if next, ok := Next(m, PlaceAgain); ok {
			m = next
		}
		t.machines[h] = m
		*t.counts.of(m)++
	}
	t.Settle(now, 0)
}

// Record takes in what happened to a machine of this controller's.
func (t *Tracker) Record(machine string, e Event, now time.Time) {
	if t.phase != Hearing && t.phase != Reconciling {
		return
	}
	m, known := t.machines[machine]
	if !known {
		m = MachineUnheard // no record named it
		t.counts.Unregistered++
	}
	next, _ := Next(m, e)
	t.machines[machine] = next
	*t.counts.of(m)--
	*t.counts.of(next)++
	switch {
	case next == m:
	case next == Heard:
		_ = t.heard.RecordValue(now.Sub(t.since).Milliseconds() + 1)
	case next == Reconciled:
		_ = t.reconciled.RecordValue(now.Sub(t.since).Milliseconds() + 1)
	}
}

// Lost forgets a machine: it is another's, or gone.
func (t *Tracker) Lost(machine string) {
	if m, known := t.machines[machine]; known {
		*t.counts.of(m)--
		delete(t.machines, machine)
	}
}

// Count notes a difference and its answer, at the first look at a machine.
func (t *Tracker) Count(machine string, d Difference, a Answer) {
	if m := t.machines[machine]; !t.Steady() && d != Unclear && m != Differs && m != Reconciled {
		t.differences[d]++
		t.answers[a]++
	}
}

// Heard is the view under which all of this controller's machines were heard or given up,
// 0 if they were not.
func (t *Tracker) Heard() uint64 {
	if t.since.IsZero() || t.counts.Unregistered > 0 {
		return 0
	}
	return t.epoch
}

// OtherHeard takes in that another member has heard its machines under a view, and has
// written by an epoch of the state service which of them it does not hear. It counts once
// that is known here: else those would be taken for machines that run.
func (t *Tracker) OtherHeard(name string, epoch, by uint64) {
	if _, awaited := t.others[name]; awaited && epoch >= t.epoch {
		t.others[name] = max(by, 1)
	}
}

// Decommissioned lists the machines that are no longer waited for.
func (t *Tracker) Decommissioned() []string {
	out := t.lost
	for h, m := range t.machines {
		if m == MachineDecommissioned {
			out = append(out, h)
		}
	}
	return out
}

// Redirected counts a report of another's machine.
func (t *Tracker) Redirected(owner string) {
	if !t.Steady() {
		t.redirected[owner]++
	}
}

// Settle moves the phase on by what is known up to an epoch of the state service, and tells the log when reconciling is over.
func (t *Tracker) Settle(now time.Time, known uint64) {
	maps.DeleteFunc(t.others, func(_ string, by uint64) bool { return by > 0 && by <= known })
	next := t.phase.Advance(Facts{Begun: !t.since.IsZero(), Counts: t.counts, Others: len(t.others) > 0, For: now.Sub(t.since), Viewed: now.Sub(t.viewed)}, t.within, t.limit)
	if next == t.phase {
		return
	}
	t.log.Debug("reconciling", "phase", string(next), "machines", fmt.Sprintf("%+v", t.counts), "after_ms", now.Sub(t.since).Milliseconds())
	if t.phase == Hearing {
		t.opened = now
	}
	t.phase = next
	if next != Steady {
		return
	}
	if t.heard.TotalCount() > 0 {
		t.log.Info("reconciled", "machines", fmt.Sprintf("%+v", t.counts), "after_ms", now.Sub(t.since).Milliseconds(),
			"heard_half_ms", t.heard.ValueAtQuantile(50), "heard_last_ms", t.heard.Max(), "reconciled_half_ms", t.reconciled.ValueAtQuantile(50), "reconciled_last_ms", t.reconciled.Max(),
			"differences", fmt.Sprint(t.differences), "answers", fmt.Sprint(t.answers), "sent_on", fmt.Sprint(t.redirected))
	}
	t.lost = t.Decommissioned()
	t.machines, t.heard, t.reconciled, t.differences, t.answers, t.redirected, t.counts = nil, nil, nil, nil, nil, nil, Counts{}
}
