// Package scenario runs the scenarios in testdata: small text files, each a
// story that the controllers must come through with every rule kept.
//
// A line is "SECONDS VERB ARGUMENTS", or a setting without a time before the
// first of those. See the verbs in the runner below.
package scenario

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/hcl/v2/hclsimple"

	"github.com/harrierreel/harrierreel/internal/pipefile"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/simulation"
)

func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no scenarios", err)
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) {
			t.Parallel()
			run(t, f, settings.BatchingWhenScarce, nil)
		})
		if packed(t, f) {
			continue
		}
		// The same must hold when all that can be packed is.
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt")+"-packed", func(t *testing.T) {
			t.Parallel()
			run(t, f, settings.BatchingAlways, nil)
		})
	}
}

// packed tells whether a scenario has more machines at the start than changes a second:
// what can be packed is, then, as it stands.
func packed(t *testing.T, file string) bool {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	machines, changes := 0, 100
	for _, line := range strings.Split(string(text), "\n") {
		var n int
		switch w := strings.Fields(line); {
		case len(w) > 0 && w[0] == "machine":
			machines++
		case len(w) > 1 && w[0] == "machines":
			n, _ = strconv.Atoi(w[1])
			machines += n
		case len(w) > 2 && w[0] == "budget":
			changes, _ = strconv.Atoi(w[2])
		}
	}
	return machines > changes
}

// script is a scenario under way.
type script struct {
	t        testing.TB
	line     string
	w        *simulation.Simulator
	set      settings.Settings
	size     int
	machines []string // those there from the start
	vars     map[string]string

	scarce     bool             // there is no room for half of each group
	inTime     bool             // the largest jobs are to begin in time
	old        []string         // controllers that don't answer calls
	stops      map[string]int   // by cause, while quotas are watched
	applied    map[string]int   // answers to applied trees
	windows    *windows         // of the calendar, nil if there is none
	gaps       int              // outages longer than cancel_s that were begun (TestPairs)
	marked     simulation.Tally // what had happened at the last mark
	endedLeads int              // leaders that ended as they came to lead
}

// run plays a scenario. committed, if given, is told of each write of a
// transaction.
func run(t *testing.T, file string, batching settings.TaskBatching, committed func(key string, v json.RawMessage)) {
	t.Helper()
	runTelling(t, file, batching, committed, nil)
}

// runTelling is run with messages, if given, told of each message of the controllers.
func runTelling(
	tb testing.TB,
	file string,
	batching settings.TaskBatching,
	committed func(key string, v json.RawMessage),
	messages func(simulation.Message),
) {
	tb.Helper()
	f, err := os.Open(file)
	if err != nil {
		tb.Fatal(err)
	}
	defer func() { _ = f.Close() }() // only read
	s := newScript(tb, batching)
	s.w.Store.Committed, s.w.Messages = committed, messages
	s.playLines(f, filepath.Base(file))
	s.uponDone()
	if committed == nil { // what was recorded ends with the file
		s.w.Aftermath()
		if !s.scarce {
			s.w.CheckServed(s.inTime)
		}
	}
	if s.w.Store.Poisoned == 0 {
		s.w.CheckRefused()
	}
	for _, b := range s.w.Broken {
		tb.Errorf("%s: rule broken at %s", file, b)
	}
}

// newScript is a scenario before its first line. With SCENARIO_LOG set its controllers log to
// the standard error.
func newScript(tb testing.TB, batching settings.TaskBatching) *script {
	tb.Helper()
	log := slog.New(slog.DiscardHandler)
	if os.Getenv("SCENARIO_LOG") != "" {
		log = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
	}
	s := &script{
		t:       tb,
		size:    3,
		vars:    map[string]string{},
		applied: map[string]int{},
		w:       simulation.NewSimulator(7, log),
	}
	s.w.WatchTasks()
	s.set = baseSettings(s.w)
	s.set.Operator.TaskBatching = batching
	return s
}

// playLines takes the settings, and from the first timed line on plays the scenario.
func (s *script) playLines(lines io.Reader, file string) {
	s.t.Helper()
	started := false
	sc := bufio.NewScanner(lines)
	for n := 1; sc.Scan(); n++ {
		text, _, _ := strings.Cut(sc.Text(), "#")
		words := strings.Fields(text)
		if len(words) == 0 {
			continue
		}
		s.line = fmt.Sprintf("%s:%d", file, n)
		at, err := strconv.ParseFloat(words[0], 64)
		if err != nil {
			s.setting(words)
			continue
		}
		if !started {
			started = true
			s.start()
		}
		due := time.Duration(at * float64(time.Second))
		if due < s.w.At() { // the world's clock would be set back
			s.fatal("a line for %v stands after one for %v", due, s.w.At())
		}
		s.w.RunUntil(due)
		s.do(words[1], words[2:])
	}
}

// start starts the controllers, with the rules watched that the settings call for.
func (s *script) start() {
	if s.set.Operator.Quotas != nil {
		s.stops = s.w.WatchQuotas(s.set.TeamMap(), nil)
	}
	if s.set.Operator.Lending != nil {
		s.watchLoans()
	}
	s.w.Unresponsive = s.old
	s.watchCalendar()
	s.w.AddNodes(s.size, s.set)
}

func baseSettings(w *simulation.Simulator) settings.Settings {
	set := settings.Settings{Operator: settings.DefaultOperator()}
	set.Cluster = settings.Cluster{
		Size:  3,
		Zones: []string{"a", "b"},
		Workers: settings.Workers{
			HeartbeatS: w.ReportS,
			LeaseS:     w.LeaseS,
			GangWaitS:  w.GangWaitS,
			GangPeerS:  w.GangPeerS,
			CancelS:    w.CancelS,
		},
		State:  settings.State{RPS: 250, WriteRPS: 100, ValueKB: 8, TxnOps: 16},
		Cloud:  settings.Cloud{RPS: 4, ListLagS: w.Cloud.LagS},
		Limits: settings.Limits{MemoryMB: 200, FdLimit: 1000},
	}
	return set
}

func (s *script) fatal(format string, args ...any) {
	s.t.Helper()
	s.t.Fatalf("%s: %s", s.line, fmt.Sprintf(format, args...))
}

func (s *script) number(text string) float64 {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		s.fatal("%q is not a number", text)
	}
	return v
}

func (s *script) value(args []string) string {
	switch args[0] {
	case "host-of":
		if h := s.w.MachineOf(args[1]); h != "" {
			return h
		}
		s.fatal("%s is on no machine", args[1])
	case "owner-of": // the controller that moves a run
		return s.w.OwnerOf(args[1])
	case "leader":
		return s.leader()
	case "follower", "second": // the first and the second that doesn't lead
		skip := args[0] == "second"
		for _, n := range s.w.NodeNames {
			switch {
			case n == s.leader():
			case skip:
				skip = false
			default:
				return n
			}
		}
	}
	s.fatal("no such value %v", args)
	return ""
}

func (s *script) leader() string {
	l := s.w.Leader()
	if l == "" {
		s.fatal("nobody leads")
	}
	return l
}

// node resolves the name of a controller.
func (s *script) node(text string) string {
	text = s.party(text)
	if s.w.Nodes[text] == nil {
		s.fatal("no node %q", text)
	}
	return text
}

// party resolves a variable, perhaps with a channel after a colon (leader:cmd), or gives
// the text back.
func (s *script) party(text string) string {
	if base, channel, found := strings.Cut(text, ":"); found {
		return s.party(base) + ":" + channel
	}
	if v, ok := s.vars[text]; ok {
		return v
	}
	if text == "leader" {
		return s.leader()
	}
	return text
}

func (s *script) job(jobID string) *simulation.Job {
	j := s.w.Jobs[jobID]
	if j == nil {
		s.fatal("no job %s", jobID)
	}
	return j
}

// quotas reads a tree of testdata/quotas.
func (s *script) quotas(name string) *quota.Document {
	var f struct {
		Quotas quota.Document `hcl:"quotas,block"`
	}
	if err := hclsimple.DecodeFile(filepath.Join("testdata", "quotas", name+".hcl"), nil, &f); err != nil {
		s.fatal("%v", err)
	}
	return &f.Quotas
}

func (s *script) runOf(id string) *simulation.Run {
	r := s.w.Runs[id]
	if r == nil {
		s.fatal("no run %s", id)
	}
	return r
}

// pipeline is the submission of a file under a run's id.
func (s *script) pipeline(id, name string) []byte {
	f, faults := pipefile.Load(filepath.Join("testdata", "pipelines", name+".yaml"))
	if len(faults) > 0 {
		s.fatal("%v", faults)
	}
	return f.Submission(id)
}
