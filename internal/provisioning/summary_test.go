package provisioning

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// testSummary returns a summary with the given number of draining machines and of launch requests.
// The requests hold up to 4,000 machines together.
func testSummary(draining, requests int) Summary {
	summary := Summary{Step: 5, History: map[string][]float64{"g4": {1, 2, 3}}, Draining: fleet.Draining{}}
	for i := range draining {
		summary.Draining[fmt.Sprintf("i-%06d", i)] = 1 + i%3
	}
	for i := range requests {
		request := launchRequest{
			LaunchRequestID: fmt.Sprint("r-", i),
			MachineType:     "g4",
			AtMs:            int64(i),
		}
		for k := range min(tuning.MaxLaunchMachines, 4000/requests) {
			request.Machines = append(request.Machines, fmt.Sprintf("i-%06d", i*tuning.MaxLaunchMachines+k))
		}
		summary.Requests = append(summary.Requests, request)
	}
	return summary
}

// applyWrites applies the writes of a summary, checks that each fits into a value, and returns the
// first part, which is the only one that a controller of the previous version reads.
func (l *leader) applyWrites(writes []store.Write) (first Summary) {
	l.t.Helper()
	for _, write := range writes {
		if len(write.Value) > l.config.ValueBytes {
			l.t.Errorf("a value of %d bytes in %s is too long", len(write.Value), write.Put)
		}
		l.ApplySummary(write.Put, write.Value)
		if write.Put == "scaler" {
			if err := json.Unmarshal(write.Value, &first); err != nil {
				l.t.Error(err)
			}
		}
	}
	return first
}

// sameSummary reports whether two summaries have the same draining machines and requests.
func sameSummary(a, b Summary) bool {
	return maps.Equal(a.Draining, b.Draining) &&
		slices.EqualFunc(a.Requests, b.Requests, func(a, b launchRequest) bool { return reflect.DeepEqual(a, b) })
}

// A summary is stored in values of limited size without loss, even with 4,000 draining and 4,000
// requested machines.
func TestSummaryIsSplitWithoutLoss(t *testing.T) {
	for _, c := range []struct {
		name                               string
		draining, requests, limit          int
		parts                              int
		firstHasDraining, firstHasRequests bool
	}{
		{"empty", 0, 0, 8 << 10, 1, false, false},
		{"one value", 300, 5, 8 << 10, 1, true, true},
		{"draining", 2000, 0, 8 << 10, 4, true, false},
		{"requests", 0, 2000, 8 << 10, 23, false, true},
		{"4000 machines", 4000, 80, 8 << 10, 13, true, false},
		{"4000 machines in larger values", 4000, 80, 16 << 10, 7, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLeader(t)
			l.config.ValueBytes = c.limit
			summary := testSummary(c.draining, c.requests)
			writes := l.summaryWrites(summary)
			if len(writes) != c.parts || writes[len(writes)-1].Put != SummaryKey {
				t.Errorf("%d values, the last is %s", len(writes), writes[len(writes)-1].Put)
			}
			first := l.applyWrites(writes)
			if !sameSummary(l.Summary, summary) || l.Summary.Step != 5 || len(l.Summary.History) != 1 {
				t.Errorf("%d machines drain, %d requests, step %d",
					len(l.Summary.Draining), len(l.Summary.Requests), l.Summary.Step)
			}
			if first.Step != 5 || len(first.History) != 1 ||
				(len(first.Draining) > 0) != c.firstHasDraining || (len(first.Requests) > 0) != c.firstHasRequests {
				t.Errorf("the first value has step %d, %d machines that drain, %d requests",
					first.Step, len(first.Draining), len(first.Requests))
			}
			// A smaller summary removes the parts that it does not need. They are ignored once its
			// first part is written.
			for i, write := range l.summaryWrites(Summary{Step: 6, Draining: fleet.Draining{"i-1": 2}}) {
				if (i == 0) != (write.Put == SummaryKey) {
					t.Errorf("write %d is of %s", i, write.Put+write.Remove)
				}
				l.ApplySummary(write.Put+write.Remove, write.Value)
			}
			if len(l.Summary.Draining) != 1 || len(l.Summary.Requests) != 0 {
				t.Errorf("%d machines drain, %d requests are left", len(l.Summary.Draining), len(l.Summary.Requests))
			}
		})
	}
}

// A leader of the previous version writes only the first part. The further parts that it leaves
// behind are ignored after one step.
func TestSummaryPartsLeftByPreviousVersionAreIgnored(t *testing.T) {
	l := newLeader(t)
	summary := Summary{Step: 5, Draining: fleet.Draining{}}
	for i := range 4000 {
		summary.Draining[fmt.Sprintf("i-%06d", i)] = 1
	}
	l.applyWrites(l.summaryWrites(summary))
	for step, drains := range map[uint64]bool{6: true, 7: false, 4: true, 3: false} {
		l.ApplySummary("scaler", jobs.Encode(Summary{Step: step}))
		if (len(l.Summary.Draining) > 0) != drains {
			t.Errorf("at step %d, %d machines drain", step, len(l.Summary.Draining))
		}
	}
	l.ApplySummary("scaler", jobs.Encode(Summary{Step: 7, Draining: fleet.Draining{"i-1": 1}}))
	writes := l.summaryWrites(Summary{Step: 8})
	if len(writes) != 7 || writes[0].Put != "scaler" || writes[6].Remove != "scaler/more:7" {
		t.Errorf("%d writes, want 7: one of the first part and six removals", len(writes))
	}
	before := l.Summary.Step
	l.ApplySummary("scaler", []byte("7"))
	l.ApplySummary("scaler/more:2", []byte("7"))
	l.ApplySummary("scaler", nil)
	if l.Summary.Step != before {
		t.Error("an unreadable part was applied")
	}
	for _, key := range []string{"scaler/more:1", "scaler/more:x", "scaler/2", "scalers", "scaler/more:"} {
		if IsSummaryKey(key) {
			t.Errorf("%s was accepted as a key of the summary", key)
		}
	}
}
