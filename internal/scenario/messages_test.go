package scenario

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"

	"lukechampine.com/blake3"

	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/simulation"
)

var (
	digestsTo      = flag.String("digests", "", "file that TestScenarioDigests writes")
	digestsAgainst = flag.String("against", "", "file that TestScenarioDigests compares with")
	messagesTo     = flag.String("messages", "", "directory in which TestScenarioDigests lists each scenario's messages")
)

// messagesSum is what was recorded of all scenarios, a line "NAME MESSAGES DIGEST" each.
const messagesSum = "testdata/messages.sum"

// courseVaries are scenarios of which two plays of the same program differ, with the cause.
// Their lines have "varies" for the digest, so that only the number of messages is held
// against the record.
var courseVaries = map[string]string{
	"meet-cut-leader-answers": "StopRelay.relayToMachines asks the machines of a job's tasks in the order of a map",
}

// TestScenarioDigests is a command for changes that only rename, move or split: it plays
// every scenario as TestScenarios does and sums up all that the controllers send and
// have, in order and with its time (simulation.Message; logs are no messages). With -digests
// FILE it writes the sums; with -against FILE it fails at each scenario that took another
// course. -messages DIR lists the messages, to see the first that differs. What a
// scenario itself expects is for TestScenarios: one that fails is summed up to there.
func TestScenarioDigests(t *testing.T) {
	if *digestsTo == "" && *digestsAgainst == "" {
		t.Skip("a command: takes -digests FILE or -against FILE")
	}
	var recorded map[string]string
	if *digestsAgainst != "" {
		recorded = readDigests(t, *digestsAgainst)
	}
	var mu sync.Mutex
	lines := map[string]string{}
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no scenarios", err)
	}
	known := map[string]bool{}
	one := func(name, file string, batching settings.TaskBatching) {
		known[name] = true
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			line := digest(t, name, file, batching)
			mu.Lock()
			lines[name] = line
			mu.Unlock()
			if recorded != nil && recorded[name] != line {
				t.Errorf("took another course:\n%s\nrecorded:\n%s", line, recorded[name])
			}
		})
	}
	// The cleanup runs once all scenarios, which are parallel, have ended.
	t.Cleanup(func() {
		if *digestsTo == "" {
			return
		}
		var out strings.Builder
		for _, name := range slices.Sorted(maps.Keys(lines)) {
			fmt.Fprintln(&out, lines[name])
		}
		if err := os.WriteFile(*digestsTo, []byte(out.String()), 0o644); err != nil {
			t.Error(err)
		}
	})
	for _, f := range files {
		name := strings.TrimSuffix(filepath.Base(f), ".txt")
		one(name, f, settings.BatchingWhenScarce)
		if !packed(t, f) {
			one(name+"-packed", f, settings.BatchingAlways)
		}
	}
	for name := range recorded {
		if !known[name] {
			t.Errorf("%s is recorded and there is no such scenario", name)
		}
	}
}

// TestMessagesAsRecorded does the same for the scenarios whose decisions are recorded.
func TestMessagesAsRecorded(t *testing.T) {
	recorded := readDigests(t, messagesSum)
	for name := range readDigests(t, "testdata/decisions.sum") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			line := digest(t, name, filepath.Join("testdata", name+".txt"), settings.BatchingWhenScarce)
			if recorded[name] != line {
				t.Errorf("took another course:\n%s\nrecorded:\n%s", line, recorded[name])
			}
		})
	}
}

// readDigests reads the lines of a file by their first word.
func readDigests(t *testing.T, file string) map[string]string {
	t.Helper()
	f, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }() // only read
	lines := map[string]string{}
	sc := bufio.NewScanner(f)
	for sc.Scan() {
		name, _, _ := strings.Cut(sc.Text(), " ")
		lines[name] = sc.Text()
	}
	if err := sc.Err(); err != nil || len(lines) == 0 {
		t.Fatalf("%s has %d lines: %v", file, len(lines), err)
	}
	return lines
}

// digest plays a scenario and gives its line "NAME MESSAGES DIGEST".
func digest(t *testing.T, name, file string, batching settings.TaskBatching) string {
	t.Helper()
	h := blake3.New(16, nil)
	var out io.Writer = h
	if *messagesTo != "" {
		f, err := os.Create(filepath.Join(*messagesTo, name+".messages"))
		if err != nil {
			t.Fatal(err)
		}
		buffered := bufio.NewWriter(f)
		defer func() {
			if err := errors.Join(buffered.Flush(), f.Close()); err != nil {
				t.Error(err)
			}
		}()
		out = io.MultiWriter(h, buffered)
	}
	count, named := 0, numbers{}
	played := make(chan struct{})
	go func() { // its own, which a scenario that fails ends
		defer close(played)
		runTelling(&onlyLogs{t}, file, batching, nil, func(m simulation.Message) {
			count++
			if m.Kind == simulation.GossipSent || m.Kind == simulation.GossipReceived {
				m.Body = named.replace(m.Body)
			}
			// A hash takes all; what a file doesn't take is told by Flush.
			_, _ = fmt.Fprintf(out, "%d %s %s %d %s %s %s %d %d %d %v %s\n",
				m.At, m.Node, m.Kind, m.Number, m.Party, m.Method, m.Target, m.Timeout, m.Status, m.RetryAfter, m.Err, m.Body)
		})
	}()
	<-played
	if why := courseVaries[name]; why != "" {
		t.Logf("not deterministic: %s", why)
		return fmt.Sprintf("%s %d varies", name, count)
	}
	return fmt.Sprintf("%s %d %s", name, count, hex.EncodeToString(h.Sum(nil)))
}

// drawnNumber is a number of a process or of a question in a line between controllers.
var drawnNumber = regexp.MustCompile(`"(inc|nonce)":[0-9]{10,}`)

// numbers are those that processes draw for themselves. They are drawn from a chance
// without seed, since they are only held against one another (controller.New), so each play has
// others: a digest has their order of appearance instead. Nothing else is replaced.
type numbers map[string]int

// replace gives back a line with each drawn number as the how-manieth it is.
func (n numbers) replace(line []byte) []byte {
	return drawnNumber.ReplaceAllFunc(line, func(found []byte) []byte {
		key, number, _ := bytes.Cut(found, []byte(":"))
		if _, seen := n[string(number)]; !seen {
			n[string(number)] = len(n) + 1
		}
		return fmt.Appendf(nil, "%s:#%d", key, n[string(number)])
	})
}

// onlyLogs has a scenario that fails end as ever, and logs what failed: a digest is that
// of its course, whether that is the expected one or not.
type onlyLogs struct{ testing.TB }

func (o *onlyLogs) Errorf(format string, args ...any) {
	o.Helper()
	o.Logf("own check: "+format, args...)
}

func (o *onlyLogs) Fatal(args ...any) {
	o.Helper()
	o.Log(append([]any{"own check:"}, args...)...)
	runtime.Goexit()
}

func (o *onlyLogs) Fatalf(format string, args ...any) {
	o.Errorf(format, args...)
	runtime.Goexit()
}
