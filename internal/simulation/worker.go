package simulation

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/jobs"
)

// Worker stands in for a worker on its machine.
type Worker struct {
	images                   map[string]bool
	w                        *Simulator
	h                        *cloudHost
	tenure, tick, baton      uint64
	pieces                   map[string]*wpiece
	at                       int // node reported to
	inFlight, changed, Hung  bool
	dead                     bool
	lastSent, answered, next time.Time
	warning                  *float64
	queue                    []func()        // what arrives while hanging
	reaped                   map[string]bool // attempts that were reaped
	Batons                   int             // times that it was shown a higher baton
}

// attempt names one try of a task. A report lists each until it is reaped.
func attempt(taskID string, try uint64) string { return fmt.Sprintf("%s#%d", taskID, try) }

type wpiece struct {
	piece, status, cause string
	try                  uint64
	job                  *Job
	n                    int
	saved                bool
	gen                  int
	sent                 time.Time // the launch left its controller, zero if not known
	unstopped            time.Time // an answer that should have stopped it left then
	blamed               bool      // for being on its machine past cancel_s
}

func (p *wpiece) on() bool {
	return p.status == "waiting" || p.status == "running" || p.status == "saving"
}

// busy tells whether a task is on the machine.
func (wk *Worker) busy() bool {
	for _, p := range wk.pieces {
		if p.on() {
			return true
		}
	}
	return false
}

func (w *Simulator) startWorker(h *cloudHost) {
	wk := &Worker{
		w:        w,
		h:        h,
		tenure:   1,
		pieces:   map[string]*wpiece{},
		reaped:   map[string]bool{},
		at:       w.RNG.IntN(max(1, len(w.Order))),
		answered: w.Now,
	}
	w.Workers[h.ID] = wk
	var loop func()
	loop = func() {
		if wk.dead {
			return
		}
		wk.pulse()
		w.After(100*time.Millisecond, loop)
	}
	w.After(time.Duration(w.RNG.IntN(500))*time.Millisecond, loop)
}

func (w *Simulator) stopWorker(id string) {
	if wk := w.Workers[id]; wk != nil {
		wk.dead = true
		wk.pieces = map[string]*wpiece{}
		delete(w.Workers, id)
	}
}

// Die stops a machine without a word; the cloud lists it as failed later.
func (wk *Worker) Die() {
	wk.w.stopWorker(wk.h.ID)
	wk.w.After(30*time.Second, func() { wk.h.status = "failed" })
}

// Take announces that the cloud takes the machine in s seconds, and takes it.
func (wk *Worker) Take(s float64) {
	if s > 0 {
		wk.warning, wk.changed = &s, true
	}
	wk.w.After(time.Duration(s*float64(time.Second)), func() { wk.w.Cloud.Remove(wk.h.ID) })
}

// Reborn has the machine die and be back at once with the same address: its tasks are
// gone, so is what it knew of batons, and it begins its next session.
func (wk *Worker) Reborn() {
	wk.pieces, wk.reaped = map[string]*wpiece{}, map[string]bool{}
	wk.tenure++
	wk.baton, wk.answered, wk.changed = 0, wk.w.Now, true
}

// Empty tells whether it holds no task in any state.
func (wk *Worker) Empty() bool { return len(wk.pieces) == 0 }

// Saw has the machine know a view's token already.
func (wk *Worker) Saw(epoch uint64) { wk.baton = max(wk.baton, epoch*agent.FencingTokenSpan) }

// Resume ends a hang; what came meanwhile is handled, unless the machine is gone.
func (wk *Worker) Resume() {
	wk.Hung = false
	q := wk.queue
	wk.queue = nil
	if wk.dead {
		return
	}
	for _, f := range q {
		f()
	}
	wk.checkGoesOn()
}

func (wk *Worker) pulse() {
	if wk.Hung {
		return
	}
	wk.checkGoesOn()
	now := wk.w.Now
	if now.Sub(wk.answered).Seconds() > wk.w.LeaseS {
		if len(wk.pieces) > 0 {
			wk.w.Expired++
		}
		wk.pieces = map[string]*wpiece{}
		wk.tenure++
		wk.answered, wk.changed = now, true
	}
	if wk.inFlight {
		return
	}
	if now.After(wk.next) || (wk.changed && now.Sub(wk.lastSent) >= 500*time.Millisecond) {
		wk.report()
	}
}

func (wk *Worker) body() []byte {
	wk.tick++
	var ps []map[string]any
	var names []string
	for n := range wk.pieces {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		p := wk.pieces[n]
		m := map[string]any{"piece": p.piece, "try": p.try, "status": p.status}
		if p.status == "ended" {
			m["cause"] = p.cause
			m["saved"] = p.saved
		}
		ps = append(ps, m)
	}
	return encode(map[string]any{
		"host": wk.h.ID, "endpoint": wk.w.endpoint(wk.h.ID), "build": wk.h.Build, "site": wk.h.Site, "loaner": wk.h.Loaner,
		"tenure": wk.tenure, "tick": wk.tick, "baton": wk.baton, "warning_s": wk.warning, "pieces": ps,
	})
}

func (wk *Worker) report() {
	w := wk.w
	now, agentEpoch := w.Now, wk.tenure
	wk.inFlight, wk.changed, wk.lastSent = true, false, now
	wk.next = now.Add(time.Duration(w.ReportS * (0.75 + 0.5*w.RNG.Float64()) * float64(time.Second)))
	name := w.Order[wk.at%len(w.Order)]
	tryNext := func() {
		wk.at++
		wk.next = w.Now.Add(time.Second)
	}
	body, fencingToken := wk.body(), wk.baton
	var left time.Time // the answer its controller
	send := func(done func(int, []byte, error)) {
		if w.mute[wk.h.ID] {
			w.unsent(done)
			return
		}
		w.call(wk.h.ID, name, 4*time.Second, w.maybeLate("beat", func(answer func(int, []byte)) {
			w.Nodes[name].request("POST", "/agent/beat", body, func(status int, b []byte) {
				left = w.Now
				answer(status, b)
			})
		}), done)
		w.copyLate(name, body)
	}
	if w.Real != nil {
		send = func(done func(int, []byte, error)) { w.Real.Beat(name, body, done) }
	}
	send(func(status int, b []byte, err error) {
		if wk.dead {
			return
		}
		handle := func() {
			wk.inFlight = false
			if err == nil {
				wk.checkAnswer(name, status, b, fencingToken)
			}
			switch {
			case err != nil:
				tryNext()
			case status == 421:
				var r struct {
					To string `json:"reports_to"`
				}
				_ = json.Unmarshal(b, &r)
				for i, n := range w.Order {
					if n == r.To && n != name {
						wk.at = i
						wk.next = w.Now
						return
					}
				}
				tryNext()
			case status != 200:
				tryNext()
			default:
				var r struct {
					FencingToken *uint64 `json:"baton"`
					Commands     []order `json:"orders"`
				}
				if json.Unmarshal(b, &r) != nil || r.FencingToken == nil || *r.FencingToken < wk.baton || wk.tenure != agentEpoch {
					return
				}
				if *r.FencingToken > wk.baton {
					wk.Batons++
					wk.baton, wk.changed = *r.FencingToken, true
				}
				wk.answered = now
				wk.execute(r.Commands, left)
				wk.noteUnstopped(left)
			}
		}
		if wk.Hung {
			// The machine resumes later than the answer's four seconds.
			wk.queue = append(wk.queue, func() { wk.inFlight = false; tryNext() })
			return
		}
		handle()
	})
}

type order struct {
	Verb         string  `json:"verb"`
	TaskID       string  `json:"piece"`
	Attempt      uint64  `json:"try"`
	GracePeriodS float64 `json:"wind_down_s"`
}

// Call is a node's way to a worker.
func (w *Simulator) Call(
	from string,
) func(endpoint, method, target string, body []byte, timeout time.Duration, done func(int, []byte, error)) {
	return func(endpoint, method, target string, body []byte, timeout time.Duration, done func(int, []byte, error)) {
		id, sent := strings.TrimPrefix(endpoint, "w:"), w.Now
		take := func(answer func(int, []byte)) {
			wk := w.Workers[id]
			if wk == nil {
				return // a machine without power is silent
			}
			serve := func() { answer(wk.serve(target, body, sent)) }
			if wk.Hung {
				wk.queue = append(wk.queue, serve)
				return
			}
			serve()
		}
		w.call(from+":cmd", id, timeout, w.maybeLate("cmd", take), done)
	}
}

// Serve answers a request that came over a socket.
func (wk *Worker) Serve(_, target string, body []byte, answer func(int, []byte)) {
	answer(wk.serve(target, body, time.Time{}))
}

// serve takes a direct request that left its controller at some time.
func (wk *Worker) serve(target string, body []byte, sent time.Time) (int, []byte) {
	if target == "/show" {
		return 200, wk.body()
	}
	var c struct {
		FencingToken *uint64 `json:"baton"`
		AgentEpoch   *uint64 `json:"tenure"`
		Commands     []order `json:"orders"`
	}
	if json.Unmarshal(body, &c) != nil || c.FencingToken == nil || c.AgentEpoch == nil || len(body) > mostBody ||
		target != "/commands" ||
		ordersFault(c.Commands) != "" {
		wk.w.Breach("%s refuses commands: %s of %d bytes %s", wk.h.ID, target, len(body), ordersFault(c.Commands))
		return 400, []byte("{}")
	}
	if *c.FencingToken < wk.baton || *c.AgentEpoch != wk.tenure {
		return 409, wk.body()
	}
	if *c.FencingToken > wk.baton {
		wk.Batons++
		wk.baton, wk.changed = *c.FencingToken, true
	}
	wk.execute(c.Commands, sent)
	return 200, wk.body()
}

// execute takes commands that left their controller at some time.
func (wk *Worker) execute(orders []order, sent time.Time) {
	wk.w.orders += len(orders)
	for _, o := range orders {
		p := wk.pieces[attempt(o.TaskID, o.Attempt)]
		switch o.Verb {
		case "launch":
			if p == nil {
				wk.changed = true
				wk.launch(o, sent)
			}
		case "stop":
			switch {
			case p == nil || p.status == "ended":
			case wk.w.Loans != nil && p.job != nil && p.job.Shape == jobs.Gang && p.job.Pieces > 1 && p.job.SnapshotS > 0 && o.GracePeriodS > 0:
				if p.status != "saving" {
					wk.stopInOrder(p)
				}
			default:
				wk.end(p, "stopped", p.job != nil && p.job.SnapshotS > 0 && o.GracePeriodS > 0)
			}
		case "reap":
			if p != nil && p.status == "ended" {
				delete(wk.pieces, attempt(o.TaskID, o.Attempt))
				wk.reaped[attempt(o.TaskID, o.Attempt)] = true
				wk.changed = true
			}
		}
	}
}

// inUse tells whether another attempt of a task is on the machine.
func (wk *Worker) inUse(o order) bool {
	for _, p := range wk.pieces {
		if p.piece == o.TaskID && p.status != "ended" {
			return true
		}
	}
	return false
}

func (wk *Worker) end(p *wpiece, cause string, saved bool) {
	p.status, p.cause, p.saved = "ended", cause, saved
	p.gen++
	wk.changed = true
}

func (wk *Worker) launch(o order, sent time.Time) {
	w := wk.w
	jobID, n, ok := jobs.SplitTaskID(o.TaskID)
	j := w.Jobs[jobID]
	if j == nil && (w.Real != nil || len(w.Runs) > 0) {
		j = w.describe(jobID)
	}
	p := &wpiece{piece: o.TaskID, try: o.Attempt, status: "pulling", job: j, n: n, sent: sent}
	refused := wk.inUse(o)
	wk.pieces[attempt(o.TaskID, o.Attempt)] = p
	if wk.reaped[attempt(o.TaskID, o.Attempt)] {
		w.Breach("%s is launched on %s a second time as try %d", o.TaskID, wk.h.ID, o.Attempt)
	}
	if !ok || j == nil || n >= j.Pieces {
		w.Breach("%s is launched, which no one submitted", o.TaskID)
		wk.end(p, "no_such", false)
		return
	}
	if refused {
		wk.end(p, "in_use", false)
		return
	}
	used := 0.0
	for _, q := range wk.pieces {
		if q.status != "ended" && q.job != nil {
			used += q.job.Accel
		}
	}
	room := 4.0
	if wk.h.Build == "g8" {
		room = 8
	}
	if used > room {
		wk.end(p, "no_room", false)
		return
	}
	if w.Launched != nil {
		w.Launched(o.TaskID)
	}
	w.moment(Launched)
	fetch := j.PullS
	if wk.w.Images && wk.images[j.Bundle] {
		fetch = 0
	}
	wk.after(p, fetch, func() {
		if wk.images == nil {
			wk.images = map[string]bool{}
		}
		wk.images[j.Bundle] = true
		wk.begin(p)
	})
}

// describe makes a job from its record in the store: over sockets the
// stand-in's users are real ones, who upload the description to the workers. So
// do those of a run for its steps' jobs. The bundle "broken" fails everywhere.
func (w *Simulator) describe(jobID string) *Job {
	it, ok := w.Store.items[jobs.JobPrefix+jobID]
	if !ok {
		return nil
	}
	r, err := jobs.DecodeRecord(jobID, it.V)
	if err != nil {
		return nil
	}
	j := &Job{
		UID:       jobID,
		spec:      &r.Spec,
		Shape:     r.Spec.Kind,
		Owner:     r.Spec.Team,
		Pieces:    r.Spec.TaskCount,
		Accel:     r.Spec.Accelerators,
		RunS:      r.Spec.ExpectedDurationS,
		PullS:     r.Spec.ImageGB,
		SamePlace: r.Spec.SameZone,
		Scatter:   r.Spec.SpreadZones,
		Loaner:    r.Spec.Spot,
		Site:      r.Spec.Zone,
		Builds:    r.Spec.MachineTypes,
		SnapshotS: r.Spec.CheckpointIntervalS,
		Body:      it.V,
		Accepted:  true,
		Done:      map[int]bool{},
	}
	if r.Spec.Image == "broken" {
		j.FailOn = "every"
	}
	w.Jobs[jobID] = j
	return j
}

// after runs f unless the piece has moved on or the machine is gone.
func (wk *Worker) after(p *wpiece, s float64, f func()) {
	gen := p.gen
	wk.w.After(time.Duration(s*float64(time.Second)), func() {
		if wk.dead || p.gen != gen || wk.pieces[attempt(p.piece, p.try)] != p {
			return
		}
		if wk.Hung {
			wk.queue = append(wk.queue, func() {
				if p.gen == gen { // else it has ended meanwhile, by what came before this
					wk.after(p, 0, f)
				}
			})
			return
		}
		f()
	})
}

// begin is the moment a task is on its machine: the rules are checked here.
func (wk *Worker) begin(p *wpiece) {
	wk.w.checkStart(wk, p)
	p.gen++
	wk.changed = true
	if p.job.FailOn == "every" || p.job.FailOn == wk.h.ID {
		wk.end(p, "error", false)
		return
	}
	if p.job.Shape == jobs.Gang && p.job.Pieces > 1 {
		p.status = "waiting"
		wk.after(p, wk.w.GangWaitS, func() { wk.end(p, "alone", false) })
		wk.w.startGang(p.job, p.try)
		return
	}
	wk.run(p)
}

func (wk *Worker) run(p *wpiece) {
	p.status = "running"
	if p.job.Begun.IsZero() {
		p.job.Begun = wk.w.Now
	}
	p.gen++
	wk.changed = true
	if p.job.Shape == jobs.Service {
		return
	}
	wk.after(p, p.job.RunS+float64(p.n)*p.job.ApartS, func() {
		if p.job.gang() {
			wk.w.endGang(p.job, p.try)
			return
		}
		p.job.Done[p.n], p.job.LastDone = true, wk.w.Now
		if len(p.job.Done) == p.job.Pieces {
			wk.w.ended(p.job)
		}
		wk.end(p, "done", false)
	})
}

// mates lists the pieces of a gang's attempt.
func (w *Simulator) mates(j *Job, try uint64) map[*wpiece]*Worker {
	out := map[*wpiece]*Worker{}
	for _, wk := range w.Workers {
		for _, p := range wk.pieces {
			if p.job == j && p.try == try && p.status != "ended" {
				out[p] = wk
			}
		}
	}
	return out
}

func (w *Simulator) startGang(j *Job, try uint64) {
	mates := w.mates(j, try)
	if len(mates) < j.Pieces {
		return
	}
	for p := range mates {
		if p.status != "waiting" {
			return
		}
	}
	for p, wk := range mates {
		wk.run(p)
	}
	hungSince := map[*Worker]time.Time{}
	var watch func()
	watch = func() {
		now := w.mates(j, try)
		if len(now) == 0 {
			return
		}
		gone := len(now) < j.Pieces
		for _, wk := range now {
			switch since, seen := hungSince[wk]; {
			case !wk.Hung:
				delete(hungSince, wk)
			case !seen:
				hungSince[wk] = w.Now
			case w.Now.Sub(since).Seconds() >= w.GangPeerS:
				gone = true
			}
		}
		for p, wk := range now {
			if gone && !wk.Hung { // one that hangs notices when it goes on
				wk.end(p, "mates_gone", false)
			}
		}
		w.After(time.Second, watch)
	}
	w.After(time.Second, watch)
}

// endGang completes a gang: if one of its tasks is done, every task is.
func (w *Simulator) endGang(j *Job, try uint64) {
	for n := range j.Pieces {
		j.Done[n] = true
	}
	j.LastDone = w.Now
	w.ended(j)
	for p, wk := range w.mates(j, try) {
		wk.end(p, "done", false)
	}
}

// checkStart checks the protocol's rules at a task's start.
func (w *Simulator) checkStart(wk *Worker, p *wpiece) {
	j := p.job
	if j.Starts++; j.FirstStart.IsZero() {
		j.FirstStart = w.Now
	}
	used := j.Accel
	zones := map[string]int{wk.h.Site: 1}
	for _, o := range w.Workers {
		for _, q := range o.pieces {
			if q == p || !q.on() || q.job == nil {
				continue
			}
			if q.piece == p.piece {
				w.Break("ran_twice: %s starts on %s while on %s", p.piece, wk.h.ID, o.h.ID)
			}
			if q.job.Owner == j.Owner {
				used += q.job.Accel
			}
			if q.job == j {
				zones[o.h.Site]++
			}
		}
	}
	if m := w.Max[j.Owner]; m > 0 && used > m {
		w.Break("quota: %s uses %v of %v", j.Owner, used, m)
	}
	wrong := (j.Site != "" && j.Site != wk.h.Site) || (wk.h.Loaner && !j.Loaner) || (j.SamePlace && len(zones) > 1) ||
		(j.Scatter && zones[wk.h.Site] > (j.Pieces+1)/2)
	if len(j.Builds) > 0 {
		found := false
		for _, b := range j.Builds {
			found = found || b == wk.h.Build
		}
		wrong = wrong || !found
	}
	if wrong {
		w.Break("wrong_place: %s on %s in %s", p.piece, wk.h.ID, wk.h.Site)
	}
	if !j.Accepted && j.Told == "" && !j.Submitted() {
		w.Break("started %s, which no one submitted", p.piece)
	}
	w.startAfterCancel(wk, p)
	w.checkCancelled(wk, p)
}

// Submitted tells whether a user has submitted the job.
func (j *Job) Submitted() bool { return j.Body != nil }

// checkCancelled breaks once on a task that is on its machine past cancel_s.
func (w *Simulator) checkCancelled(wk *Worker, p *wpiece) {
	if !p.blamed && p.job != nil && p.job.Cancelled && w.Now.Sub(p.job.CancelledAt).Seconds() > w.CancelS {
		p.blamed = true
		w.Break("ran_cancelled: %s on %s", p.piece, wk.h.ID)
	}
}

// TasksOn counts all tasks that are on machines.
func (w *Simulator) TasksOn() int {
	c := 0
	for _, wk := range w.Workers {
		for _, p := range wk.pieces {
			if p.on() {
				c++
			}
		}
	}
	return c
}

// Running counts a job's tasks that are on machines.
func (w *Simulator) Running(jobID string) int {
	c := 0
	for _, wk := range w.Workers {
		for _, p := range wk.pieces {
			if p.job != nil && p.job.UID == jobID && p.on() {
				c++
			}
		}
	}
	return c
}

// HostOf is a machine that a job's task is on, in order of name.
func (w *Simulator) HostOf(jobID string) string {
	best := ""
	for id, wk := range w.Workers {
		for _, p := range wk.pieces {
			if p.job != nil && p.job.UID == jobID && p.status != "ended" && (best == "" || id < best) {
				best = id
			}
		}
	}
	return best
}
