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
	return Cluster{Workers: Workers{ReportS: v[0], LeaseS: v[1], CancelS: v[2]}, Cloud: Cloud{RPS: v[3]}}
}

// relations are what must hold of a deployment's times; it lists those that don't.
func relations(k Cluster) (broken []string) {
	w := k.Workers
	lease, cancel := seconds(w.LeaseS), seconds(w.CancelS)
	hold := func(ok bool, what string) {
		if !ok {
			broken = append(broken, what)
		}
	}
	round := tuning.WorkerRedirect + tuning.WorkerPatience + tuning.WorkerNext
	hold(w.Late() > w.NextReport(), "a machine is asked directly only once its report is late")
	hold(w.Late() <= seconds(w.ReportS*tuning.FreshReports), "what is not late counts as heard")
	hold(w.UnresponsiveAfter() >= w.Late()+tuning.CommandTimeout, "no machine is quiet before it was asked directly")
	hold(w.UnresponsiveAfter()+tuning.UnresponsiveRecheck <= lease, "a quiet machine is given up within its lease")
	hold(w.visit()+round <= lease, "a worker outlives that it asks two controllers in vain")
	hold(w.GoneBy() > lease+w.NextReport()-seconds(w.ReportS), "a machine holds nothing only after its lease")
	hold(
		w.HeardFresh() >= round && w.HeardFresh() < lease,
		"what is heard elsewhere is heard again in between, and within its lease",
	)
	hold(
		seconds(w.ReportS*tuning.ReconcileReports)+tuning.ReconcileSlack <= lease,
		"a controller that starts reconciles within a lease",
	)
	hold(cancel-lease >= tuning.CancelSpare, "what nobody reaches ends in time")
	hold(
		k.CancelDelete() >= w.UnresponsiveAfter()+tuning.UnresponsiveRecheck,
		"a machine with a cancelled task is not deleted before it would be given up",
	)
	hold(k.CancelDelete()+k.deletes() <= cancel, "a delete that must be repeated is answered in time")
	return broken
}

// What is settled for all deployments.
func TestConstantsFit(t *testing.T) {
	round := tuning.WorkerRedirect + tuning.WorkerPatience + tuning.WorkerNext
	for what, ok := range map[string]bool{
		"a delete is not repeated before it was given up":             tuning.CloudTimeout < tuning.DeleteAgain,
		"a controller that has just ended is no silent one":           tuning.UnreachableOwnerAfter > tuning.MemberTTL+tuning.ViewTakes,
		"visits belong together, with a controller's silence between": tuning.ComplaintGap > round+tuning.WorkerNext,
		"a visit is settled before the next":                          tuning.UnresponsiveRetryAfter > tuning.WorkerRedirect && tuning.UnresponsiveRetryAfter < round,
	} {
		if !ok {
			t.Error("not so: " + what)
		}
	}
}

func TestTimesFit(t *testing.T) {
	for name, v := range deployments {
		k, c := clusterOf(v), &check{}
		if k.checkTimes(c); len(c.errs) > 0 {
			t.Errorf("%s: refused: %v", name, errors.Join(c.errs...))
		}
		for _, r := range relations(k) {
			t.Errorf("%s: not so: %s", name, r)
		}
	}
	// What earlier deployments had is what they have.
	k := clusterOf(deployments["reports every 3 s, four calls"])
	if w := k.Workers; w.Late().Round(time.Millisecond) != 4200*time.Millisecond ||
		w.UnresponsiveAfter() != 6*time.Second ||
		w.HeardFresh() != 12*time.Second ||
		k.CancelDelete().Round(time.Millisecond) != 34100*time.Millisecond {
		t.Errorf("late %s, quiet %s, heard %s, deleted %s", w.Late(), w.UnresponsiveAfter(), w.HeardFresh(), k.CancelDelete())
	}
	if w := clusterOf(
		deployments["reports every 8 s, three calls"],
	).Workers; w.Late() != 11200*time.Millisecond ||
		w.UnresponsiveAfter() != 16*time.Second {
		t.Errorf("late %s, quiet %s", w.Late(), w.UnresponsiveAfter())
	}
}

// Whatever the times, they are refused, or told to be tight, or everything fits.
func TestAnyTimesFitOrAreRefusedOrTold(t *testing.T) {
	taken := 0
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string, low, high float64) float64 { return rapid.Float64Range(low, high).Draw(t, name) }
		k := clusterOf(
			[4]float64{draw("report", 0.5, 15), draw("lease", 5, 80), draw("cancel", 10, 120), draw("rps", 0.5, 10)},
		)
		c := &check{}
		if k.checkTimes(c); len(c.errs) > 0 || len(k.Tight()) > 0 {
			return
		}
		taken++
		for _, r := range relations(k) {
			t.Errorf("%+v: not so: %s", k.Workers, r)
		}
	})
	if taken < 10 {
		t.Errorf("only %d were taken", taken)
	}
}

func TestTimesRefused(t *testing.T) {
	for name, c := range map[string]struct{ from, to, field string }{
		"a cancellation as long as the lease":    {"cancel_s = 60.0", "cancel_s = 34.0", "cluster.workers.cancel_s"},
		"reports that do not fit into the lease": {"report_s = 3.0", "report_s = 24.0", "cluster.workers.lease_s"},
	} {
		text := strings.Replace(good, c.from, c.to, 1)
		if _, errs := Parse([]byte(text)); len(errs) != 1 || !strings.HasPrefix(errs[0].Error(), c.field+": must be ") {
			t.Errorf("%s: %v", name, errs)
		}
	}
	// What costs work but breaks no rule is told, and the program starts.
	for name, c := range map[string]struct{ from, to, field string }{
		"a lease of few reports":                  {"lease_s = 30.0", "lease_s = 12.0", "cluster.workers.lease_s"},
		"few reports in the lease":                {"report_s = 3.0", "report_s = 16.0", "cluster.workers.lease_s"},
		"a cloud too slow to delete within it":    {"rps = 3.0", "rps = 0.1", "cluster.workers.cancel_s"},
		"a cancellation too short for any delete": {"lease_s = 30.0\ngang_wait_s = 30.0\ngang_peer_s = 5.0\ncancel_s = 60.0", "lease_s = 18.0\ngang_wait_s = 30.0\ngang_peer_s = 5.0\ncancel_s = 23.0", "cluster.workers.cancel_s"},
	} {
		s, errs := Parse([]byte(strings.Replace(good, c.from, c.to, 1)))
		if len(errs) > 0 {
			t.Fatalf("%s: %v", name, errs)
		}
		if told := s.Cluster.Tight(); len(told) != 1 || !strings.HasPrefix(told[0], c.field+": below ") {
			t.Errorf("%s: %v", name, told)
		}
		if d := s.Cluster.CancelDelete(); d < s.Cluster.Workers.UnresponsiveAfter() &&
			d < seconds(s.Cluster.Workers.CancelS*0.5) {
			t.Errorf("%s: deleted after %v, before it could be heard", name, d)
		}
	}
	// Those that the users' own check of real processes comes with.
	short := clusterOf([4]float64{1, 8, 20, 10})
	c := &check{}
	if short.checkTimes(c); len(c.errs) > 0 {
		t.Errorf("short times refused: %v", c.errs)
	}
	s, errs := Parse([]byte(good))
	if len(errs) > 0 {
		t.Fatal(errs)
	}
	s.Operator.MemberTTLS = 4
	if err := s.checkTTL(); err != nil {
		t.Error(err)
	}
	s.Operator.MemberTTLS = 40
	if err := s.checkTTL(); err == nil || !strings.HasPrefix(err.Error(), "members.ttl_s: ") {
		t.Error(err)
	}
}
