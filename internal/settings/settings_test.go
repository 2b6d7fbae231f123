package settings

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

const validTOML = `
node_name = "n0"
zone = "a"
front = "127.0.0.1:8080"
peer_listen = "127.0.0.1:8081"
surprise = 1
[[peers]]
node_name = "n1"
zone = "b"
address = "127.0.0.1:8082"
[outside]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[cluster]
size = 2
zones = ["a", "b"]
[[cluster.teams]]
name = "t"
gpus_max = 4.0
[cluster.workers]
report_s = 3.0
lease_s = 30.0
gang_wait_s = 30.0
gang_peer_s = 5.0
cancel_s = 60.0
[cluster.state]
rps = 100.0
write_rps = 50.0
value_kb = 8.0
txn_ops = 16
[cluster.cloud]
rps = 3.0
list_lag_s = 4.0
[cluster.limits]
memory_mb = 200.0
fd_limit = 1000
`

func TestParseAcceptsValidSettings(t *testing.T) {
	s, errs := Parse([]byte(validTOML))
	if len(errs) != 0 || s.TeamMap()["t"].Limit.Accelerators != 4_000_000 {
		t.Fatal(errs)
	}
}

// validTOMLWith returns validTOML with some texts replaced, given as pairs of old and new text.
func validTOMLWith(replacements ...string) []byte {
	return []byte(strings.NewReplacer(replacements...).Replace(validTOML))
}

func TestAllValueFaultsAreReported(t *testing.T) {
	_, errs := Parse(validTOMLWith(
		`"127.0.0.1:8080"`, `"localhost:80"`,
		`report_s = 3.0`, `report_s = 0.0`,
		`node_name = "n1"`, `node_name = "n0"`,
		`fd_limit = 1000`, `fd_limit = 3`,
		`state = "127.0.0.1:2"`, `state = "nowhere"`,
	))
	text := errors.Join(errs...).Error()
	for _, field := range []string{
		"front",
		"cluster.workers.report_s",
		"peers[0].node_name",
		"cluster.limits.fd_limit",
		"outside.state",
	} {
		if !strings.Contains(text, field+":") {
			t.Errorf("no fault of field %s in %q", field, text)
		}
	}
	// Node names become part of keys, and one transaction must hold an operation for each member.
	_, errs = Parse(validTOMLWith(
		`node_name = "n0"`, `node_name = "n 0"`,
		`node_name = "n1"`, `node_name = "`+strings.Repeat("n", 151)+`"`,
		`size = 2`, `size = 17`,
	))
	text = errors.Join(errs...).Error()
	if len(errs) != 3 || !strings.Contains(text, "cluster.size: must not be above") ||
		!strings.Contains(text, "peers[0].node_name: is no name") {
		t.Error(text)
	}
	if _, errs := Parse([]byte("= nonsense")); len(errs) == 0 {
		t.Error("a file that is not TOML was accepted")
	}
}

func TestAllSyntaxAndTypeFaultsAreReported(t *testing.T) {
	_, errs := Parse(validTOMLWith(
		`size = 2`, `size = "two"`,
		`gpus_max = 4.0`, `gpus_max = [4]`,
		`rps = 3.0`, `rps = = 3.0`,
		`node_name = "n1"`, `node_name = 7`,
		`txn_ops = 16`, `txn_ops = 1`,
	))
	text := errors.Join(errs...).Error()
	for _, want := range []string{
		"cluster.size: line 15,",
		"cluster.teams.gpus_max: line 19,",
		"rps: line 32,",
		"peers.node_name: line 8,",
		"cluster.state.txn_ops: must",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("no fault %q in:\n%s", want, text)
		}
	}
	if len(errs) != 5 {
		t.Errorf("got %d faults, want 5:\n%s", len(errs), text)
	}
}

// writeFile writes a file to a new directory and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func parseOperator(t *testing.T, text string) (Operator, error) {
	t.Helper()
	operator, errs := loadOperator(writeFile(t, "operator.hcl", text))
	return operator, errors.Join(errs...)
}

func TestOperatorOverridesDefaults(t *testing.T) {
	defaults := DefaultOperator()
	if defaults.TaskBatching != BatchingWhenScarce || defaults.Lending != nil {
		t.Errorf("defaults: %+v", defaults)
	}
	for name, c := range map[string]struct {
		text string
		want func(*Operator)
	}{
		"scaler and drain": {
			"scaler {\n  tolerance = 0.2\n  plan_steps = 6\n}\ndrain {\n  steps = 5\n}\n",
			func(o *Operator) { o.Tolerance, o.PlanSteps, o.DrainSteps = 0.2, 6, 5 },
		},
		"records": {
			"records {\n  packs = \"always\"\n}\n",
			func(o *Operator) { o.TaskBatching = BatchingAlways },
		},
		"pipelines": {
			"pipelines {\n  most_runs = 5\n}\n",
			func(o *Operator) {
				o.Pipelines = DefaultPipelines()
				o.Pipelines.MaxRuns = 5
			},
		},
		"lending": {
			"lending {\n  by_rank = false\n}\n",
			func(o *Operator) {
				o.Lending = DefaultLending()
				o.Lending.ByPriority = false
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			want := DefaultOperator()
			c.want(&want)
			if got, err := parseOperator(t, c.text); err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("got %+v, want %+v, error: %v", got, want, err)
			}
		})
	}
}

func TestOperatorFaultsAreReported(t *testing.T) {
	for name, c := range map[string]struct {
		text   string
		fields []string
	}{
		"several values": {
			"scaler {\n  tolerance = 2\n  samples = 0\n}\ndrain {\n  steps = 1\n}\n",
			[]string{"scaler.tolerance", "scaler.samples", "drain.revive_steps"},
		},
		"a syntax error":      {"scaler {", []string{"operator.hcl:"}},
		"an unknown batching": {"records {\n  packs = \"often\"\n}\n", []string{"records.packs"}},
		"lending too often":   {"lending {\n  again_s = 5\n}\n", []string{"lending.again_s"}},
		"a share above 1":     {"pipelines {\n  changes_share = 2\n}\n", []string{"pipelines.changes_share"}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := parseOperator(t, c.text)
			for _, field := range c.fields {
				if err == nil || !strings.Contains(err.Error(), field) {
					t.Errorf("no fault of field %s in: %v", field, err)
				}
			}
		})
	}
	_, err := parseOperator(t, "scaler {\n  speed = 1\n  steps = 2\n}\n")
	if err == nil || strings.Count(err.Error(), "operator.hcl:") != 2 {
		t.Errorf("not every unknown field is reported: %v", err)
	}
}

func TestOperatorFilesAreMerged(t *testing.T) {
	pipelines := writeFile(t, "one.hcl", "pipelines {}\n")
	quotas := writeFile(t, "two.hcl", "quotas {\n  organisation \"o\" {\n    weight = 2\n    team \"t\" {}\n  }\n}\n")
	operator, errs := loadOperator(pipelines + "," + quotas)
	if len(errs) > 0 || operator.Pipelines == nil || operator.Quotas == nil ||
		operator.Quotas.Organisations[0].Teams[0].Name != "t" {
		t.Errorf("got %+v, errors: %v", operator, errs)
	}
}

const calendarHCL = `calendar {
  revision = 1
  zone = "Africa/Nairobi"
  track "k" {
    window "w" {
      team = "t"
      classes = ["c"]
      start = "2026-01-01T01:00"
      rule = "FREQ=DAILY"
      length = "1h"
      need {
        accelerators = 5
      }
    }
  }
}
`

// The calendar is checked against the limits of the platform's teams.
func TestCalendarIsCheckedAgainstTeams(t *testing.T) {
	config := writeFile(t, "config.toml", validTOML)
	_, err := Load(config, writeFile(t, "calendar.hcl", calendarHCL))
	if err == nil || err.Error() != "calendar: k.w.need.accelerators: 5 is above t's limit of 4" {
		t.Error(err)
	}
	fits := strings.Replace(calendarHCL, "= 5", "= 4", 1)
	if s, err := Load(config, writeFile(t, "calendar.hcl", fits)); err != nil || s.Operator.Calendar == nil {
		t.Error(err)
	}
}
