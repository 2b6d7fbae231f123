package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const good = `
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

func TestGood(t *testing.T) {
	s, errs := Parse([]byte(good))
	if len(errs) != 0 || s.TeamMap()["t"].Max.Accelerators != 4_000_000 {
		t.Fatal(errs)
	}
}

func TestEveryFaultIsNamed(t *testing.T) {
	bad := strings.NewReplacer(`"127.0.0.1:8080"`, `"localhost:80"`, `report_s = 3.0`, `report_s = 0.0`, `node_name = "n1"`, `node_name = "n0"`,
		`fd_limit = 1000`, `fd_limit = 3`, `state = "127.0.0.1:2"`, `state = "nowhere"`).
		Replace(good)
	_, errs := Parse([]byte(bad))
	text := errors.Join(errs...).Error()
	for _, field := range []string{"front", "cluster.workers.report_s", "peers[0].node_name", "cluster.limits.fd_limit", "outside.state"} {
		if !strings.Contains(text, field+":") {
			t.Errorf("%s is not named in %q", field, text)
		}
	}
	// What becomes part of a key, and what one transaction must hold.
	keys := strings.NewReplacer(`node_name = "n0"`, `node_name = "n 0"`, `node_name = "n1"`, `node_name = "`+strings.Repeat("n", 151)+`"`, `size = 2`, `size = 17`).
		Replace(good)
	_, errs = Parse([]byte(keys))
	text = errors.Join(errs...).Error()
	if len(errs) != 3 || !strings.Contains(text, "cluster.size: must not be above") ||
		!strings.Contains(text, "peers[0].node_name: is no name") {
		t.Error(text)
	}
	if _, errs := Parse([]byte("= nonsense")); len(errs) == 0 {
		t.Error("nonsense was taken")
	}
}

func TestEveryFaultOfFormIsNamed(t *testing.T) {
	bad := strings.NewReplacer(`size = 2`, `size = "two"`, `gpus_max = 4.0`, `gpus_max = [4]`, `rps = 3.0`, `rps = = 3.0`,
		`node_name = "n1"`, `node_name = 7`, `txn_ops = 16`, `txn_ops = 1`).Replace(good)
	_, errs := Parse([]byte(bad))
	text := errors.Join(errs...).Error()
	for _, want := range []string{"cluster.size: line 15,", "cluster.teams.gpus_max: line 19,", "rps: line 32,", "peers.node_name: line 8,", "cluster.state.txn_ops: must"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is not in:\n%s", want, text)
		}
	}
	if len(errs) != 5 {
		t.Errorf("%d faults, not 5:\n%s", len(errs), text)
	}
}

func operator(t *testing.T, text string) (Operator, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "operator.hcl")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	op, errs := loadOperator(file)
	return op, errors.Join(errs...)
}

func TestOperator(t *testing.T) {
	op, err := operator(t, "scaler {\n  tolerance = 0.2\n  plan_steps = 6\n}\ndrain {\n  steps = 5\n}\n")
	if err != nil || op.Tolerance != 0.2 || op.PlanSteps != 6 || op.DrainSteps != 5 ||
		op.Samples != DefaultOperator().Samples {
		t.Errorf("%+v %v", op, err)
	}
	_, err = operator(t, "scaler {\n  tolerance = 2\n  samples = 0\n}\ndrain {\n  steps = 1\n}\n")
	for _, field := range []string{"scaler.tolerance", "scaler.samples", "drain.revive_steps"} {
		if err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s is not named in %v", field, err)
		}
	}
	if _, err = operator(t, "scaler {"); err == nil {
		t.Error("a broken file was taken")
	}
	if _, err = operator(
		t,
		"scaler {\n  speed = 1\n  steps = 2\n}\n",
	); err == nil ||
		strings.Count(err.Error(), "operator.hcl:") != 2 {
		t.Errorf("not every unknown field is named: %v", err)
	}
	if op, err = operator(
		t,
		"records {\n  packs = \"always\"\n}\n",
	); err != nil || op.Packs != PacksAlways ||
		DefaultOperator().Packs != PacksScarce {
		t.Error(op.Packs, err)
	}
	if _, err = operator(
		t,
		"records {\n  packs = \"often\"\n}\n",
	); err == nil ||
		!strings.Contains(err.Error(), "records.packs") {
		t.Error(err)
	}
	op, err = operator(t, "pipelines {\n  most_runs = 5\n}\n")
	if err != nil || op.Pipelines == nil || op.Pipelines.MaxRuns != 5 ||
		op.Pipelines.MaxSteps != DefaultPipelines().MaxSteps {
		t.Errorf("%+v %v", op.Pipelines, err)
	}
	op, err = operator(t, "lending {\n  by_rank = false\n}\n")
	if err != nil || op.Lending == nil || op.Lending.ByPriority || op.Lending.AgainS != DefaultLending().AgainS ||
		DefaultOperator().Lending != nil {
		t.Errorf("%+v %v", op.Lending, err)
	}
	if _, err = operator(
		t,
		"lending {\n  again_s = 5\n}\n",
	); err == nil ||
		!strings.Contains(err.Error(), "lending.again_s") {
		t.Errorf("%v", err)
	}
	one, two := filepath.Join(t.TempDir(), "one.hcl"), filepath.Join(t.TempDir(), "two.hcl")
	if os.WriteFile(one, []byte("pipelines {}\n"), 0o600) != nil ||
		os.WriteFile(
			two,
			[]byte("quotas {\n  organisation \"o\" {\n    weight = 2\n    team \"t\" {}\n  }\n}\n"),
			0o600,
		) != nil {
		t.Fatal("no files")
	}
	if op, errs := loadOperator(
		one + "," + two,
	); len(errs) > 0 || op.Pipelines == nil || op.Quotas == nil ||
		op.Quotas.Organisations[0].Teams[0].Name != "t" {
		t.Errorf("%v %+v", errs, op)
	}
	if _, err = operator(
		t,
		"pipelines {\n  changes_share = 2\n}\n",
	); err == nil ||
		!strings.Contains(err.Error(), "pipelines.changes_share") {
		t.Errorf("%v", err)
	}
}

// TestCalendarIsChecked: against the platform's teams, all its faults together with others.
func TestCalendarIsChecked(t *testing.T) {
	dir := t.TempDir()
	config, op := filepath.Join(dir, "config.toml"), filepath.Join(dir, "calendar.hcl")
	text := "calendar {\n revision = 1\n zone = \"Africa/Nairobi\"\n track \"k\" {\n window \"w\" {\n team = \"t\"\n classes = [\"c\"]\n start = \"2026-01-01T01:00\"\n rule = \"FREQ=DAILY\"\n length = \"1h\"\n need {\n accelerators = 5\n }\n }\n }\n}\n"
	if os.WriteFile(config, []byte(good), 0o600) != nil || os.WriteFile(op, []byte(text), 0o600) != nil {
		t.Fatal("no files")
	}
	_, err := Load(config, op)
	if err == nil || err.Error() != "calendar: k.w.need.accelerators: 5 is above t's limit of 4" {
		t.Error(err)
	}
	if os.WriteFile(op, []byte(strings.Replace(text, "= 5", "= 4", 1)), 0o600) != nil {
		t.Fatal("no file")
	}
	if s, err := Load(config, op); err != nil || s.Operator.Calendar == nil {
		t.Error(err)
	}
}
