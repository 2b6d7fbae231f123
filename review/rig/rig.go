package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Team is a team of the settings.
type Team struct {
	Name    string  `toml:"name"`
	Cpus    float64 `toml:"cpus"`
	CpusMax float64 `toml:"cpus_max"`
	Gpus    float64 `toml:"gpus"`
	GpusMax float64 `toml:"gpus_max"`
}

// Machine is a machine that runs at the start: the index of its type, and its zone.
type Machine struct {
	Type int
	Zone string
}

// Options describe a deployment.
type Options struct {
	Zones     []string // of the controllers, in their order
	Teams     []Team
	Times     Times
	RPS, WPS  float64
	ValueKB   int
	TxnOps    int
	CloudRPS  float64
	ListLagS  float64
	Types     []MachineType
	Machines  []Machine  // that run at the start
	Capacity  []Capacity // of the cloud, those that run at the start included
	Boot      time.Duration
	Cores     float64
	MemoryMB  float64
	FdLimit   int
	LogLevel  string
	Limit     time.Duration // the rig ends itself after that time
	ClientTTL time.Duration // how long users wait for an answer
}

// UshangaOps returns the deployment ushanga-ops of BRIEF, with the machines that its site file has up at
// the start.
func UshangaOps() Options {
	return Options{
		Zones: []string{"mombasa-road", "westlands", "mombasa-road"},
		Teams: []Team{
			{Name: "storefront", Gpus: 56, GpusMax: 232},
			{Name: "member-desk", Gpus: 16, GpusMax: 48},
			{Name: "pricing", Gpus: 48, GpusMax: 96},
			{Name: "export-desk", Gpus: 32, GpusMax: 64},
		},
		Times: Times{ReportS: 3, LeaseS: 42, GangWaitS: 30, GangPeerS: 5, CancelS: 62},
		RPS:   250, WPS: 100, ValueKB: 16, TxnOps: 24, CloudRPS: 4, ListLagS: 4,
		Types: []MachineType{
			{
				Name: "kiondo-node", Cores: 32, Accelerators: 4, MemoryGB: 256, CacheGB: 150, PullGBPerS: 0.5,
				Hourly: 13.73, LowPrice: 3.38, ReadyS: 30, Sites: []string{"westlands"},
			},
			{
				Name: "kikapu-node", Cores: 64, Accelerators: 8, MemoryGB: 512, CacheGB: 70, PullGBPerS: 0.4,
				Hourly: 20.37, LowPrice: 5.56, ReadyS: 35, Sites: []string{"mombasa-road", "westlands"},
			},
		},
		Machines: []Machine{
			{0, "westlands"},
			{0, "westlands"},
			{0, "westlands"},
			{0, "westlands"},
			{1, "mombasa-road"},
			{1, "westlands"},
		},
		Capacity: []Capacity{
			{Machine{0, "westlands"}, 17},
			{Machine{1, "mombasa-road"}, 4},
			{Machine{1, "westlands"}, 6},
		},
		Boot:  22 * time.Second,
		Cores: 0.48, MemoryMB: 342, FdLimit: 3000,
		LogLevel: "info", Limit: 119 * time.Second, ClientTTL: 5 * time.Second,
	}
}

// VoltaCluster returns the deployment volta-cluster of BRIEF, with the ordinary machines of its site file.
func VoltaCluster() Options {
	zones := []string{"brescia", "bergamo", "cloud-milano"}
	options := Options{
		Zones: zones,
		Teams: []Team{
			{Name: "stazioni", Gpus: 16, GpusMax: 40},
			{Name: "modelli", Gpus: 24, GpusMax: 64},
			{Name: "flotta", Gpus: 8, GpusMax: 40},
			{Name: "impianti", Gpus: 16, GpusMax: 48},
		},
		Times: Times{ReportS: 3, LeaseS: 38, GangWaitS: 40, GangPeerS: 6, CancelS: 63},
		RPS:   200, WPS: 60, ValueKB: 8, TxnOps: 16, CloudRPS: 3, ListLagS: 8,
		Types: []MachineType{
			{
				Name: "piccola", Cores: 16, Accelerators: 2, MemoryGB: 96, CacheGB: 120, PullGBPerS: 1,
				Hourly: 6.66, LowPrice: 2.59, ReadyS: 35, Sites: zones,
			},
			{
				Name: "grossa", Cores: 96, Accelerators: 8, MemoryGB: 768, CacheGB: 80, PullGBPerS: 0.5,
				Hourly: 25.84, LowPrice: 10.41, ReadyS: 25, Sites: zones,
			},
		},
		Cores: 0.24, MemoryMB: 234, FdLimit: 3000, Boot: 2 * time.Second,
		LogLevel: "info", Limit: 119 * time.Second, ClientTTL: 5 * time.Second,
	}
	for i, count := range []int{6, 5, 3} { // piccola, by zone; one grossa in each
		options.Capacity = append(options.Capacity,
			Capacity{Machine{0, zones[i]}, count}, Capacity{Machine{1, zones[i]}, 1})
	}
	return options
}

// Node is a controller.
type Node struct {
	Name, Zone string
	Front      string
	peerListen string
	state      *Proxy
	cloud      *Proxy
	peers      map[string]*Proxy // by name of the controller that it calls
	settings   string
	command    *exec.Cmd
	log        *os.File
}

// Rig is a deployment that runs.
type Rig struct {
	Record *Record
	Times  Times
	Nodes  []*Node
	Store  *Store
	Cloud  *Cloud

	options      Options
	folder       string // temporary
	workerClient *http.Client
	users        *http.Client

	mu       sync.Mutex
	jobs     map[string]*Job
	launches []Launch
	starts   []Start
	ready    map[string]map[int]bool // by attempt of a gang, the tasks that wait
	begun    map[string]time.Time    // by attempt of a gang, when it began to run
	rules    rules
	cutZone  string // the zone that is cut off from everything
}

// ErrNotReady means that the controllers did not become ready in time.
var ErrNotReady = errors.New("controllers are not ready")

// New starts the stand-ins and the controllers, and waits until all controllers say that they are up
// and every machine reports. folder is where record.txt is written.
func New(options Options, folder string) (*Rig, error) {
	record, err := NewRecord(folder)
	if err != nil {
		return nil, err
	}
	r := &Rig{
		Record: record, Times: options.Times, options: options,
		Store:        NewStore(options.ValueKB, options.TxnOps),
		workerClient: NewClient(4 * time.Second), users: NewClient(options.ClientTTL),
		jobs: map[string]*Job{}, ready: map[string]map[int]bool{}, begun: map[string]time.Time{},
		rules: newRules(),
	}
	r.Cloud = &Cloud{rig: r, rentals: map[string][]string{}}
	if r.folder, err = os.MkdirTemp("", "rig"); err != nil {
		return nil, err
	}
	time.AfterFunc(options.Limit, func() {
		record.Add("time is up")
		r.Close()
		os.Exit(2)
	})
	go r.endOnSignal()
	if err = r.startNodes(); err != nil {
		return r, err
	}
	r.Cloud.mu.Lock()
	for _, machine := range options.Machines {
		r.Cloud.add(machine, 0)
	}
	r.Cloud.mu.Unlock()
	return r, r.awaitReady()
}

// endOnSignal ends all processes when this one is asked to end.
func (r *Rig) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
	r.Close()
	os.Exit(2)
}

// Run starts a deployment, plays a case on it and ends it, and returns the exit code of the case.
func Run(folder string, options Options, play func(r *Rig) int) int {
	r, err := New(options, folder)
	if r == nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.Close()
	if err != nil {
		r.Record.Add("%v", err)
		return 2
	}
	defer r.Logs(`msg="view changed"`, `msg="view in force"`, `msg="process stalled"`, `msg="lease renewal suspended"`)
	return play(r)
}

func freeAddress() (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// startNodes starts the controllers with the command of the deploy file.
func (r *Rig) startNodes() error {
	state, _, err := serve(r.Store)
	if err != nil {
		return err
	}
	cloud, _, err := serve(r.Cloud)
	if err != nil {
		return err
	}
	for i, zone := range r.options.Zones {
		node := &Node{Name: fmt.Sprintf("perch-%d", i), Zone: zone, peers: map[string]*Proxy{}}
		if node.Front, err = freeAddress(); err != nil {
			return err
		}
		if node.peerListen, err = freeAddress(); err != nil {
			return err
		}
		if node.state, err = NewProxy(state); err != nil {
			return err
		}
		if node.cloud, err = NewProxy(cloud); err != nil {
			return err
		}
		r.Nodes = append(r.Nodes, node)
	}
	for _, node := range r.Nodes {
		for _, other := range r.Nodes {
			if other != node {
				if node.peers[other.Name], err = NewProxy(other.peerListen); err != nil {
					return err
				}
			}
		}
		if err = r.writeSettings(node); err != nil {
			return err
		}
		if err = r.Start(node); err != nil {
			return err
		}
	}
	return nil
}

func (r *Rig) writeSettings(node *Node) error {
	var peers []map[string]any
	for _, other := range r.Nodes {
		if other != node {
			address := node.peers[other.Name].Address
			peers = append(peers, map[string]any{"node_name": other.Name, "zone": other.Zone, "address": address})
		}
	}
	o := r.options
	settings := map[string]any{
		"node_name": node.Name, "zone": node.Zone, "front": node.Front, "peer_listen": node.peerListen, "peers": peers,
		"outside": map[string]any{"cloud": node.cloud.Address, "state": node.state.Address},
		"cluster": map[string]any{
			"size": len(r.Nodes), "zones": slices.Compact(slices.Sorted(slices.Values(o.Zones))), "clock_off_ms": 5.0,
			"teams": o.Teams,
			"workers": map[string]any{
				"report_s": o.Times.ReportS, "lease_s": o.Times.LeaseS, "gang_wait_s": o.Times.GangWaitS,
				"gang_peer_s": o.Times.GangPeerS, "cancel_s": o.Times.CancelS,
			},
			"state":  map[string]any{"rps": o.RPS, "write_rps": o.WPS, "value_kb": float64(o.ValueKB), "txn_ops": o.TxnOps},
			"cloud":  map[string]any{"rps": o.CloudRPS, "list_lag_s": o.ListLagS},
			"limits": map[string]any{"cores": o.Cores, "memory_mb": o.MemoryMB, "fd_limit": o.FdLimit},
		},
	}
	text, err := toml.Marshal(settings)
	if err != nil {
		return err
	}
	node.settings = filepath.Join(r.folder, node.Name+".toml")
	return os.WriteFile(node.settings, text, 0o600)
}

// Start starts a controller's process, or starts it again.
func (r *Rig) Start(node *Node) error {
	var err error
	if node.log == nil {
		if node.log, err = os.Create(filepath.Join(r.folder, node.Name+".log")); err != nil {
			return err
		}
	}
	node.command = exec.CommandContext(context.Background(), "target/harrierreel", "serve", "--config", node.settings)
	node.command.Env = append(os.Environ(), "LOG_LEVEL="+r.options.LogLevel)
	node.command.Stderr = node.log
	r.Record.Add("start %s: target/harrierreel serve --config %s", node.Name, filepath.Base(node.settings))
	return node.command.Start()
}

// Signal sends a signal to a controller's process.
func (r *Rig) Signal(node *Node, what syscall.Signal) {
	r.Record.Add("signal %s: %s", node.Name, what)
	_ = node.command.Process.Signal(what)
	if what == syscall.SIGKILL {
		_ = node.command.Wait()
	}
}

// CutStateAndPeers begins or ends a cut of a controller from the state service and from the other
// controllers, which holds back what is sent.
func (r *Rig) CutStateAndPeers(node *Node, cut bool) {
	r.Record.Add("cut of %s from the state service and the other controllers: %v", node.Name, cut)
	r.CutState(node, cut)
	for _, proxy := range node.peers {
		proxy.Cut(cut)
	}
	for _, other := range r.Nodes {
		if proxy := other.peers[node.Name]; proxy != nil {
			proxy.Cut(cut)
		}
	}
}

// CutZone cuts a zone off from everything. What is in it goes on working.
func (r *Rig) CutZone(zone string) {
	r.Record.Add("cut of zone %s from everything", zone)
	r.mu.Lock()
	r.cutZone = zone
	r.mu.Unlock()
	for _, node := range r.Nodes {
		if node.Zone == zone {
			node.state.Cut(true)
			node.cloud.Cut(true)
		}
		for name, proxy := range node.peers {
			if (node.Zone == zone) != (r.NodeNamed(name).Zone == zone) {
				proxy.Cut(true)
			}
		}
	}
	for _, worker := range r.Cloud.Workers() {
		if worker.zone == zone {
			worker.proxy.Cut(true)
		}
	}
}

// isCut reports whether a cut lies between two zones.
func (r *Rig) isCut(from, to string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cutZone != "" && (from == r.cutZone) != (to == r.cutZone)
}

// callsFromZone reports whether the process that calls a port from another one is a controller of a zone.
func (r *Rig) callsFromZone(caller, port int, zone string) bool {
	for _, node := range r.Nodes {
		if node.Zone == zone && hasSocket(node.command.Process.Pid, caller, port) {
			return true
		}
	}
	return false
}

// RefusePeers makes connections between controllers be reset, or ends that.
func (r *Rig) RefusePeers(refuse bool) {
	r.Record.Add("connections between controllers refused: %v", refuse)
	for _, node := range r.Nodes {
		for _, proxy := range node.peers {
			proxy.Refuse(refuse)
		}
	}
}

// RefuseState makes a controller's connections to the state service be reset, or ends that.
func (r *Rig) RefuseState(node *Node, refuse bool) {
	r.Record.Add("connections of %s to the state service refused: %v", node.Name, refuse)
	node.state.Refuse(refuse)
}

// CutState begins or ends a cut of a controller from the state service.
func (r *Rig) CutState(node *Node, cut bool) { node.state.Cut(cut) }

func (r *Rig) awaitReady() error {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := true
		for _, node := range r.Nodes {
			status, _ := Call(r.users, http.MethodGet, "http://"+node.Front+"/up", nil)
			ready = ready && status == http.StatusOK
		}
		workers := r.Cloud.Workers()
		ready = ready && len(workers) == len(r.options.Machines)
		for _, worker := range workers {
			ready = ready && worker.Owner() != ""
		}
		if ready {
			r.Record.Add("all controllers are up, all machines report")
			return nil
		}
	}
	return ErrNotReady
}

// NodeNamed returns a controller by its name, nil if there is none.
func (r *Rig) NodeNamed(name string) *Node {
	for _, node := range r.Nodes {
		if node.Name == name {
			return node
		}
	}
	return nil
}

// WorkerNamed returns the worker on a machine, nil if the machine isn't up.
func (r *Rig) WorkerNamed(name string) *Worker {
	for _, worker := range r.Cloud.Workers() {
		if worker.Name == name {
			return worker
		}
	}
	return nil
}

// Submit sends a submission to a controller until it is accepted, at most for 20 s.
func (r *Rig) Submit(node *Node, job Job) bool {
	uid := text(job.Spec["uid"])
	r.mu.Lock()
	r.jobs[uid] = &job
	r.mu.Unlock()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		status, body := r.User(node, http.MethodPost, jobsPath, job.Spec)
		if status == http.StatusCreated || status == http.StatusOK {
			return true
		}
		_ = body
	}
	return false
}

// User sends a user's request to a controller and records it with its answer.
func (r *Rig) User(node *Node, method, path string, body any) (int, []byte) {
	r.Record.Add("user to %s: %s %s", node.Name, method, path)
	status, answered := Call(r.users, method, "http://"+node.Front+path, body)
	r.Record.Add("user from %s: %s %s: %d %s", node.Name, method, path, status, bytes.TrimSpace(answered))
	return status, answered
}

// StatusOf returns the status in an answer about a job.
func StatusOf(body []byte) string {
	var response struct {
		Status string `json:"status"`
	}
	_ = json.Unmarshal(body, &response)
	return response.Status
}

// jobOf returns the job of a task and whether it was submitted with that task.
func (r *Rig) jobOf(piece string) (*Job, bool) {
	uid, n := splitPiece(piece)
	r.mu.Lock()
	defer r.mu.Unlock()
	job := r.jobs[uid]
	if job == nil {
		return &Job{Spec: map[string]any{}}, false
	}
	return job, n >= 0 && float64(n) < number(job.Spec["pieces"])
}

func (r *Rig) noteLaunch(launch Launch) {
	r.Record.Add("%s: command launch %s try %d", launch.Machine, launch.Piece, launch.Try)
	r.mu.Lock()
	r.checkLaunch(launch)
	r.launches = append(r.launches, launch)
	r.mu.Unlock()
}

func (r *Rig) noteStart(start Start) {
	r.mu.Lock()
	r.starts = append(r.starts, start)
	r.checkStart(start)
	r.mu.Unlock()
}

// Launches returns the launch commands that arrived for a job's tasks.
func (r *Rig) Launches(uid string) []Launch {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(r.launches), func(l Launch) bool { return !strings.HasPrefix(l.Piece, uid+"/") })
}

// Starts returns the starts of a job's tasks.
func (r *Rig) Starts(uid string) []Start {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(r.starts), func(s Start) bool { return !strings.HasPrefix(s.Piece, uid+"/") })
}

// gangReady records that a task of a gang waits for the others.
func (r *Rig) gangReady(piece string, try uint64) {
	uid, n := splitPiece(piece)
	key := fmt.Sprintf("%s#%d", uid, try)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ready[key] == nil {
		r.ready[key] = map[int]bool{}
	}
	r.ready[key][n] = true
	if job := r.jobs[uid]; job != nil && float64(len(r.ready[key])) == number(job.Spec["pieces"]) {
		r.begun[key] = time.Now()
	}
}

// gangStart returns when a gang's attempt began to run, and whether it did.
func (r *Rig) gangStart(piece string, try uint64) (time.Time, bool) {
	uid, _ := splitPiece(piece)
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.begun[fmt.Sprintf("%s#%d", uid, try)]
	return at, ok
}

// GangBegan returns when the first attempt of a gang began to run, and whether one did.
func (r *Rig) GangBegan(uid string) (first time.Time, began bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, at := range r.begun {
		if strings.HasPrefix(key, uid+"#") && (!began || at.Before(first)) {
			first, began = at, true
		}
	}
	return first, began
}

// Logs adds the last lines of a controller's log that hold one of the words to the record.
func (r *Rig) Logs(words ...string) {
	for _, node := range r.Nodes {
		lines, err := os.ReadFile(filepath.Join(r.folder, node.Name+".log"))
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(lines)) {
			if slices.ContainsFunc(words, func(word string) bool { return strings.Contains(line, word) }) {
				r.Record.Add("log of %s: %s", node.Name, strings.TrimSpace(line))
			}
		}
	}
}

// Close ends all processes and removes the temporary folder.
func (r *Rig) Close() {
	for _, node := range r.Nodes {
		if node.command != nil && node.command.Process != nil {
			_ = node.command.Process.Signal(syscall.SIGCONT)
			_ = node.command.Process.Kill()
			_ = node.command.Wait()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.folder)
	}
	r.Record.Add("ended")
}

// Spec returns a submission of a job with usual values, changed by the given fields.
func Spec(uid string, fields map[string]any) map[string]any {
	spec := map[string]any{
		"uid": uid, "jobclass": "fit-trainer", "owner": "storefront", "shape": "sweep", "rank": "standard", "pieces": 1,
		"cores": 1.0, "accelerators": 1.0, "memory_gb": 8.0, "bundle": "img-07", "pull_gb": 0.0,
		"builds": nil, "site": nil, "same_place": false, "scatter": false, "loaner": false,
		"expect_s": 10.0, "snapshot_s": 0.0, "stash_s": 0.0, "due_s": nil,
	}
	maps.Copy(spec, fields)
	return spec
}
