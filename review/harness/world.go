// Package harness starts the controllers of this project as separate processes on loopback addresses
// and serves the project's stand-ins for the state service, the cloud and the workers to them. The
// cases of the review use it. Each controller reaches the services through addresses of its own, so
// that a case can disturb one controller alone.
package harness

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/simulation"
)

// Results of a case, as exit codes.
const (
	Held        = 0
	Broken      = 1
	CouldNotRun = 2
)

// Fault is what happens to one request to a stand-in.
type Fault struct {
	Status  int           // answer with this status and do not execute, if not 0
	Delay   time.Duration // execute that much later
	Mute    bool          // execute, but give no answer
	Discard bool          // neither execute nor answer
}

// Hook chooses the fault of a request of a controller; service is "state" or "cloud".
type Hook func(controller int, service, method, target string, body []byte) Fault

// BeatHook chooses the fault of a report that a machine sends to a controller.
type BeatHook func(controller int, body []byte) Fault

// CommandHook chooses the fault of a request that a machine receives.
type CommandHook func(machine, target string, body []byte) Fault

// Controller is a controller process.
type Controller struct {
	Name, Zone, Front string
	peerListen        string
	state, cloud      string
	file              string
	cmd               *exec.Cmd
	log               *os.File
}

// World is the stand-ins and the controllers.
type World struct {
	Sim         *simulation.Simulator
	Controllers []*Controller
	Config      settings.Cluster

	dir     string
	program string
	started time.Time
	events  chan func()
	stop    chan struct{}
	done    sync.WaitGroup
	record  io.WriteCloser
	closing sync.Once

	mu        sync.Mutex // guards what follows
	hook      Hook
	beats     BeatHook
	commands  CommandHook
	endpoints map[string]string
	listeners map[string]chan struct{}
}

// Options describe a World.
type Options struct {
	Program string // path of the program under test
	Record  string // path of record.txt
	Zones   []string
	// Machines is how many machines of the larger type are up at the start.
	Machines int
	// Cluster is the TOML text from [cluster] on.
	Cluster string
}

// New creates a World. Nothing runs before Start.
func New(o Options) (*World, error) {
	record, err := os.Create(o.Record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &World{
		Sim:       simulation.NewSimulator(uint64(time.Now().UnixNano()), slog.New(slog.DiscardHandler)),
		dir:       dir,
		program:   o.Program,
		events:    make(chan func(), 4096),
		stop:      make(chan struct{}),
		record:    record,
		endpoints: map[string]string{},
		listeners: map[string]chan struct{}{},
	}
	w.started = time.Now()
	for i, zone := range o.Zones {
		c := &Controller{Name: fmt.Sprintf("perch-%d", i), Zone: zone}
		for _, address := range []*string{&c.Front, &c.peerListen, &c.state, &c.cloud} {
			if *address, err = FreeAddress(); err != nil {
				return nil, err
			}
		}
		c.file = filepath.Join(dir, c.Name+".toml")
		w.Controllers = append(w.Controllers, c)
	}
	if err := w.configure(o.Cluster); err != nil {
		return nil, err
	}
	for i := range o.Machines {
		w.Sim.Cloud.AddRunning("g8", []string{"a", "b"}[i%2], false)
	}
	return w, nil
}

// configure parses the cluster's settings and makes the stand-ins follow them.
func (w *World) configure(cluster string) error {
	for i := range w.Controllers {
		if err := os.WriteFile(w.Controllers[i].file, []byte(w.settingsOf(i, cluster)), 0o600); err != nil {
			return err
		}
	}
	cfg, err := settings.Load(w.Controllers[0].file, "")
	if err != nil {
		return err
	}
	w.Config = cfg.Cluster
	workers := cfg.Cluster.Workers
	w.Sim.EnforceLimits(cfg.Cluster)
	w.Sim.HeartbeatS, w.Sim.LeaseS, w.Sim.CancelS = workers.HeartbeatS, workers.LeaseS, workers.CancelS
	w.Sim.GangWaitS, w.Sim.GangPeerS = workers.GangWaitS, workers.GangPeerS
	w.Sim.Cloud.LagS = cfg.Cluster.Cloud.ListLagS
	for _, team := range cfg.Cluster.Teams {
		w.Sim.TeamLimits[team.Name] = team.GpusMax
	}
	for _, c := range w.Controllers {
		w.Sim.NodeNames = append(w.Sim.NodeNames, c.Name)
	}
	w.Sim.Sockets = &simulation.SocketTransport{Endpoint: w.endpoint, Heartbeat: w.heartbeat}
	return nil
}

// settingsOf returns the settings file of a controller.
func (w *World) settingsOf(i int, cluster string) string {
	c := w.Controllers[i]
	var text strings.Builder
	write := func(format string, args ...any) { _, _ = fmt.Fprintf(&text, format, args...) }
	write("node_name = %q\nzone = %q\n", c.Name, c.Zone)
	write("front = %q\npeer_listen = %q\n\n", c.Front, c.peerListen)
	for j, p := range w.Controllers {
		if j != i {
			write("[[peers]]\nnode_name = %q\nzone = %q\naddress = %q\n\n", p.Name, p.Zone, p.peerListen)
		}
	}
	write("[outside]\ncloud = %q\nstate = %q\n\n", c.cloud, c.state)
	return text.String() + cluster
}

// FreeAddress returns a loopback address with a port that is free.
func FreeAddress() (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// Start starts the stand-ins and all controllers.
func (w *World) Start() error {
	for i, c := range w.Controllers {
		w.serve(c.state, w.stop, w.service(i, "state", w.Sim.Store.Serve))
		w.serve(c.cloud, w.stop, w.service(i, "cloud", w.Sim.Cloud.Serve))
	}
	w.done.Go(w.loop)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		w.Close()
		os.Exit(CouldNotRun)
	}()
	for i := range w.Controllers {
		if err := w.StartController(i); err != nil {
			return err
		}
	}
	return nil
}

// Close ends all processes and listeners.
func (w *World) Close() {
	w.closing.Do(w.end)
}

func (w *World) end() {
	for i := range w.Controllers {
		w.Kill(i)
	}
	close(w.stop)
	w.done.Wait()
	_ = w.record.Close()
	_ = os.RemoveAll(w.dir)
}

// Note writes a line to record.txt, with the time since the start.
func (w *World) Note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(w.started).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = io.WriteString(w.record, line)
}

// SetHook chooses the faults of requests to the stand-ins; nil stands for none.
func (w *World) SetHook(h Hook) { w.locked(func() { w.hook = h }) }

// SetBeatHook chooses the faults of reports.
func (w *World) SetBeatHook(h BeatHook) { w.locked(func() { w.beats = h }) }

// SetCommandHook chooses the faults of commands.
func (w *World) SetCommandHook(h CommandHook) { w.locked(func() { w.commands = h }) }

func (w *World) locked(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// Do runs f on the goroutine of the stand-ins and waits for it.
func (w *World) Do(f func()) {
	ended := make(chan struct{})
	w.post(func() {
		f()
		close(ended)
	})
	select {
	case <-ended:
	case <-w.stop:
	}
}

func (w *World) post(f func()) {
	select {
	case w.events <- f:
	case <-w.stop:
	}
}

// loop advances the stand-ins with the real clock.
func (w *World) loop() {
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-w.stop:
			return
		case f := <-w.events:
			w.Sim.RunUntil(time.Since(w.started))
			f()
		case <-tick.C:
		}
		w.Sim.RunUntil(time.Since(w.started))
		w.updateListeners()
	}
}

// updateListeners opens a listener for each machine that is up and closes those of machines that
// are gone.
func (w *World) updateListeners() {
	for machine, agent := range w.Sim.Agents {
		if w.listeners[machine] == nil {
			w.listeners[machine] = make(chan struct{})
			w.serve(w.endpoint(machine), w.listeners[machine], w.machine(machine, agent.Serve))
		}
	}
	for machine, stop := range w.listeners {
		if w.Sim.Agents[machine] == nil {
			close(stop)
			delete(w.listeners, machine)
		}
	}
}

func (w *World) endpoint(machine string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.endpoints[machine] == "" {
		w.endpoints[machine], _ = FreeAddress()
	}
	return w.endpoints[machine]
}

// server is a stand-in's function that answers a request.
type server func(method, target string, body []byte, answer func(status int, body []byte))

// service returns the function that serves a service to one controller, with its faults.
func (w *World) service(i int, name string, serve server) server {
	return func(method, target string, body []byte, answer func(int, []byte)) {
		var fault Fault
		w.mu.Lock()
		hook := w.hook
		w.mu.Unlock()
		if hook != nil {
			fault = hook(i, name, method, target, body)
		}
		w.apply(fault, answer, func(answer func(int, []byte)) { serve(method, target, body, answer) })
	}
}

// machine returns the function that serves a machine, with its faults.
func (w *World) machine(name string, serve server) server {
	return func(method, target string, body []byte, answer func(int, []byte)) {
		var fault Fault
		w.mu.Lock()
		hook := w.commands
		w.mu.Unlock()
		if hook != nil {
			fault = hook(name, target, body)
		}
		w.apply(fault, answer, func(answer func(int, []byte)) {
			serve(method, target, body, func(status int, b []byte) {
				w.Note("machine %s %s %s -> %d %s", name, target, brief(body), status, brief(b))
				answer(status, b)
			})
		})
	}
}

// brief returns a body for the record, which keeps the first kilobyte.
func brief(body []byte) string {
	const limit = 1 << 10
	if len(body) <= limit {
		return string(body)
	}
	return fmt.Sprintf("%s... (%d bytes)", body[:limit], len(body))
}

// apply executes a request under a fault, on the goroutine of the stand-ins.
func (w *World) apply(fault Fault, answer func(int, []byte), execute func(func(int, []byte))) {
	switch {
	case fault.Discard:
		return
	case fault.Status != 0:
		answer(fault.Status, []byte(`{"error":"trouble"}`))
		return
	}
	if fault.Mute {
		answer = func(int, []byte) {}
	}
	if fault.Delay > 0 {
		time.AfterFunc(fault.Delay, func() { w.post(func() { execute(answer) }) })
		return
	}
	execute(answer)
}

// serve serves HTTP at an address until stop is closed.
func (w *World) serve(address string, stop chan struct{}, serve server) {
	s := &http1.Server{
		APIAddr:  address,
		MaxConns: 400,
		Log:      slog.New(slog.DiscardHandler),
		Handle: func(m *http1.Message, respond func(http1.Reply)) {
			w.post(func() {
				serve(m.Method, m.Target, m.Body, func(status int, body []byte) {
					respond(http1.Reply{Status: status, Body: body})
				})
			})
		},
	}
	merged := make(chan struct{})
	w.done.Go(func() {
		select {
		case <-stop:
		case <-w.stop:
		}
		close(merged)
	})
	w.done.Go(func() { s.Run(merged) })
}

// heartbeat sends a machine's report to a controller.
func (w *World) heartbeat(node string, body []byte, done func(int, []byte, error)) {
	i := 0
	for j, c := range w.Controllers {
		if c.Name == node {
			i = j
		}
	}
	w.mu.Lock()
	hook := w.beats
	w.mu.Unlock()
	var fault Fault
	if hook != nil {
		fault = hook(i, body)
	}
	go func() {
		status, answer, err := w.Call(i, "POST", "/agent/beat", body, 4*time.Second, fault)
		if err != nil || status != http.StatusOK && status != http.StatusMisdirectedRequest {
			w.Note("report of %d bytes to %s -> %d %s %v", len(body), node, status, answer, err)
		}
		w.post(func() { done(status, answer, err) })
	}()
}

// Call sends a request to a controller over a new connection.
func (w *World) Call(
	i int, method, target string, body []byte, timeout time.Duration, fault Fault,
) (int, []byte, error) {
	if fault.Discard {
		time.Sleep(timeout)
		return 0, nil, os.ErrDeadlineExceeded
	}
	time.Sleep(fault.Delay)
	client := &http1.Client{Addr: w.Controllers[i].Front, MaxBody: 1 << 20}
	response, err := client.Do(method, target, body, timeout)
	if err != nil {
		return 0, nil, err
	}
	return response.Status, response.Body, nil
}

// StartController starts a controller's process, with the command of the deploy file.
func (w *World) StartController(i int) error {
	c := w.Controllers[i]
	if c.log == nil {
		path := filepath.Join(w.dir, c.Name+".log")
		if keep := os.Getenv("REVIEW_LOGS"); keep != "" {
			path = filepath.Join(keep, c.Name+".log")
		}
		log, err := os.Create(path)
		if err != nil {
			return err
		}
		c.log = log
	}
	cmd := exec.Command(w.program, "serve", "--config", c.file)
	cmd.Stderr, cmd.Stdout = c.log, c.log
	if err := cmd.Start(); err != nil {
		return err
	}
	c.cmd = cmd
	w.Note("controller %s started, process %d", c.Name, cmd.Process.Pid)
	return nil
}

// Kill kills a controller's process and waits for its end.
func (w *World) Kill(i int) {
	c := w.Controllers[i]
	if c.cmd == nil {
		return
	}
	_ = c.cmd.Process.Kill()
	_ = c.cmd.Wait()
	w.Note("controller %s ended: %s", c.Name, c.cmd.ProcessState)
	c.cmd = nil
}

// Signal sends a signal to a controller's process.
func (w *World) Signal(i int, signal syscall.Signal) {
	if c := w.Controllers[i]; c.cmd != nil {
		_ = c.cmd.Process.Signal(signal)
		w.Note("controller %s gets %s", c.Name, signal)
	}
}
