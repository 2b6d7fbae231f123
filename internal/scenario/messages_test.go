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
	messagesTo     = flag.String("messages", "", "directory in which TestScenarioDigests lists the messages")
)

// messagesSum records one line "NAME MESSAGES DIGEST" per scenario.
const messagesSum = "testdata/messages.sum"

// nondeterministic lists the scenarios of which two runs of the same program differ, with the
// cause. Their lines have "varies" instead of the digest, so that only the number of messages is
// compared.
var nondeterministic = map[string]string{}

// TestScenarioDigests is a command for refactorings, which must not change what controllers do: it
// runs every scenario as TestScenarios does and computes a digest of all messages that controllers
// send and receive, in order and with their times (simulation.Message; logs aren't messages). With
// -digests FILE it writes the digests; with -against FILE it fails for each scenario whose digest
// differs. -messages DIR lists the messages, to find the first difference. A scenario that fails
// its own checks is digested up to the failure; TestScenarios reports the failure itself.
func TestScenarioDigests(t *testing.T) {
	if *digestsTo == "" && *digestsAgainst == "" {
		t.Skip("a command: needs -digests FILE or -against FILE")
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
	addScenario := func(name, file string, batching settings.TaskBatching) {
		known[name] = true
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			line := digest(t, name, file, batching)
			mu.Lock()
			lines[name] = line
			mu.Unlock()
			if recorded != nil && recorded[name] != line {
				t.Errorf("messages differ:\n%s\nrecorded:\n%s", line, recorded[name])
			}
		})
	}
	// The cleanup runs after all parallel subtests have ended.
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
		addScenario(name, f, settings.BatchingWhenScarce)
		if !exceedsWriteRate(t, f) {
			addScenario(name+"-packed", f, settings.BatchingAlways)
		}
	}
	for name := range recorded {
		if !known[name] {
			t.Errorf("recorded scenario %s does not exist", name)
		}
	}
}

// TestMessagesAsRecorded compares the digests of the scenarios in decisions.sum with messages.sum.
func TestMessagesAsRecorded(t *testing.T) {
	recorded := readDigests(t, messagesSum)
	for name := range readDigests(t, "testdata/decisions.sum") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			line := digest(t, name, filepath.Join("testdata", name+".txt"), settings.BatchingWhenScarce)
			if recorded[name] != line {
				t.Errorf("messages differ:\n%s\nrecorded:\n%s", line, recorded[name])
			}
		})
	}
}

// readDigests reads the lines of a file, by their first word.
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

// digest runs a scenario and returns its line "NAME MESSAGES DIGEST".
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
	count, order := 0, idOrder{}
	played := make(chan struct{})
	go func() { // a failing scenario calls runtime.Goexit, which must end this goroutine only
		defer close(played)
		observe := func(m simulation.Message) {
			count++
			if m.Kind == simulation.GossipSent || m.Kind == simulation.GossipReceived {
				m.Body = order.replace(m.Body)
			}
			// A hash never fails; Flush reports the errors of the file.
			_, _ = fmt.Fprintf(out, "%d %s %s %d %s %s %s %d %d %d %v %s\n",
				m.At, m.Node, m.Kind, m.Number, m.Party, m.Method, m.Target, m.Timeout, m.Status, m.RetryAfter, m.Err, m.Body)
		}
		play(&logOnlyTB{t}, file, playOptions{batching: batching, messages: observe})
	}()
	<-played
	if why := nondeterministic[name]; why != "" {
		t.Logf("nondeterministic: %s", why)
		return fmt.Sprintf("%s %d varies", name, count)
	}
	return fmt.Sprintf("%s %d %s", name, count, hex.EncodeToString(h.Sum(nil)))
}

// randomID matches the incarnation of a process, the nonce of a question or the number of a line, which
// is counted from a random number, in a gossip message.
var randomID = regexp.MustCompile(`"(inc|nonce|line)":[0-9]{10,}`)

// idOrder maps the random numbers that processes draw for themselves to their order of appearance.
// They come from an unseeded source, as they are only compared with one another (controller.New),
// so they differ between runs; a digest has their order of appearance instead. Nothing else is
// replaced.
type idOrder map[string]int

// replace returns a message with each random number replaced by its order of appearance.
func (n idOrder) replace(line []byte) []byte {
	return randomID.ReplaceAllFunc(line, func(found []byte) []byte {
		key, number, _ := bytes.Cut(found, []byte(":"))
		if _, seen := n[string(number)]; !seen {
			n[string(number)] = len(n) + 1
		}
		return fmt.Appendf(nil, "%s:#%d", key, n[string(number)])
	})
}

// logOnlyTB logs the failures of a scenario instead of failing the test, but still ends the
// scenario where it fails: a digest covers the messages, whether the scenario passes or not.
type logOnlyTB struct{ testing.TB }

func (o *logOnlyTB) Errorf(format string, args ...any) {
	o.Helper()
	o.Logf("scenario check: "+format, args...)
}

func (o *logOnlyTB) Fatal(args ...any) {
	o.Helper()
	o.Log(append([]any{"scenario check:"}, args...)...)
	runtime.Goexit()
}

func (o *logOnlyTB) Fatalf(format string, args ...any) {
	o.Errorf(format, args...)
	runtime.Goexit()
}
