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
	"log/slog"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/hcl/v2/hclsimple"

	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/pipefile"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/simulation"
	"github.com/harrierreel/harrierreel/internal/standby"
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
	t    testing.TB
	line string
	w    *simulation.Simulator
	set  settings.Settings
	size int
	host []string // machines there from the start
	vars map[string]string

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
func run(t *testing.T, file string, packs settings.TaskBatching, committed func(key string, v json.RawMessage)) {
	runTelling(t, file, packs, committed, nil)
}

// runTelling is run with messages, if given, told of each message of the controllers.
func runTelling(
	t testing.TB,
	file string,
	packs settings.TaskBatching,
	committed func(key string, v json.RawMessage),
	messages func(simulation.Message),
) {
	f, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	log := slog.New(slog.DiscardHandler)
	if os.Getenv("SCENARIO_LOG") != "" {
		log = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
	}
	s := &script{t: t, size: 3, vars: map[string]string{}, applied: map[string]int{}, w: simulation.NewSimulator(7, log)}
	s.w.Store.Committed, s.w.Messages = committed, messages
	s.w.WatchTasks()
	s.set = baseSettings(s.w)
	s.set.Operator.TaskBatching = packs
	started := false
	sc := bufio.NewScanner(f)
	for n := 1; sc.Scan(); n++ {
		text, _, _ := strings.Cut(sc.Text(), "#")
		words := strings.Fields(text)
		if len(words) == 0 {
			continue
		}
		s.line = fmt.Sprintf("%s:%d", filepath.Base(file), n)
		at, err := strconv.ParseFloat(words[0], 64)
		if err != nil {
			s.setting(words)
			continue
		}
		if !started {
			started = true
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
		due := time.Duration(at * float64(time.Second))
		if due < s.w.At() { // the world's clock would be set back
			s.fatal("a line for %v stands after one for %v", due, s.w.At())
		}
		s.w.RunUntil(due)
		s.do(words[1], words[2:])
	}
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
		t.Errorf("%s: rule broken at %s", file, b)
	}
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

// setting takes a line without a time.
func (s *script) setting(words []string) {
	switch words[0] {
	case "nodes": // nodes COUNT
		s.size = int(s.number(words[1]))
		s.set.Cluster.Size = s.size
	case "team": // team NAME MAX [GUARANTEE]
		team := settings.Team{Name: words[1], GpusMax: s.number(words[2])}
		if len(words) > 3 {
			team.Gpus = s.number(words[3])
		}
		s.set.Cluster.Teams = append(s.set.Cluster.Teams, team)
		s.w.TeamLimits[words[1]] = team.GpusMax
	case "machine": // machine BUILD SITE [cheap]
		s.host = append(s.host, s.w.Cloud.AddRunning(words[1], words[2], len(words) > 3))
	case "machines": // machines COUNT BUILD SITE
		for range int(s.number(words[1])) {
			s.host = append(s.host, s.w.Cloud.AddRunning(words[2], words[3], false))
		}
	case "old": // old NODE: its program does not answer calls
		s.old = append(s.old, words[1])
	case "scarce": // there is no room for half of each class, team and largest tenth
		s.scarce = true
	case "in-time": // each class's largest jobs are to begin within four minutes
		s.inTime = true
	case "report": // report SECONDS between the workers' reports
		s.w.ReportS = s.number(words[1])
		s.set.Cluster.Workers.HeartbeatS = s.w.ReportS
	case "budget": // budget REQUESTS WRITES a second, enforced by the state service
		s.set.Cluster.State.RPS, s.set.Cluster.State.WriteRPS = s.number(words[1]), s.number(words[2])
		s.w.Store.RPS, s.w.Store.WPS = s.number(words[1]), s.number(words[2])
	case "capacity": // capacity MACHINES
		s.w.Cloud.Limit = int(s.number(words[1]))
	case "cloud": // cloud REQUESTS a second
		s.set.Cluster.Cloud.RPS = s.number(words[1])
	case "lists": // lists SECONDS: how late the cloud's are
		s.w.Cloud.LagS = s.number(words[1])
		s.set.Cluster.Cloud.ListLagS = s.w.Cloud.LagS
	case "follow-cloud": // those that are to follow the leader read the cloud's list
		s.set.Operator.FollowCloud = true
	case "lease": // lease SECONDS of the workers
		s.w.LeaseS = s.number(words[1])
		s.set.Cluster.Workers.LeaseS = s.w.LeaseS
	case "cancel": // cancel SECONDS: a cancelled job's tasks are to be gone so soon after its user was told
		s.w.CancelS = s.number(words[1])
		s.set.Cluster.Workers.CancelS = s.w.CancelS
	case "values": // values KIBIBYTES OPERATIONS: of a value, and of a transaction
		s.set.Cluster.State.ValueKB, s.set.Cluster.State.TxnOps = s.number(words[1]), int(s.number(words[2]))
	case "quotas": // quotas FILE: the tree of testdata/quotas that is in force at first
		s.set.Operator.Quotas = s.quotas(words[1])
	case "pipelines": // pipelines [MOST_RUNS]: turned on
		s.set.Operator.Pipelines = settings.DefaultPipelines()
		if len(words) > 1 {
			s.set.Operator.Pipelines.MaxRuns = int(s.number(words[1]))
		}
	case "calendar": // calendar FILE: of testdata/calendars, turned on
		s.set.Operator.Calendar = s.calendar(words[1])
	case "boots": // boots SECONDS: a machine that is rented is up so soon, a fifth more or less
		s.w.Cloud.BootS = s.number(words[1])
	case "images": // images: machines keep those that they have fetched to the end
		s.w.KeepImages = true
	case "never": // never COUNT: the next machines never come up
		s.w.Cloud.Never = int(s.number(words[1]))
	case "lending": // lending [strict]: turned on, strict without preemption by rank
		s.set.Operator.Lending = settings.DefaultLending()
		s.set.Operator.Lending.ByPriority = len(words) == 1
	default:
		s.fatal("unknown setting %q", words[0])
	}
}

// do carries out one timed line.
func (s *script) do(verb string, args []string) {
	w := s.w
	name := func(i int) string { return s.node(args[i]) }
	switch verb {
	case "submit":
		s.submit(args)
	case "again": // again JOB: the submission is repeated
		w.Resubmit(s.job(args[0]))
	case "abort":
		w.Cancel(s.job(args[0]))
	case "look-at":
		s.lookAt(args)
	case "ask": // ask JOB: about a job that no one submitted
		w.CheckUnknown(args[0])
	case "crash":
		w.Nodes[name(0)].Crash()
	case "freeze": // freeze NODE SECONDS: the process stands still, its clocks run on
		w.Nodes[name(0)].Freeze(time.Duration(s.number(args[1]) * float64(time.Second)))
	case "leave": // leave NODE: it is asked to end in order
		w.Nodes[name(0)].Shutdown()
	case "refuse-peers": // refuse-peers NODE on|off: connections between it and the others
		w.RefusePeers(name(0), args[1] == "on")
	case "lag-next": // lag-next SECONDS: the watch of the controller that is to follow first
		for _, n := range w.NodeNames {
			if w.Nodes[n].SuccessionOrder() == 0 {
				w.Store.Lag[n] = time.Duration(s.number(args[0]) * float64(time.Second))
			}
		}
	case "lag-none":
		clear(w.Store.Lag)
	case "crash-warm": // crash-warm COUNT: the controllers that are to follow the leader
		left := int(s.number(args[0]))
		for _, n := range w.NodeNames {
			if state, _ := w.Nodes[n].Standby(); (state == standby.Warm || state == standby.Probing) && left > 0 {
				left--
				w.Nodes[n].Crash()
			}
		}
	case "die-many": // die-many FIRST COUNT: machines of the start
		first := int(s.number(args[0]))
		for _, h := range s.host[first-1 : first-1+int(s.number(args[1]))] {
			w.Agents[h].Die()
		}
	case "calendar": // calendar NODE FILE: another file, read when it next starts
		w.Nodes[name(0)].SetCalendar(s.calendar(args[1]))
	case "upon": // upon WINDOW STATE VERB ...: once, as soon as it is committed
		s.windows.upon[args[0]+" "+args[1]] = args[2:]
	case "clock": // clock NODE SECONDS: its time of day is so far off
		w.ClockOffsets[name(0)] = time.Duration(s.number(args[1]) * float64(time.Second))
	case "flap": // flap NODE COUNT [LONGEST]: killed, back 0.2 s later, killed again 0.1 to LONGEST (0.5) s after that, COUNT times
		longest := 0.5
		if len(args) > 2 {
			longest = s.number(args[2])
		}
		w.Flap(name(0), int(s.number(args[1])), time.Duration(longest*float64(time.Second)))
	case "flap-all": // flap-all COUNT: all within a second, each back 0.2 s later, COUNT times
		for _, n := range w.NodeNames {
			w.After(
				time.Duration(w.RNG.IntN(1000))*time.Millisecond,
				func() { w.Flap(n, int(s.number(args[0])), 1200*time.Millisecond) },
			)
		}
	case "rebirth": // rebirth FIRST COUNT: machines of the start die and are back at once, with a new tenure
		first := int(s.number(args[0]))
		for _, h := range s.host[first-1 : first-1+int(s.number(args[1]))] {
			if wk := w.Agents[h]; wk != nil {
				wk.Restart()
			}
		}
	case "hold-back": // hold-back beat|cmd|state|rent SECONDS EVERY: each so-manieth request comes so late, its sender has given it up
		w.HoldBack(args[0], time.Duration(s.number(args[1])*float64(time.Second)), int(s.number(args[2])))
	case "die-some", "hang-some": // die-some empty|busy COUNT: machines of the start
		left := int(s.number(args[1]))
		for _, h := range s.host {
			if wk := w.Agents[h]; wk != nil && left > 0 && !wk.Hung && wk.Empty() == (args[0] == "empty") {
				if left--; verb == "die-some" {
					wk.Die()
				} else {
					wk.Hung = true
				}
			}
		}
		if left > 0 {
			s.fatal("%d too few are %s", left, args[0])
		}
	case "late-writes", "late-reports":
		s.late(verb, args)
	// cut-peers NODE on|off: lines between this controller and the others are lost, both
	// ways and in silence (refuse-peers has them refused, which the others hear). A
	// controller cut from the state service and its peers, but neither from workers nor
	// from users: "cut-peers NODE on" with "refuse NODE on", which answers it 503, or with
	// "cut NODE state", after which its calls find no answer.
	case "cut-peers":
		s.cutPeers(name(0), args[1] == "on")
	// cut-many|deaf FIRST COUNT: nothing reaches these machines of the start: their reports
	// arrive, answers to them, commands and /show are lost. heal-many|hear ends it. One
	// machine by name: "cut * MACHINE", "heal * MACHINE".
	case "cut-many", "heal-many", "deaf", "hear":
		first := int(s.number(args[0]))
		for _, h := range s.host[first-1 : first-1+int(s.number(args[1]))] {
			if w.Heal("*", h); verb == "cut-many" || verb == "deaf" {
				w.Cut("*", h, false)
			}
		}
	case "rented-unheard": // rented-unheard COUNT BUILD SITE: by a leader that ended before the answer
		for range int(s.number(args[0])) {
			s.host = append(s.host, w.Cloud.AddRunning(args[1], args[2], false))
		}
	case "abort-many": // abort-many FIRST COUNT
		for i := range int(s.number(args[1])) {
			w.Cancel(s.job(fmt.Sprintf("wk-%06d", int(s.number(args[0]))+i)))
		}
	case "baton": // baton MACHINE EPOCH: it has seen that token
		w.Agents[s.party(args[0])].LearnEpoch(uint64(s.number(args[1])))
	case "boot":
		w.Nodes[name(0)].Boot()
	case "crash-all":
		for _, n := range w.NodeNames {
			w.Nodes[n].Crash()
		}
	case "boot-all":
		for _, n := range w.NodeNames {
			w.Nodes[n].Boot()
		}
	case "door": // door NODE|any: where users' requests go
		w.EntryNode = ""
		if args[0] != "any" {
			w.EntryNode = name(0)
		}
	case "state": // state down|up
		w.Store.SetDown(args[0] == "down")
	case "slow": // slow SECONDS: the state service answers so much later
		w.Store.Slow = time.Duration(s.number(args[0]) * float64(time.Second))
	case "slow-some": // slow-some SHARE MOST SECONDS: for so long that share of its answers comes up to MOST seconds later
		w.Store.SlowSome(
			s.number(args[0]),
			time.Duration(s.number(args[1])*float64(time.Second)),
			time.Duration(s.number(args[2])*float64(time.Second)),
		)
	case "slow-watch": // slow-watch SECONDS: its answers to watches come so late instead
		w.Store.SlowWatch = time.Duration(s.number(args[0]) * float64(time.Second))
	case "fail-pages": // fail-pages COUNT: each so-manieth page of a listing is refused, 0 none
		w.Store.FailPages = int(s.number(args[0]))
	case "apply": // apply FILE BASE: another tree
		s.applied[args[0]] = 0
		w.ApplyQuota(
			quota.Apply{Base: int(s.number(args[1])), Quotas: *s.quotas(args[0])},
			func(status int, _ quota.Preview) { s.applied[args[0]] = status },
		)
	case "ask-many": // ask-many FIRST COUNT EVERY: about a job that no one submitted each EVERY seconds
		first, every := int(s.number(args[0])), s.number(args[2])
		for i := range int(s.number(args[1])) {
			w.After(
				time.Duration(float64(i)*every*float64(time.Second)),
				func() { w.CheckUnknown(fmt.Sprintf("wk-%06d", first+i)) },
			)
		}
	case "run": // run RUN FILE: a pipeline file of testdata/pipelines
		w.SubmitRun(&simulation.Run{ID: args[0], Body: s.pipeline(args[0], args[1])})
	case "run-many": // run-many FIRST COUNT EVERY FILE: one each EVERY seconds
		first, every := int(s.number(args[0])), s.number(args[2])
		for i := range int(s.number(args[1])) {
			id := simulation.RunID(first + i)
			body := s.pipeline(id, args[3])
			w.After(
				time.Duration(float64(i)*every*float64(time.Second)),
				func() { w.SubmitRun(&simulation.Run{ID: id, Body: body}) },
			)
		}
	case "run-again": // run-again RUN FILE: the submission is repeated
		w.ResubmitRun(s.runOf(args[0]), s.pipeline(args[0], args[1]))
	case "cancel-run":
		w.CancelRun(s.runOf(args[0]))
	case "submit-many": // submit-many FIRST COUNT EVERY SHAPE [key=value ...]: one each EVERY seconds
		first, every := int(s.number(args[0])), s.number(args[2])
		for i := range int(s.number(args[1])) {
			jobID := fmt.Sprintf("wk-%06d", first+i)
			w.After(
				time.Duration(float64(i)*every*float64(time.Second)),
				func() { s.submit(append([]string{jobID}, args[3:]...)) },
			)
		}
	case "refuse": // refuse NODE on|off: the state service refuses it alone
		w.Store.Refuse[name(0)] = args[1] == "on"
	case "lose": // lose NODE COUNT: answers to its next transactions
		w.Store.Lose[name(0)] = int(s.number(args[1]))
	case "poison": // poison JOB|none: transactions about its tasks are refused for no reason
		w.Store.Poison = strings.TrimPrefix(args[0], "none")
	case "late": // late NODE SECONDS: its transactions arrive late
		w.Store.Late[name(0)] = time.Duration(s.number(args[1]) * float64(time.Second))
	case "lag": // lag NODE SECONDS: its watches tell of changes so much later
		w.Store.Lag[name(0)] = time.Duration(s.number(args[1]) * float64(time.Second))
	case "cloud":
		w.Cloud.Down = args[0] == "down"
	case "capacity":
		w.Cloud.Limit = int(s.number(args[0]))
	case "cut": // cut FROM TO [hold]
		w.Cut(s.party(args[0]), s.party(args[1]), len(args) > 2)
	case "isolate": // isolate FIRST COUNT: so many of the first machines are cut from all
		first := int(s.number(args[0]))
		for _, h := range s.host[first-1 : first-1+int(s.number(args[1]))] {
			w.Cut(h, "*", false)
			w.Cut("*", h, false)
		}
	case "blind": // blind NODE on|off: it and the machines of the start do not reach one another
		for _, h := range s.host {
			if args[1] == "on" {
				w.Cut(h, name(0), false)
				w.Cut(name(0), h, false)
			} else {
				w.Heal(h, name(0))
				w.Heal(name(0), h)
			}
		}
	case "heal":
		w.Heal(s.party(args[0]), s.party(args[1]))
	case "die", "hang", "resume", "take":
		wk := w.Agents[s.party(args[0])]
		if wk == nil {
			s.fatal("no machine %s", args[0])
		}
		switch verb {
		case "die":
			wk.Die()
		case "hang":
			wk.Hung = true
		case "resume":
			wk.Resume()
		case "take": // take MACHINE SECONDS of notice
			wk.Reclaim(s.number(args[1]))
		}
	case "end-on", "freeze-on", "cut-on", "hang-on", "die-on", "notice-on", "abort-on", "outage-on", "isolated-ends":
		s.loanVerb(verb, args)
	case "let": // let VAR host-of JOB | leader | follower | second
		s.vars[args[0]] = s.value(args[1:])
	case "mute", "unmute": // mute FIRST COUNT: these machines of the start reach no controller, commands reach them
		s.mute(int(s.number(args[0])), int(s.number(args[1])), verb == "mute")
	case "plant": // plant KEY VALUE: an odd record in the store
		w.Store.Put(args[0], strings.Join(args[1:], " "))
	case "end-leader", "end-as-it-leads", "lead-changes", "cut-zone", "heal-zone", "mark":
		s.leadVerb(verb, args)
	case "close-looks", "cancel-at-end", "look-all":
		s.looksVerb(verb, args)
	case "expect":
		s.expect(args)
	case "odd-requests": // odd-requests SECONDS: users repeat, cancel what is done, send what can't run or lacks a field
		s.oddRequests(args)
	case "hang-with",
		"hang-for": // hang-with FIRST COUNT SECONDS: machines with a task of these jobs; hang-for: of the start
		s.hangFor(verb, args)
	case "cancel-now": // cancel-now COUNT [HANG_S]: so many jobs that run and have long to go are called off within 0.2 s; up to eight of their machines hang so long
		s.cancelNowVerb(args)
	case "ask-everywhere": // ask-everywhere FIRST COUNT EVERY SECONDS: at each controller: a question, the submission, and what was called off once more
		s.askEverywhere(args)
	case "rejoin": // rejoin FIRST COUNT: ends isolate
		s.rejoin(args)
	case "cancelled-gone": // no task of a job that was told to be cancelled is on a machine that doesn't hang
		for _, taskID := range w.CancelledOn() {
			s.fatal("%s is cancelled and on a machine", taskID)
		}
	case "abort-each":
		s.abortEach(args)
	case "calm": // all troubles end, and who waits although there is room is watched
		s.calm()
	default:
		s.fatal("unknown verb %q", verb)
	}
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

// submit UID SHAPE [key=value ...]
func (s *script) submit(args []string) {
	j := &simulation.Job{ID: args[0], Kind: args[1], TaskCount: 1, Accelerators: 1, RunS: 10, PullS: 1, Team: "team"}
	priority, due, cores, class, gb := "standard", "null", 2.0, "c", 1.0
	j.Image = "img-1"
	for _, a := range args[2:] {
		k, v, _ := strings.Cut(a, "=")
		switch k {
		case "pieces":
			j.TaskCount = int(s.number(v))
		case "accel":
			j.Accelerators = s.number(v)
		case "cores":
			cores = s.number(v)
		case "run":
			j.RunS = s.number(v)
		case "apart": // its tasks end so many seconds after one another
			j.ApartS = s.number(v)
		case "pull":
			j.PullS = s.number(v)
		case "gb": // its image, by itself, as large as users say
			j.PullS, gb, j.Image = s.number(v), s.number(v), "img-"+v
		case "owner":
			j.Team = v
		case "rank":
			priority = v
		case "same_place":
			j.SameZone = true
		case "scatter":
			j.SpreadZones = true
		case "loaner":
			j.Spot = true
		case "site":
			j.Zone = v
		case "builds":
			j.MachineTypes = strings.Split(v, ",")
		case "fail":
			j.FailOn = s.party(v)
		case "image": // image=NAME:GB
			image, size, _ := strings.Cut(v, ":")
			j.Image, gb = image, s.number(size)
		case "snapshot":
			j.SnapshotS = s.number(v)
		case "class":
			class = v
		case "due":
			due = v
		default:
			s.fatal("unknown property %q", k)
		}
	}
	j.Class = class
	builds := "null"
	if j.MachineTypes != nil {
		builds = `["` + strings.Join(j.MachineTypes, `","`) + `"]`
	}
	zone := "null"
	if j.Zone != "" {
		zone = strconv.Quote(j.Zone)
	}
	j.Body = fmt.Appendf(
		nil,
		`{"uid":%q,"jobclass":%q,"owner":%q,"shape":%q,"rank":%q,"pieces":%d,"cores":%v,"accelerators":%v,"memory_gb":8,
		"bundle":%q,"pull_gb":%v,"builds":%s,"site":%s,"same_place":%v,"scatter":%v,"loaner":%v,"expect_s":%v,"snapshot_s":%v,"stash_s":1,"due_s":%s}`,
		j.ID,
		class,
		j.Team,
		j.Kind,
		priority,
		j.TaskCount,
		cores,
		j.Accelerators,
		j.Image,
		gb,
		builds,
		zone,
		j.SameZone,
		j.SpreadZones,
		j.Spot,
		j.RunS,
		j.SnapshotS,
		due,
	)
	s.w.Submit(j)
}

// expect JOB done|cancelled|running|pending|refused, expect tasks JOB COUNT,
// expect machines MAX, expect rented MAX, expect leader NAME,
// expect not-leader NAME, expect keys PREFIX COUNT.
func (s *script) expect(args []string) {
	s.t.Helper()
	w := s.w
	switch args[0] {
	case "opened", "window", "began":
		s.expectWindow(args)
	case "tasks":
		if got := s.w.Running(args[1]); got != int(s.number(args[2])) {
			s.fatal("%s has %d tasks on machines, not %s", args[1], got, args[2])
		}
	case "machines":
		if got := s.w.Cloud.Alive(); got > int(s.number(args[1])) {
			s.fatal("%d machines are rented, more than %s", got, args[1])
		}
	case "has-begun": // expect has-begun JOB: a task of it has run, all at once of a gang
		if s.job(args[1]).FirstStart.IsZero() {
			s.fatal("%s has not begun", args[1])
		}
	case "starts": // expect starts JOB MAX: of its tasks
		if got := s.job(args[1]).Starts; got > int(s.number(args[2])) {
			s.fatal("tasks of %s started %d times, more than %s", args[1], got, args[2])
		}
	case "begun": // expect begun FIRST COUNT MAX: starts of their tasks beyond one each
		extra, first := 0, int(s.number(args[1]))
		for i := range int(s.number(args[2])) {
			j := s.job(fmt.Sprintf("wk-%06d", first+i))
			extra += j.Starts - j.TaskCount
		}
		if extra > int(s.number(args[3])) {
			s.fatal("%d tasks started that need not have, more than %s", extra, args[3])
		}
	case "on": // expect on FIRST COUNT MIN: tasks of these jobs on machines
		got, first := 0, int(s.number(args[1]))
		for i := range int(s.number(args[2])) {
			got += w.Running(fmt.Sprintf("wk-%06d", first+i))
		}
		if got < int(s.number(args[3])) {
			s.fatal("%d tasks are on machines, not %s", got, args[3])
		}
	case "rented":
		if got := s.w.Cloud.Rented; got > int(s.number(args[1])) {
			s.fatal("%d machines were ever rented, more than %s", got, args[1])
		}
	case "rents": // expect rents COUNT: at least so many were ever rented
		if got := s.w.Cloud.Rented; got < int(s.number(args[1])) {
			s.fatal("only %d machines were ever rented, not %s", got, args[1])
		}
	case "lost": // expect lost COUNT: machines that were deleted with tasks on them
		if got := s.w.Cloud.Lost; got != int(s.number(args[1])) {
			s.fatal("%d machines were deleted with tasks on them, not %s", got, args[1])
		}
	case "alive", "dead": // expect dead MACHINE: it was returned
		if alive := s.w.Agents[s.party(args[1])] != nil; alive != (args[0] == "alive") {
			s.fatal("machine %s alive: %v", args[1], alive)
		}
	case "answered": // expect answered SECONDS: each user had an answer in the last so many
		for _, jobID := range s.w.Unanswered(time.Duration(s.number(args[1]) * float64(time.Second))) {
			s.fatal("no question about %s was answered", jobID)
		}
	case "known": // expect known NODE COUNT: live jobs by its mirror
		if got := w.Nodes[s.node(args[1])].LiveJobs(); got != int(s.number(args[2])) {
			s.fatal("%s knows %d live jobs, not %s", args[1], got, args[2])
		}
	case "records": // expect records: none of a machine that is gone for 10 s
		for _, machine := range w.MachinesGoneFor(10 * time.Second) {
			if w.Store.Value("host/"+machine) != nil {
				s.fatal("%s is gone and has a record: %s", machine, w.Store.Value("host/"+machine))
			}
		}
	case "kept": // expect kept FIRST COUNT MIN: of these machines of the start so many were not deleted
		s.expectKept(int(s.number(args[1])), int(s.number(args[2])), int(s.number(args[3])))
	case "late-done": // expect late-done MIN: transactions carried out late
		if got := w.LateWritesDone; got < int(s.number(args[1])) {
			s.fatal("%d transactions were carried out late, fewer than %s", got, args[1])
		}
	case "odd": // expect odd MIN: answers to each kind of odd request
		s.expectOdd(args)
	case "late-starts": // expect late-starts MIN MAX: starts after a user was told of the cancellation
		if got := w.StartsAfterCancel; got < int(s.number(args[1])) || got > int(s.number(args[2])) {
			s.fatal("%d tasks started after their cancellation was told, not %s to %s", got, args[1], args[2])
		}
	case "unheard": // expect unheard MIN: transactions carried out at once without an answer
		if got := w.LostWrites; got < int(s.number(args[1])) {
			s.fatal("%d transactions were carried out without an answer, fewer than %s", got, args[1])
		}
	case "late-copies": // expect late-copies MIN: copies of reports that arrived later
		if got := w.LateCopies; got < int(s.number(args[1])) {
			s.fatal("%d copies of reports arrived, fewer than %s", got, args[1])
		}
	case "expired": // expect expired COUNT: leases that ran out under tasks
		if got := s.w.Expired; got != int(s.number(args[1])) {
			s.fatal("%d leases ran out, not %s", got, args[1])
		}
	case "all": // expect all FIRST COUNT done
		first := int(s.number(args[1]))
		for i := range int(s.number(args[2])) {
			if j := s.job(fmt.Sprintf("wk-%06d", first+i)); j.Status != args[3] {
				s.fatal("%s is %q, not %q", j.ID, j.Status, args[3])
			}
		}
	case "beyond": // expect beyond MAX: requests that the state service refused for its limits
		if got := s.w.Store.Refused; got > int(s.number(args[1])) {
			s.fatal("%d requests went beyond the state service's limits", got)
		}
	case "poisoned": // expect poisoned MIN MAX: transactions refused for no reason
		if got := s.w.Store.Poisoned; got < int(s.number(args[1])) || got > int(s.number(args[2])) {
			s.fatal("%d transactions were refused, not %s to %s", got, args[1], args[2])
		}
	case "looks": // expect looks MIN: answers to users who look closely
		if got := w.BurstAnswers; got < int(s.number(args[1])) {
			s.fatal("%d close looks were answered, fewer than %s", got, args[1])
		}
	case "one-end": // expect one-end FIRST COUNT: each is done or cancelled, told as the state service has it
		s.expectOneEnd(args)
	case "not-leader":
		if s.w.Leader() == s.party(args[1]) {
			s.fatal("%s leads", args[1])
		}
	case "sent-away": // expect sent-away MAX: submissions and cancellations answered 503
		if got := s.w.Unavailable; got > int(s.number(args[1])) {
			s.fatal("%d submissions were answered 503, more than %s", got, args[1])
		}
	case "state": // expect state NODE STATE: of its readiness to lead
		if got, _ := s.w.Nodes[s.node(args[1])].Standby(); string(got) != args[2] {
			s.fatal("%s is %s, not %s", args[1], got, args[2])
		}
	case "batons": // expect batons MAX: most times that a machine of the start was shown a higher one
		for _, h := range s.host {
			if wk := s.w.Agents[h]; wk != nil && wk.TokenChanges > int(s.number(args[1])) {
				s.fatal("%s was shown a higher baton %d times, more than %s", h, wk.TokenChanges, args[1])
			}
		}
	case "alarms": // expect alarms MIN MAX: calls that were answered, as all count them
		got := 0
		for _, n := range s.w.NodeNames {
			_, alarms := s.w.Nodes[n].Standby()
			got = max(got, alarms)
		}
		if got < int(s.number(args[1])) || got > int(s.number(args[2])) {
			s.fatal("%d calls were answered, not %s to %s", got, args[1], args[2])
		}
	case "out": // expect out NODE: it is not in the view
		var v members.View
		if raw := s.w.Store.Value("view"); json.Unmarshal(raw, &v) != nil || v.Incarnation(s.party(args[1])) != 0 {
			s.fatal("%s is in the view %s", args[1], raw)
		}
	case "views": // expect views MAX: changes of the view so far
		var v struct{ Epoch int }
		if raw := s.w.Store.Value("view"); json.Unmarshal(raw, &v) != nil || v.Epoch > int(s.number(args[1])) {
			s.fatal("the view is %s, with an epoch above %s", raw, args[1])
		}
	case "applied": // expect applied FILE STATUS
		if got := s.applied[args[1]]; got != int(s.number(args[2])) {
			s.fatal("applying %s was answered %d, not %s", args[1], got, args[2])
		}
	case "tree": // expect tree NUMBER: in force
		if v, err := quota.Decode(s.w.Store.Value(quota.StoreKey)); err != nil || v.Number != int(s.number(args[1])) {
			s.fatal("the tree is %+v (%v), not number %s", v, err, args[1])
		}
	case "lowered": // expect lowered MIN MAX: tasks stopped because a quota was lowered
		got := 0
		for why, count := range s.stops {
			if strings.Contains(why, "was lowered") {
				got += count
			}
		}
		if got < int(s.number(args[1])) || got > int(s.number(args[2])) {
			s.fatal("%d tasks were stopped for a lowered quota, not %s to %s", got, args[1], args[2])
		}
	case "run": // expect run RUN STATE
		if got := s.runOf(args[1]).State; got != args[2] {
			s.fatal("%s is %q, not %q: %+v", args[1], got, args[2], s.runOf(args[1]).Status.Steps)
		}
	case "answer": // expect answer RUN STATUS: to its last submission
		if got := s.runOf(args[1]).Answer; got != int(s.number(args[2])) {
			s.fatal("the submission of %s was answered %d, not %s", args[1], got, args[2])
		}
	case "runs": // expect runs FIRST COUNT STATE
		first := int(s.number(args[1]))
		for i := range int(s.number(args[2])) {
			if r := s.runOf(simulation.RunID(first + i)); r.State != args[3] {
				s.fatal("%s is %q, not %q: %+v", r.ID, r.State, args[3], r.Status.Steps)
			}
		}
	case "step": // expect step RUN STEP STATE [REPEAT]
		found := false
		for _, step := range s.runOf(args[1]).Status.Steps {
			if step.Name != args[2] {
				continue
			}
			found = true
			if string(step.Status) != args[3] || len(args) > 4 && strconv.Itoa(step.Repeat) != args[4] {
				s.fatal(
					"%s of %s is %s at repeat %d (%s), not %v",
					step.Name,
					args[1],
					step.Status,
					step.Repeat,
					step.Why,
					args[3:],
				)
			}
		}
		if !found {
			s.fatal("%s has no step %s", args[1], args[2])
		}
	case "since", "tokens", "recorded", "least", "ended":
		s.expectLead(args)
	case "loans", "used", "gangs", "upto":
		s.expectLoans(args)
	case "over":
		s.expectOver(args)
	case "stranded": // expect stranded SECONDS: since the calm no job has waited so long with room for it
		s.expectStranded(args[1])
	case "leader":
		s.leader()
	case "keys":
		if got := s.w.Store.Count(args[1]); got != int(s.number(args[2])) {
			s.fatal("%d keys under %s, not %s", got, args[1], args[2])
		}
	default:
		want := args[1]
		if want == "refused" {
			want = "422"
		}
		if got := s.job(args[0]).Status; got != want {
			s.fatal("%s is %q, not %q", args[0], got, want)
		}
	}
}
