package rig

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Job is a submission as the workers know it, and how long its tasks run.
type Job struct {
	Spec map[string]any
	RunS float64
}

// Times are the workers' times of the settings, in seconds.
type Times struct{ ReportS, LeaseS, GangWaitS, GangPeerS, CancelS float64 }

// Worker stands in for the worker on one machine.
type Worker struct {
	Name        string
	rig         *Rig
	machineType MachineType
	zone        string
	endpoint    string // of the proxy in front of the worker
	server      *http.Server
	proxy       *Proxy

	mu         sync.Mutex
	stopped    bool
	tenure     uint64
	tick       uint64
	baton      uint64
	tasks      map[string]*task
	images     map[string]bool
	pulling    map[string]time.Time // when the pull of an image ends
	pullRate   float64              // as a share of the rate in the catalogue
	node       int                  // index of the controller that it reports to
	owner      string               // the controller that last answered 200
	inFlight   bool
	changed    bool
	sentAt     time.Time
	nextReport time.Time
	answeredAt time.Time // when the last answered report was sent
	tokenAt    time.Time // when a higher token last counted as a change
	hung       bool
	sick       bool       // every task fails that it starts
	resumed    *sync.Cond // signalled when a hang ends
}

// task is an attempt of a task on a machine.
type task struct {
	piece  string
	try    uint64
	status string
	cause  string
	saved  bool
	readyS time.Time // when it has its image
	endsAt time.Time // when it completes, zero until it runs
	since  time.Time // when its status began
}

// Launch is a launch command that arrived at a worker.
type Launch struct {
	Machine, Piece string
	Try            uint64
	At             time.Time
}

// Start is a start of a task: the moment at which it had its image.
type Start struct {
	Machine, Piece string
	Try            uint64
	At             time.Time
}

type order struct {
	Verb     string  `json:"verb"`
	Piece    string  `json:"piece"`
	Try      uint64  `json:"try"`
	WindDown float64 `json:"wind_down_s"`
}

// newWorker starts a worker on a machine that runs already.
func newWorker(rig *Rig, name string, machineType MachineType, zone string) (*Worker, error) {
	w := &Worker{
		Name: name, rig: rig, machineType: machineType, zone: zone,
		tenure: 1, tasks: map[string]*task{}, images: map[string]bool{}, pulling: map[string]time.Time{}, pullRate: 1,
		answeredAt: time.Now(), node: rand.IntN(len(rig.Nodes)),
	}
	w.resumed = sync.NewCond(&w.mu)
	address, server, err := serve(w)
	if err != nil {
		return nil, err
	}
	w.server = server
	if w.proxy, err = NewProxy(address); err != nil {
		return nil, err
	}
	w.endpoint = w.proxy.Address
	w.proxy.passes = func(caller, port int) bool { return w.rig.callsFromZone(caller, port, zone) }
	go w.loop()
	return w, nil
}

// Hang makes the machine hang for some time: it runs no tasks, and requests wait.
func (w *Worker) Hang(duration time.Duration) {
	w.rig.Record.Add("%s: hangs for %s", w.Name, duration)
	w.mu.Lock()
	w.hung = true
	w.mu.Unlock()
	time.AfterFunc(duration, func() {
		w.mu.Lock()
		w.hung = false
		w.mu.Unlock()
		w.resumed.Broadcast()
		w.rig.Record.Add("%s: goes on", w.Name)
	})
}

// Sick makes the machine fail every task that it starts from now on, or ends that.
func (w *Worker) Sick(sick bool) {
	w.rig.Record.Add("%s: fails every task that it starts: %v", w.Name, sick)
	w.mu.Lock()
	w.sick = sick
	w.mu.Unlock()
}

// PullRate sets the rate at which the machine fetches images, as a share of that in the catalogue.
func (w *Worker) PullRate(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pullRate = share
}

// HasImage reports whether the machine has an image.
func (w *Worker) HasImage(image string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.images[image]
}

// Stop ends the machine with all that is on it.
func (w *Worker) Stop() {
	w.mu.Lock()
	w.stopped = true
	w.kill()
	w.mu.Unlock()
	go func() { _ = w.server.Close() }()
}

// Type returns the name of the machine's type.
func (w *Worker) Type() string { return w.machineType.Name }

// Owner returns the name of the controller that last answered a report with 200.
func (w *Worker) Owner() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.owner
}

func (w *Worker) loop() {
	for range time.Tick(20 * time.Millisecond) {
		w.mu.Lock()
		if w.stopped {
			w.mu.Unlock()
			return
		}
		if w.hung {
			w.mu.Unlock()
			continue
		}
		w.advance()
		now := time.Now()
		due := now.After(w.nextReport) || w.changed && now.Sub(w.sentAt) >= 500*time.Millisecond
		if !w.inFlight && due {
			w.inFlight, w.changed, w.sentAt = true, false, now
			jitter := 0.75 + 0.5*rand.Float64()
			w.nextReport = now.Add(seconds(w.rig.Times.ReportS * jitter))
			go w.report(w.body(), w.rig.Nodes[w.node], w.tenure, now)
		}
		w.mu.Unlock()
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// advance moves the tasks on. The caller holds the lock.
func (w *Worker) advance() {
	now := time.Now()
	if now.Sub(w.answeredAt) > seconds(w.rig.Times.LeaseS) {
		w.rig.Record.Add("%s: lease over, %d tasks killed", w.Name, len(w.tasks))
		w.kill()
		w.tenure++
		w.answeredAt, w.changed = now, true
	}
	for _, t := range w.tasks {
		switch t.status {
		case "pulling":
			if !now.Before(t.readyS) {
				w.begin(t)
			}
		case "waiting":
			w.gangWaits(t)
		case "running":
			if !t.endsAt.IsZero() && !now.Before(t.endsAt) {
				w.end(t, "done")
			}
		}
	}
}

// kill forgets all tasks. The caller holds the lock.
func (w *Worker) kill() {
	for _, t := range w.tasks {
		if t.onMachine() {
			w.rig.noteEnd(w.Name, t, "killed")
		}
	}
	w.tasks, w.pulling = map[string]*task{}, map[string]time.Time{}
}

// onMachine reports whether the task is on its machine in the sense of the rules.
func (t *task) onMachine() bool {
	return t.status == "waiting" || t.status == "running" || t.status == "saving"
}

// begin starts a task that has its image.
func (w *Worker) begin(t *task) {
	job, _ := w.rig.jobOf(t.piece)
	w.images[text(job.Spec["bundle"])] = true
	delete(w.pulling, text(job.Spec["bundle"]))
	w.rig.noteStart(Start{w.Name, t.piece, t.try, time.Now()})
	w.set(t, "running")
	if w.sick {
		w.end(t, "error")
		return
	}
	if job.Spec["shape"] == "ensemble" && number(job.Spec["pieces"]) > 1 {
		w.set(t, "waiting")
		w.rig.gangReady(t.piece, t.try)
	} else if job.Spec["shape"] != "standing" {
		t.endsAt = time.Now().Add(seconds(job.RunS))
	}
}

// gangWaits starts a waiting task once all tasks of its attempt wait, or ends it.
func (w *Worker) gangWaits(t *task) {
	job, _ := w.rig.jobOf(t.piece)
	if at, complete := w.rig.gangStart(t.piece, t.try); complete {
		w.set(t, "running")
		t.endsAt = at.Add(seconds(job.RunS))
	} else if time.Since(t.since) > seconds(w.rig.Times.GangWaitS) {
		w.end(t, "alone")
	}
}

func (w *Worker) set(t *task, status string) {
	t.status, t.since, w.changed = status, time.Now(), true
	w.rig.Record.Add("%s: %s try %d %s %s", w.Name, t.piece, t.try, status, t.cause)
}

func (w *Worker) end(t *task, cause string) {
	if t.onMachine() {
		w.rig.noteEnd(w.Name, t, cause)
	}
	pulled := t.status == "pulling"
	t.cause = cause
	w.set(t, "ended")
	if pulled {
		w.giveUpPull(t)
	}
}

// giveUpPull gives up the pull of an image that no task waits for any more.
func (w *Worker) giveUpPull(ended *task) {
	job, _ := w.rig.jobOf(ended.piece)
	image := text(job.Spec["bundle"])
	for _, t := range w.tasks {
		if other, _ := w.rig.jobOf(t.piece); t.status == "pulling" && text(other.Spec["bundle"]) == image {
			return
		}
	}
	if _, ok := w.pulling[image]; ok {
		w.rig.Record.Add("%s: fetch of %s given up", w.Name, image)
		delete(w.pulling, image)
	}
}

// body returns the next report. The caller holds the lock.
func (w *Worker) body() map[string]any {
	w.tick++
	pieces := []map[string]any{}
	for _, key := range sortedKeys(w.tasks) {
		t := w.tasks[key]
		entry := map[string]any{"piece": t.piece, "try": t.try, "status": t.status}
		if t.status == "ended" {
			entry["cause"] = t.cause
		}
		if t.saved {
			entry["saved"] = true
		}
		pieces = append(pieces, entry)
	}
	return map[string]any{
		"host": w.Name, "endpoint": w.endpoint, "build": w.machineType.Name, "site": w.zone, "loaner": false,
		"tenure": w.tenure, "tick": w.tick, "baton": w.baton, "warning_s": nil, "pieces": pieces,
	}
}

// report sends a report and handles its answer.
func (w *Worker) report(body map[string]any, node *Node, tenure uint64, sentAt time.Time) {
	var status int
	var text []byte
	if w.rig.isCut(w.zone, node.Zone) {
		time.Sleep(4 * time.Second) // no answer comes
	} else {
		status, text = Call(w.rig.workerClient, http.MethodPost, "http://"+node.Front+"/agent/beat", body)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.hung {
		w.resumed.Wait()
	}
	w.inFlight = false
	if w.rig.isCut(w.zone, node.Zone) || time.Since(sentAt) > 4*time.Second {
		status = 0
	}
	switch status {
	case http.StatusOK:
		w.acknowledged(text, tenure, sentAt)
	case http.StatusMisdirectedRequest:
		w.redirected(text, node.Front)
	default:
		w.nextNode()
	}
}

func (w *Worker) acknowledged(text []byte, tenure uint64, sentAt time.Time) {
	var response struct {
		Baton  *uint64 `json:"baton"`
		Orders []order `json:"orders"`
	}
	if json.Unmarshal(text, &response) != nil || response.Baton == nil || *response.Baton < w.baton || tenure != w.tenure {
		return
	}
	w.learn(*response.Baton)
	w.answeredAt, w.owner = sentAt, w.rig.Nodes[w.node].Name
	w.execute(response.Orders)
}

func (w *Worker) redirected(text []byte, front string) {
	var response struct {
		To string `json:"reports_to"`
	}
	_ = json.Unmarshal(text, &response)
	for i, node := range w.rig.Nodes {
		if node.Name == response.To && node.Front != front {
			w.node, w.nextReport = i, time.Now().Add(100*time.Millisecond)
			return
		}
	}
	w.nextNode()
}

func (w *Worker) nextNode() {
	w.node = (w.node + 1) % len(w.rig.Nodes)
	w.nextReport = time.Now().Add(time.Second)
}

// learn stores a higher token.
func (w *Worker) learn(baton uint64) {
	if baton <= w.baton {
		return
	}
	w.baton = baton
	w.rig.Record.Add("%s: token %d", w.Name, baton)
	if time.Since(w.tokenAt) > seconds(w.rig.Times.LeaseS/2) {
		w.tokenAt, w.changed = time.Now(), true
	}
}

// ServeHTTP answers a controller's direct request.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	var request struct {
		Baton  *uint64 `json:"baton"`
		Tenure *uint64 `json:"tenure"`
		Orders []order `json:"orders"`
	}
	if r.URL.Path == "/commands" && (readJSON(r, &request) != nil || request.Baton == nil || request.Tenure == nil) {
		answer(out, http.StatusBadRequest, map[string]string{"error": "baton or tenure is missing"})
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.hung {
		w.resumed.Wait()
	}
	if w.stopped {
		return
	}
	status := http.StatusOK
	if r.URL.Path == "/commands" {
		if *request.Baton < w.baton || *request.Tenure != w.tenure {
			status = http.StatusConflict
		} else {
			w.learn(*request.Baton)
			w.execute(request.Orders)
		}
	}
	answer(out, status, w.body())
}

// execute executes orders. The caller holds the lock.
func (w *Worker) execute(orders []order) {
	for _, o := range orders {
		key := fmt.Sprintf("%s#%d", o.Piece, o.Try)
		t := w.tasks[key]
		switch o.Verb {
		case "launch":
			w.rig.noteLaunch(Launch{w.Name, o.Piece, o.Try, time.Now()})
			if t == nil {
				w.launch(key, o)
			}
		case "stop":
			if t != nil && t.status != "ended" {
				job, _ := w.rig.jobOf(t.piece)
				t.saved = t.status == "running" && number(job.Spec["snapshot_s"]) > 0 && o.WindDown >= number(job.Spec["stash_s"])
				w.end(t, "stopped")
			}
		case "reap":
			if t != nil && t.status == "ended" {
				delete(w.tasks, key)
				w.changed = true
			}
		}
	}
}

func (w *Worker) launch(key string, o order) {
	t := &task{piece: o.Piece, try: o.Try}
	inUse := false
	for _, other := range w.tasks {
		inUse = inUse || other.piece == o.Piece && other.status != "ended"
	}
	w.tasks[key] = t
	job, known := w.rig.jobOf(o.Piece)
	switch {
	case !known:
		w.end(t, "no_such")
		return
	case inUse:
		w.end(t, "in_use")
		return
	case !w.hasRoom():
		w.end(t, "no_room")
		return
	}
	w.set(t, "pulling")
	t.readyS = w.imageReady(text(job.Spec["bundle"]), number(job.Spec["pull_gb"]))
}

// imageReady returns when an image is there, and begins its pull if need be.
func (w *Worker) imageReady(image string, gb float64) time.Time {
	if w.images[image] {
		return time.Now()
	}
	ready, ok := w.pulling[image]
	if !ok {
		ready = time.Now().Add(seconds(gb / (w.machineType.PullGBPerS * w.pullRate)))
		w.pulling[image] = ready
	}
	return ready
}

// hasRoom reports whether all tasks that have not ended fit on the machine.
func (w *Worker) hasRoom() bool {
	cores, accelerators, memory := 0.0, 0.0, 0.0
	for _, t := range w.tasks {
		if job, ok := w.rig.jobOf(t.piece); ok && t.status != "ended" {
			cores += number(job.Spec["cores"])
			accelerators += number(job.Spec["accelerators"])
			memory += number(job.Spec["memory_gb"])
		}
	}
	m := w.machineType
	return cores <= m.Cores && accelerators <= m.Accelerators && memory <= m.MemoryGB
}

// splitPiece returns the job and the number of a task.
func splitPiece(piece string) (string, int) {
	uid, digits, _ := strings.Cut(piece, "/")
	n, err := strconv.Atoi(digits)
	if err != nil {
		return uid, -1
	}
	return uid, n
}

func text(v any) string { s, _ := v.(string); return s }

func number(v any) float64 {
	switch n := v.(type) {
	case float64:
		return n
	case int:
		return float64(n)
	}
	return 0
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
