package settings

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/harrierreel/harrierreel/internal/testseed"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

func TestMain(m *testing.M) { os.Exit(testseed.Main(m)) }

// deployments' report_s, lease_s, cancel_s, cloud.rps.
var deployments = map[string][4]float64{
	"reports every 3 s, four calls":  {3, 42, 62, 4},
	"reports every 3 s, three calls": {3, 38, 63, 3},
	"reports every 8 s, four calls":  {8, 42, 62, 4},
	"reports every 8 s, three calls": {8, 38, 63, 3},
	"short leases":                   {2, 16, 41, 3},
}

func clusterOf(v [4]float64) Cluster {
	return Cluster{Workers: Workers{HeartbeatS: v[0], LeaseS: v[1], CancelS: v[2]}, Cloud: Cloud{RPS: v[3]}}
}

// brokenRelations lists what must hold of a deployment's times, and does not.
func brokenRelations(k Cluster) (broken []string) {
	w := k.Workers
	lease, cancel := seconds(w.LeaseS), seconds(w.CancelS)
	round := tuning.WorkerRedirect + tuning.WorkerPatience + tuning.WorkerNext
	decommissioned := w.UnresponsiveAfter() + tuning.UnresponsiveRecheck
	reconciled := seconds(w.HeartbeatS*tuning.ReconcileReports) + tuning.ReconcileSlack
	for _, relation := range []struct {
		name  string
		holds bool
	}{
		{"a machine is queried directly only once its heartbeat is late", w.HeartbeatLateAfter() > w.NextHeartbeat()},
		{"what is not late counts as heard", w.HeartbeatLateAfter() <= seconds(w.HeartbeatS*tuning.FreshReports)},
		{
			"no machine is unresponsive before it was queried directly",
			w.UnresponsiveAfter() >= w.HeartbeatLateAfter()+tuning.CommandTimeout,
		},
		{"an unresponsive machine is decommissioned within its lease", decommissioned <= lease},
		{"a worker survives calling two controllers in vain", w.failoverContact()+round <= lease},
		{"a machine holds nothing only after its lease", w.LeaseOverAfter() > lease+w.NextHeartbeat()-seconds(w.HeartbeatS)},
		{"what is heard elsewhere is heard again in between", w.PeerHeardWithin() >= round},
		{"what is heard elsewhere is heard within the lease", w.PeerHeardWithin() < lease},
		{"a controller that starts reconciles within a lease", reconciled <= lease},
		{"what nobody reaches ends in time", cancel-lease >= tuning.CancelSpare},
		{
			"a machine with a cancelled task is not deleted before it would be decommissioned",
			k.CancelDelete() >= decommissioned,
		},
		{"a delete that must be repeated is answered in time", k.CancelDelete()+k.urgentDelete() <= cancel},
	} {
		if !relation.holds {
			broken = append(broken, relation.name)
		}
	}
	return broken
}

// What holds for all deployments.
func TestConstantsFit(t *testing.T) {
	visit := tuning.WorkerRedirect + tuning.WorkerPatience + tuning.WorkerNext
	for name, holds := range map[string]bool{
		"a delete is not repeated before it was given up": tuning.CloudTimeout < tuning.DeleteAgain,
		"a controller that has just ended is not an unreachable owner": tuning.UnreachableOwnerAfter >
			tuning.MemberTTL+tuning.ViewTakes,
		"visits belong together, with a controller's silence between": tuning.ComplaintGap >
			visit+tuning.WorkerNext,
		"a visit is settled before the next": tuning.UnresponsiveRetryAfter > tuning.WorkerRedirect &&
			tuning.UnresponsiveRetryAfter < visit,
	} {
		if !holds {
			t.Error("not so: " + name)
		}
	}
}

func TestTimesFit(t *testing.T) {
	for name, times := range deployments {
		cluster, faults := clusterOf(times), &faultList{}
		if cluster.checkTimes(faults); len(faults.errs) > 0 {
			t.Errorf("%s: refused: %v", name, errors.Join(faults.errs...))
		}
		for _, relation := range brokenRelations(cluster) {
			t.Errorf("%s: not so: %s", name, relation)
		}
	}
}

// What earlier deployments had is what they have.
func TestTimesOfEarlierDeployments(t *testing.T) {
	cluster := clusterOf(deployments["reports every 3 s, four calls"])
	slow := clusterOf(deployments["reports every 8 s, three calls"])
	for name, c := range map[string]struct{ got, want time.Duration }{
		"late":               {cluster.Workers.HeartbeatLateAfter().Round(time.Millisecond), 4200 * time.Millisecond},
		"unresponsive":       {cluster.Workers.UnresponsiveAfter(), 6 * time.Second},
		"heard elsewhere":    {cluster.Workers.PeerHeardWithin(), 12 * time.Second},
		"deleted":            {cluster.CancelDelete().Round(time.Millisecond), 34100 * time.Millisecond},
		"late, slow":         {slow.Workers.HeartbeatLateAfter(), 11200 * time.Millisecond},
		"unresponsive, slow": {slow.Workers.UnresponsiveAfter(), 16 * time.Second},
	} {
		if c.got != c.want {
			t.Errorf("%s: %s, not %s", name, c.got, c.want)
		}
	}
}

// Whatever the times, they are refused, or give a warning, or everything fits.
func TestAnyTimesFitOrAreRefusedOrWarnedOf(t *testing.T) {
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string, low, high float64) float64 { return rapid.Float64Range(low, high).Draw(t, name) }
		cluster := clusterOf([4]float64{
			draw("report", 0.5, 15),
			draw("lease", 5, 80),
			draw("cancel", 10, 120),
			draw("rps", 0.5, 10),
		})
		faults := &faultList{}
		if cluster.checkTimes(faults); len(faults.errs) > 0 || len(cluster.TimingWarnings()) > 0 {
			return
		}
		accepted++
		for _, relation := range brokenRelations(cluster) {
			t.Errorf("%+v: not so: %s", cluster.Workers, relation)
		}
	})
	if accepted < 10 {
		t.Errorf("only %d were accepted", accepted)
	}
}

func TestTimesRefused(t *testing.T) {
	for name, c := range map[string]struct{ from, to, field string }{
		"a cancellation as long as the lease":    {"cancel_s = 60.0", "cancel_s = 34.0", "cluster.workers.cancel_s"},
		"reports that do not fit into the lease": {"report_s = 3.0", "report_s = 24.0", "cluster.workers.lease_s"},
	} {
		_, errs := Parse(goodWith(c.from, c.to))
		if len(errs) != 1 || !strings.HasPrefix(errs[0].Error(), c.field+": must be ") {
			t.Errorf("%s: %v", name, errs)
		}
	}
	// Those that the users' own check of real processes comes with are accepted.
	short, faults := clusterOf([4]float64{1, 8, 20, 10}), &faultList{}
	if short.checkTimes(faults); len(faults.errs) > 0 {
		t.Errorf("short times refused: %v", faults.errs)
	}
}

// What costs work but breaks no rule gives a warning, and the program starts.
func TestTightTimesGiveWarnings(t *testing.T) {
	for name, c := range map[string]struct {
		replacements []string
		field        string
	}{
		"a lease of few reports":               {[]string{"lease_s = 30.0", "lease_s = 12.0"}, "lease_s"},
		"few reports in the lease":             {[]string{"report_s = 3.0", "report_s = 16.0"}, "lease_s"},
		"a cloud too slow to delete within it": {[]string{"rps = 3.0", "rps = 0.1"}, "cancel_s"},
		"a cancellation too short for any delete": {
			[]string{"lease_s = 30.0", "lease_s = 18.0", "cancel_s = 60.0", "cancel_s = 23.0"},
			"cancel_s",
		},
	} {
		s, errs := Parse(goodWith(c.replacements...))
		if len(errs) > 0 {
			t.Fatalf("%s: %v", name, errs)
		}
		warnings := s.Cluster.TimingWarnings()
		if len(warnings) != 1 || !strings.HasPrefix(warnings[0], "cluster.workers."+c.field+": below ") {
			t.Errorf("%s: %v", name, warnings)
		}
		workers := s.Cluster.Workers
		if d := s.Cluster.CancelDelete(); d < workers.UnresponsiveAfter() && d < seconds(workers.CancelS*0.5) {
			t.Errorf("%s: deleted after %v, before it could be heard", name, d)
		}
	}
}

func TestMemberTTLTooLongForLeases(t *testing.T) {
	s, errs := Parse([]byte(good))
	if len(errs) > 0 {
		t.Fatal(errs)
	}
	s.Operator.MemberTTLS = 4
	if err := s.checkMemberTTL(); err != nil {
		t.Error(err)
	}
	s.Operator.MemberTTLS = 40
	if err := s.checkMemberTTL(); err == nil || !strings.HasPrefix(err.Error(), "members.ttl_s: ") {
		t.Error(err)
	}
}
