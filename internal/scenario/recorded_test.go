package scenario

import (
	"bufio"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/harrierreel/harrierreel/internal/settings"

	"lukechampine.com/blake3"
)

var update = flag.Bool("update", false, "rewrite testdata/decisions.sum")

// TestDecisionsAsRecorded compares all that the controllers commit in some scenarios with a
// recording. Refactorings and disabled features must not change it. A change that is meant to
// decide differently rewrites the recording with -update.
func TestDecisionsAsRecorded(t *testing.T) {
	const file = "testdata/decisions.sum"
	names := []string{
		"quota",
		"quota-fence",
		"quota-leader-change",
		"quota-slow",
		"preempt",
		"preempt-idle",
		"gang-big",
		"gang-kept",
		"places",
		"same-place-moves",
		"taken",
		"die",
		"leader-crash",
		"all-crash",
		"large",
		"run-chain",
		"run-broken",
	}
	var out strings.Builder
	for _, name := range names {
		sum, commits := decisions(t, name)
		fmt.Fprintf(&out, "%s %d %s\n", name, commits, sum)
	}
	if *update {
		if err := os.WriteFile(file, []byte(out.String()), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	f, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }() // only read
	want := bufio.NewScanner(f)
	for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		if !want.Scan() || want.Text() != line {
			t.Errorf("got:      %s\nrecorded: %s", line, want.Text())
		}
	}
}

// decisions runs a scenario and returns a digest of its commits in order, and their number.
func decisions(t *testing.T, name string) (sum string, commits int) {
	t.Helper()
	h := blake3.New(16, nil)
	play(t, filepath.Join("testdata", name+".txt"), playOptions{
		batching: settings.BatchingWhenScarce,
		committed: func(key string, v json.RawMessage) {
			commits++
			_, _ = fmt.Fprintf(h, "%s %s\n", key, v) // a hash never fails
		},
	})
	return hex.EncodeToString(h.Sum(nil)), commits
}
