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

var update = flag.Bool("update", false, "write testdata/decisions.sum anew")

// TestDecisionsAsRecorded plays scenarios and compares, decision by decision, what
// the controllers committed with what was recorded: a change that must decide
// nothing otherwise, as moving code or what is turned off, leaves every line as it
// is. A change that is meant to decide otherwise writes them anew with -update.
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
			t.Errorf("decided: %s\nrecorded: %s", line, want.Text())
		}
	}
}

// decisions plays a scenario and sums up its commits in their order.
func decisions(t *testing.T, name string) (sum string, commits int) {
	t.Helper()
	h := blake3.New(16, nil)
	run(t, filepath.Join("testdata", name+".txt"), settings.BatchingWhenScarce, func(key string, v json.RawMessage) {
		commits++
		_, _ = fmt.Fprintf(h, "%s %s\n", key, v) // a hash takes all
	})
	return hex.EncodeToString(h.Sum(nil)), commits
}
