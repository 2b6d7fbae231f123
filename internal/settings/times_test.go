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

// deployments holds, by name, the report_s, lease_s, cancel_s and cloud.rps of some deployments.
var deployments = map[string][4]float64{
	"heartbeats every 3 s, four calls a second":  {3, 42, 62, 4},
	"heartbeats every 3 s, three calls a second": {3, 38, 63, 3},
	"heartbeats every 8 s, four calls a second":  {8, 42, 62, 4},
	"heartbeats every 8 s, three calls a second": {8, 38, 63, 3},
	"short leases": {2, 16, 41, 3},
}

func clusterOf(values [4]float64) Cluster {
	return Cluster{
		Workers: Workers{HeartbeatS: values[0], LeaseS: values[1], CancelS: values[2]},
		Cloud:   Cloud{RPS: values[3]},
	}
}

// violatedRelations lists the relations that must hold between a deployment's times and do not.
func violatedRelations(cluster Cluster) (violated []string) {
	workers := cluster.Workers
	lease, cancel := seconds(workers.LeaseS), seconds(workers.CancelS)
	failedCall := tuning.AgentRedirectPause + tuning.AgentTimeout + tuning.AgentFailoverPause
	decommissioned := workers.UnresponsiveAfter() + tuning.GiveUpUnresponsiveAfter
	reconciled := seconds(workers.HeartbeatS*tuning.ReconcileHeartbeatIntervals) + tuning.ReconcileSlack
	for _, relation := range []struct {
		name  string
		holds bool
	}{
		{
			"a machine is queried directly only once its heartbeat is late",
			workers.HeartbeatLateAfter() > workers.NextHeartbeat(),
		},
		{
			"a machine whose heartbeat is not late gets new tasks",
			workers.HeartbeatLateAfter() <= seconds(workers.HeartbeatS*tuning.FreshHeartbeatIntervals),
		},
		{
			"no machine is unresponsive before it has been queried directly",
			workers.UnresponsiveAfter() >= workers.HeartbeatLateAfter()+tuning.CommandTimeout,
		},
		{"an unresponsive machine is decommissioned within its lease", decommissioned <= lease},
		{"an agent's lease outlasts calling two controllers in vain", workers.failoverContactAfter()+failedCall <= lease},
		{
			"a machine is considered empty only once its lease has expired",
			workers.LeaseOverAfter() > lease+workers.NextHeartbeat()-seconds(workers.HeartbeatS),
		},
		{
			"a machine that calls other controllers is heard again within PeerHeardWithin",
			workers.PeerHeardWithin() >= failedCall,
		},
		{"PeerHeardWithin is shorter than the lease", workers.PeerHeardWithin() < lease},
		{"a controller that starts reconciles within the lease", reconciled <= lease},
		{"a cancelled task on an unreachable machine ends in time", cancel-lease >= tuning.CancelLeaseMargin},
		{
			"a machine is not deleted for a cancelled task before it would be decommissioned anyway",
			cluster.CancelDelete() >= decommissioned,
		},
		{
			"a delete request that must be repeated is answered in time",
			cluster.CancelDelete()+cluster.maxDeleteTime() <= cancel,
		},
	} {
		if !relation.holds {
			violated = append(violated, relation.name)
		}
	}
	return violated
}

// Relations between constants, which hold for all deployments.
func TestConstantsAreConsistent(t *testing.T) {
	call := tuning.AgentRedirectPause + tuning.AgentTimeout + tuning.AgentFailoverPause
	for name, holds := range map[string]bool{
		"a delete request is not repeated before it has timed out": tuning.CloudTimeout < tuning.DeleteAgain,
		"an owner that has just ended does not count as unreachable": tuning.UnreachableOwnerAfter >
			tuning.MemberTTL+tuning.ViewChangeTime,
		"an agent's calls belong together even if one controller in between does not answer": tuning.ComplaintGap >
			call+tuning.AgentFailoverPause,
		"a call is settled before the next": tuning.UnresponsiveRetryAfter > tuning.AgentRedirectPause &&
			tuning.UnresponsiveRetryAfter < call,
	} {
		if !holds {
			t.Error("violated: " + name)
		}
	}
}

func TestTimesOfDeploymentsAreConsistent(t *testing.T) {
	for name, times := range deployments {
		cluster, faults := clusterOf(times), &faultList{}
		if cluster.checkTimes(faults); len(faults.errs) > 0 {
			t.Errorf("%s: refused: %v", name, errors.Join(faults.errs...))
		}
		for _, relation := range violatedRelations(cluster) {
			t.Errorf("%s: violated: %s", name, relation)
		}
	}
}

// Earlier deployments keep the times that they had.
func TestTimesOfEarlierDeploymentsAreUnchanged(t *testing.T) {
	cluster := clusterOf(deployments["heartbeats every 3 s, four calls a second"])
	slow := clusterOf(deployments["heartbeats every 8 s, three calls a second"])
	for name, c := range map[string]struct{ got, want time.Duration }{
		"late":               {cluster.Workers.HeartbeatLateAfter().Round(time.Millisecond), 4200 * time.Millisecond},
		"unresponsive":       {cluster.Workers.UnresponsiveAfter(), 6 * time.Second},
		"peer heard within":  {cluster.Workers.PeerHeardWithin(), 12 * time.Second},
		"deleted":            {cluster.CancelDelete().Round(time.Millisecond), 34100 * time.Millisecond},
		"late, slow":         {slow.Workers.HeartbeatLateAfter(), 11200 * time.Millisecond},
		"unresponsive, slow": {slow.Workers.UnresponsiveAfter(), 16 * time.Second},
	} {
		if c.got != c.want {
			t.Errorf("%s: got %s, want %s", name, c.got, c.want)
		}
	}
}

// Any times are refused, cause a warning, or satisfy all relations.
func TestAnyTimesAreRefusedOrWarnedOfOrConsistent(t *testing.T) {
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
		for _, relation := range violatedRelations(cluster) {
			t.Errorf("%+v: violated: %s", cluster.Workers, relation)
		}
	})
	if accepted < 10 {
		t.Errorf("only %d draws were accepted, want at least 10", accepted)
	}
}

func TestUnsafeTimesAreRefused(t *testing.T) {
	for name, c := range map[string]struct{ from, to, field string }{
		"cancel_s hardly longer than the lease": {"cancel_s = 60.0", "cancel_s = 34.0", "cluster.workers.cancel_s"},
		"heartbeat interval close to the lease": {"report_s = 3.0", "report_s = 24.0", "cluster.workers.lease_s"},
	} {
		_, errs := Parse(validTOMLWith(c.from, c.to))
		if len(errs) != 1 || !strings.HasPrefix(errs[0].Error(), c.field+": must be ") {
			t.Errorf("%s: %v", name, errs)
		}
	}
	// The times of the users' check with real processes are accepted.
	short, faults := clusterOf([4]float64{1, 8, 20, 10}), &faultList{}
	if short.checkTimes(faults); len(faults.errs) > 0 {
		t.Errorf("short times refused: %v", faults.errs)
	}
}

// Times that may cost work but violate no rule cause a warning, and the program starts.
func TestTightTimesCauseWarnings(t *testing.T) {
	for name, c := range map[string]struct {
		replacements []string
		field        string
	}{
		"a short lease":                        {[]string{"lease_s = 30.0", "lease_s = 12.0"}, "lease_s"},
		"a long heartbeat interval":            {[]string{"report_s = 3.0", "report_s = 16.0"}, "lease_s"},
		"a cloud too slow for deletes in time": {[]string{"rps = 3.0", "rps = 0.1"}, "cancel_s"},
		"cancel_s too short for any delete": {
			[]string{"lease_s = 30.0", "lease_s = 18.0", "cancel_s = 60.0", "cancel_s = 23.0"},
			"cancel_s",
		},
	} {
		s, errs := Parse(validTOMLWith(c.replacements...))
		if len(errs) > 0 {
			t.Fatalf("%s: %v", name, errs)
		}
		warnings := s.Cluster.TimingWarnings()
		if len(warnings) != 1 || !strings.HasPrefix(warnings[0], "cluster.workers."+c.field+": below ") {
			t.Errorf("%s: %v", name, warnings)
		}
		workers := s.Cluster.Workers
		if d := s.Cluster.CancelDelete(); d < workers.UnresponsiveAfter() && d < seconds(workers.CancelS*0.5) {
			t.Errorf("%s: machine deleted after %v, before it could be heard", name, d)
		}
	}
}

func TestMemberTTLTooLongForAgentLeases(t *testing.T) {
	s, errs := Parse([]byte(validTOML))
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
