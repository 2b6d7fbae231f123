package settings

import (
	"errors"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"github.com/harrierreel/harrierreel/internal/calendar"
	"github.com/harrierreel/harrierreel/internal/goldentest"
	"github.com/harrierreel/harrierreel/internal/quota"
)

const (
	goldenDir = "testdata/golden/"
	deployDir = "../../deploy/"
)

func ptr[T any](v T) *T { return &v }

// goldenOperator returns the settings of testdata/golden/full.hcl, which sets all of them.
func goldenOperator() Operator {
	return Operator{
		StepS:          12.5,
		PlanSteps:      7,
		Samples:        150,
		Tolerance:      0.07,
		TrendSteps:     9,
		NewLeaderSteps: 3,
		DrainSteps:     6,
		ReviveSteps:    2,
		MemberTTLS:     7,
		FinalCache:     12345,
		Failover:       FailoverOnLeaseExpiry,
		FollowCloud:    true,
		TaskBatching:   BatchingAlways,
		Lending:        &Lending{ByPriority: true, LendIntervalS: 450},
		Pipelines:      &Pipelines{MaxRuns: 300, MaxRunSteps: 4000, WriteShare: 0.25},
		Quotas:         goldenQuotas(),
		Calendar:       goldenCalendar(),
	}
}

func goldenQuotas() *quota.Document {
	exportOrder := quota.OfClass{
		Name:      "export-order",
		Weight:    ptr(4.0),
		Borrow:    ptr(true),
		Lend:      ptr(true),
		Guarantee: &quota.Bounds{Cores: 3, Accelerators: 1, MemoryGB: 12},
		Limit:     &quota.Bounds{Cores: 9, Accelerators: 2, MemoryGB: 36},
	}
	priceSweep := quota.OfClass{
		Name:      "price-sweep",
		Weight:    ptr(5.0),
		Borrow:    ptr(true),
		Lend:      ptr(true),
		Guarantee: &quota.Bounds{Cores: 2},
		Limit:     &quota.Bounds{Cores: 6},
	}
	return &quota.Document{
		GraceS: ptr(45.0),
		Organisations: []quota.Org{{
			Name:          "kenya",
			Weight:        ptr(2.0),
			Borrow:        ptr(true),
			Lend:          ptr(true),
			Guarantee:     &quota.Bounds{Cores: 20, Accelerators: 5, MemoryGB: 100},
			Limit:         &quota.Bounds{Cores: 60, Accelerators: 7, MemoryGB: 300},
			Organisations: []quota.Org{{Name: "nairobi", Weight: ptr(1.5)}},
			Teams: []quota.OfTeam{{
				Name:    "storefront",
				Weight:  ptr(3.0),
				Borrow:  ptr(true),
				Lend:    ptr(true),
				Classes: []quota.OfClass{exportOrder},
			}},
		}},
		Teams: []quota.OfTeam{{
			Name:    "pricing",
			Weight:  ptr(1.25),
			Borrow:  ptr(true),
			Lend:    ptr(true),
			Classes: []quota.OfClass{priceSweep},
		}},
	}
}

func goldenCalendar() *calendar.Document {
	exportOrders := calendar.WindowDoc{
		Name:    "export-orders",
		Team:    "storefront",
		Classes: []string{"export-order"},
		Zone:    "Europe/Rome",
		Start:   "2026-01-05T22:00",
		Rule:    "FREQ=DAILY",
		Length:  "3h",
		Slip:    "20m",
		AtEnd:   "stop",
		Missed:  "run",
		Late:    "4h",
		Need:    &quota.Bounds{Cores: 10, Accelerators: 2, MemoryGB: 50},
	}
	weekendPricing := calendar.WindowDoc{
		Name:    "weekend-pricing",
		Team:    "pricing",
		Classes: []string{"price-sweep"},
		Start:   "2026-01-10T10:00",
		Rule:    "FREQ=WEEKLY;BYDAY=SA,SU",
		Until:   "15:00",
		AtEnd:   "finish",
		Missed:  "skip",
	}
	return &calendar.Document{
		Revision: 3,
		Zone:     "Africa/Nairobi",
		Tracks: []calendar.TrackDoc{{
			Name:    "markets",
			Windows: []calendar.WindowDoc{exportOrders, weekendPricing},
		}},
	}
}

// The keys of the settings files are stable: files that set every key still give these settings.
func TestGoldenSettings(t *testing.T) {
	want := &Settings{
		NodeName:   "n0",
		Zone:       "a",
		Front:      "127.0.0.1:8080",
		PeerListen: "127.0.0.1:8081",
		Peers: []Peer{
			{NodeName: "n1", Zone: "b", Address: "127.0.0.1:8082"},
			{NodeName: "n2", Zone: "c", Address: "127.0.0.1:8083"},
		},
		Outside: Outside{Cloud: "127.0.0.1:1", State: "127.0.0.1:2"},
		Cluster: Cluster{
			Size: 3, Zones: []string{"a", "b", "c"}, ClockOffMs: 150.5,
			Teams: []Team{
				{Name: "storefront", Cpus: 16.5, CpusMax: 64, Gpus: 4, GpusMax: 8},
				{Name: "pricing", Cpus: 8, CpusMax: 32, Gpus: 2, GpusMax: 6},
			},
			Objectives: []Objective{
				{Kind: "wait", Class: "export-order", WithinS: 30, Share: 0.95},
				{Kind: "done", Class: "price-sweep", WithinS: 600, Share: 0.9},
			},
			Workers: Workers{HeartbeatS: 3, LeaseS: 31, GangWaitS: 29, GangPeerS: 5, CancelS: 60},
			State:   State{RPS: 100, WriteRPS: 50, ValueKB: 8, TxnOps: 16},
			Cloud:   Cloud{RPS: 3, ListLagS: 4},
			Limits:  Limits{Cores: 2, MemoryMB: 200, FdLimit: 1000},
		},
		Operator: goldenOperator(),
	}
	goldentest.RequireNonZeroFields(t, want.Cluster)
	goldentest.RequireNonZeroFields(t, want.Peers)
	goldentest.RequireNonZeroFields(t, want.Outside)
	// A window has either a length or an until, so no golden window sets both.
	filled := goldenOperator()
	windows := filled.Calendar.Tracks[0].Windows
	windows[0].Until = windows[1].Until
	organisation, class := filled.Quotas.Organisations[0], &filled.Quotas.Teams[0].Classes[0]
	class.Guarantee, class.Limit = organisation.Guarantee, organisation.Limit
	goldentest.RequireNonZeroFields(t, filled)
	got, err := Load(goldenDir+"full.toml", goldenDir+"full.hcl")
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got\n%+v\nwant\n%+v\nerror: %v", got, want, err)
	}
}

// The defaults without an operators' file, and the settings of the files in deploy/.
func TestGoldenDeployFiles(t *testing.T) {
	defaults := Operator{
		StepS:          10,
		PlanSteps:      12,
		Samples:        100,
		Tolerance:      0.05,
		TrendSteps:     6,
		NewLeaderSteps: 10,
		DrainSteps:     3,
		ReviveSteps:    2,
		MemberTTLS:     4,
		FinalCache:     20000,
		Failover:       FailoverOnProbes,
		TaskBatching:   BatchingWhenScarce,
	}
	with := func(change func(*Operator)) Operator {
		op := defaults
		change(&op)
		return op
	}
	for file, want := range map[string]Operator{
		"": defaults,
		deployDir + "calendar.hcl": with(func(op *Operator) {
			op.Calendar = &calendar.Document{Revision: 1, Zone: "Africa/Nairobi"}
		}),
		deployDir + "lending.hcl": with(func(op *Operator) {
			op.Lending = &Lending{ByPriority: true, LendIntervalS: 300}
		}),
		deployDir + "pipelines.hcl": with(func(op *Operator) {
			op.Pipelines = &Pipelines{MaxRuns: 2000, MaxRunSteps: 20000, WriteShare: 0.3}
		}),
		deployDir + "quotas.hcl":  with(func(op *Operator) { op.Quotas = &quota.Document{GraceS: ptr(60.0)} }),
		deployDir + "records.hcl": with(func(op *Operator) { op.TaskBatching = BatchingAlways }),
		deployDir + "standby.hcl": with(func(op *Operator) { op.FollowCloud = true }),
	} {
		got, errs := loadOperator(file)
		if len(errs) > 0 || !reflect.DeepEqual(got, want) {
			t.Errorf("file %q: got\n%+v\nwant\n%+v\nerrors: %v", file, got, want, errs)
		}
	}
	text, err := os.ReadFile(deployDir + "service.toml")
	if err != nil {
		t.Fatal(err)
	}
	var service map[string]any
	want := map[string]any{
		"build": "go build -ldflags=-linkmode=external -o target/harrierreel ./cmd/harrierreel",
		"run":   "target/harrierreel serve --config",
	}
	if err := toml.Unmarshal(text, &service); err != nil || !reflect.DeepEqual(service, want) {
		t.Errorf("service.toml: got %v, want %v, error: %v", service, want, err)
	}
}

// The error messages are stable. Each golden file lists the faults of two input files.
func TestGoldenFaults(t *testing.T) {
	for name, files := range map[string][2]string{
		"values.txt":          {"values.toml", "values.hcl"},
		"form.txt":            {"form.toml", "form.hcl"},
		"broken.txt":          {"full.toml", "broken.hcl"},
		"operator-values.txt": {"full.toml", "values.hcl"},
	} {
		_, err := Load(goldenDir+files[0], goldenDir+files[1])
		if err == nil {
			err = errors.New("no faults")
		}
		lines := strings.Split(err.Error(), "\n")
		if name == "form.txt" {
			slices.Sort(lines) // the HCL parser returns syntax and type faults in any order
		}
		goldentest.Bytes(t, name, []byte(strings.Join(lines, "\n")+"\n"))
	}
}
