package simulation

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
)

// invalidCounts counts the answers to each kind of invalid request.
type invalidCounts struct{ Repeats, Cancels, Unfit, Lacking int }

// Least returns the lowest of the counts.
func (c invalidCounts) Least() int { return min(c.Repeats, c.Cancels, c.Unfit, c.Lacking) }

// Required fields of a submission, by type; none of them may be missing or null.
var (
	textFields   = []string{"uid", "jobclass", "owner", "shape", "rank", "bundle"}
	amountFields = []string{"pieces", "cores", "accelerators", "memory_gb", "pull_gb", "expect_s", "snapshot_s", "stash_s"}
	boolFields   = []string{"same_place", "scatter", "loaner"}
)

// expectedStatus returns the status that the protocol prescribes for a submission, and the reason
// for a rejection: 400 if it is malformed, 422 if it can never run, 201 if it must be accepted. It
// implements the specification independently of the program's parser.
func (sim *Simulator) expectedStatus(body []byte) (int, string) {
	var submission map[string]any
	if json.Unmarshal(body, &submission) != nil || submission == nil {
		return 400, "not an object"
	}
	amounts, why := requiredFields(submission)
	if why != "" {
		return 400, why
	}
	if amounts["pieces"] < 1 || amounts["pieces"] > jobs.MaxTasks || amounts["pieces"] != math.Trunc(amounts["pieces"]) {
		return 400, "has no number of tasks"
	}
	limit, known := sim.TeamLimits[submission["owner"].(string)]
	if len(sim.TeamLimits) > 0 && !known {
		return 422, "unknown team"
	}
	if !fitsSomeType(submission, amounts) {
		return 422, "fits no machine type"
	}
	tasks := amounts["pieces"]
	if submission["shape"] == jobs.JobArray {
		tasks = 1
	}
	if sim.account == nil && limit > 0 && tasks*amounts["accelerators"] > limit {
		return 422, "needs more than its team's limit"
	}
	return 201, ""
}

// requiredFields returns a submission's numeric fields, and why a required field is invalid, "" if
// all are valid.
func requiredFields(submission map[string]any) (amounts map[string]float64, why string) {
	for _, f := range textFields {
		if s, ok := submission[f].(string); !ok || s == "" {
			return nil, "lacks " + f
		}
	}
	amounts = map[string]float64{}
	for _, f := range amountFields {
		v, ok := submission[f].(float64)
		if !ok || v < 0 {
			return nil, "lacks " + f
		}
		amounts[f] = v
	}
	for _, f := range boolFields {
		if _, ok := submission[f].(bool); !ok {
			return nil, "lacks " + f
		}
	}
	return amounts, ""
}

// fitsSomeType reports whether a machine type that the submission allows is large enough for one
// of its tasks.
func fitsSomeType(submission map[string]any, amounts map[string]float64) bool {
	zone, _ := submission["site"].(string)
	builds, _ := submission["builds"].([]any)
	for _, b := range machineTypes {
		capacity := capacityOf(b["name"].(string))
		allowed := (builds == nil || slices.Contains(builds, b["name"])) &&
			(zone == "" || slices.Contains(b["sites"].([]string), zone))
		if allowed && amounts["cores"] <= capacity.Cores && amounts["accelerators"] <= capacity.Accelerators &&
			amounts["memory_gb"] <= capacity.MemoryGB {
			return true
		}
	}
	return false
}

// checkAdmission checks the answer to a submission that was not accepted before: one that can never
// run or lacks a field must not be accepted, and a valid one must not be rejected for good.
func (sim *Simulator) checkAdmission(jobID string, body []byte, status int) {
	want, why := sim.expectedStatus(body)
	switch {
	case (status == 200 || status == 201) && want != 201:
		sim.ReportViolation("accepted: %s, which %s", jobID, why)
	case (status == 400 || status == 422) && want == 201 && sim.account == nil:
		sim.ReportViolation("turned away: %s gets %d", jobID, status)
	}
}

// firstInvalidJob is the lowest number of jobs that are submitted to be rejected.
const firstInvalidJob = 900_000_000

// InvalidRequests sends unusual and invalid requests to all controllers for the given duration:
// repeated submissions of unfinished jobs, cancellations of jobs that are done, and submissions
// that can never run or lack a field.
func (sim *Simulator) InvalidRequests(duration time.Duration) {
	until := sim.Now.Add(duration)
	n := 0
	var sendNext func()
	sendNext = func() {
		if !sim.Now.Before(until) {
			return
		}
		n++
		switch n % 4 {
		case 0:
			sim.repeatSubmission()
		case 1:
			sim.cancelFinished()
		case 2:
			sim.submitInvalid(infeasibleSubmission(n / 4))
		case 3:
			sim.submitInvalid(incompleteSubmission(n / 4))
		}
		sim.After(sim.randomDuration(50*time.Millisecond, 400*time.Millisecond), sendNext)
	}
	sendNext()
}

// pickJob returns a random job for which its user waits and which is wanted, nil if there is none.
func (sim *Simulator) pickJob(wanted func(*Job) bool) *Job {
	js := slices.DeleteFunc(sim.sortedJobs(), func(j *Job) bool { return !j.awaitedByUser() || !wanted(j) })
	if len(js) == 0 {
		return nil
	}
	return js[sim.RNG.IntN(len(js))]
}

// repeatSubmission repeats the submission of an unfinished job at all controllers.
func (sim *Simulator) repeatSubmission() {
	if j := sim.pickJob(func(j *Job) bool { return j.Status != "done" }); j != nil {
		for _, name := range sim.NodeNames {
			sim.InvalidAnswers.Repeats++
			sim.resubmitAt(name, j)
		}
	}
}

// cancelFinished cancels a job that is done at all controllers; it must remain done.
func (sim *Simulator) cancelFinished() {
	j := sim.pickJob(func(j *Job) bool { return j.Status == "done" })
	if j == nil {
		return
	}
	for _, name := range sim.NodeNames {
		sim.requestAt(name, "POST", "/work/"+j.ID+"/abort", nil, func(status int, b []byte, err error) {
			switch {
			case err == nil && status == 200:
				sim.InvalidAnswers.Cancels++
				sim.checkStatus(j, b)
			case err == nil && status == 404:
				sim.ReportViolation("forgotten: cancelling %s, which is done, gets 404", j.ID)
			}
		})
	}
}

// invalidSubmission is a submission that must be rejected.
type invalidSubmission struct {
	jobID      string
	body       []byte
	incomplete bool // it lacks a field, else it can never run
}

// validSubmission returns the body of a valid submission after change has modified it.
func validSubmission(jobID string, change func(map[string]any)) []byte {
	m := map[string]any{
		"uid":          jobID,
		"jobclass":     "c",
		"owner":        "team",
		"shape":        jobs.JobArray,
		"rank":         "standard",
		"pieces":       1,
		"cores":        1.0,
		"accelerators": 1.0,
		"memory_gb":    1.0,
		"bundle":       "img-1",
		"pull_gb":      1.0,
		"builds":       nil,
		"site":         nil,
		"same_place":   false,
		"scatter":      false,
		"loaner":       false,
		"expect_s":     5.0,
		"snapshot_s":   0.0,
		"stash_s":      0.0,
		"due_s":        nil,
	}
	change(m)
	return encode(m)
}

// infeasibleSubmission returns the k-th submission that can never run.
func infeasibleSubmission(k int) invalidSubmission {
	jobID := fmt.Sprintf("wk-%d", firstInvalidJob+2*k)
	return invalidSubmission{jobID: jobID, body: validSubmission(jobID, func(m map[string]any) {
		switch k % 8 {
		case 0:
			m["accelerators"] = 9.0
		case 1:
			m["cores"] = 65.0
		case 2:
			m["memory_gb"] = 513.0
		case 3:
			m["builds"] = []string{"g9"}
		case 4:
			m["builds"], m["accelerators"] = []string{"g4"}, 5.0
		case 5:
			m["site"] = "z"
		case 6:
			m["owner"] = "nobody"
		case 7:
			m["shape"], m["pieces"], m["accelerators"] = jobs.Gang, 100_000, 8.0
		}
	})}
}

// incompleteSubmission returns the k-th submission with a missing or null required field.
func incompleteSubmission(k int) invalidSubmission {
	fields := slices.Concat(textFields, amountFields, boolFields)
	jobID := fmt.Sprintf("wk-%d", firstInvalidJob+2*k+1)
	return invalidSubmission{jobID: jobID, incomplete: true, body: validSubmission(jobID, func(m map[string]any) {
		if f := fields[k%len(fields)]; k/len(fields)%2 == 0 {
			delete(m, f)
		} else {
			m[f] = nil
		}
	})}
}

// submitInvalid sends a submission to all controllers twice. None may accept it or know it later,
// and the state service may not contain a record of it.
func (sim *Simulator) submitInvalid(submission invalidSubmission) {
	for round := range 2 {
		sim.After(time.Duration(round)*time.Second, func() {
			for _, name := range sim.NodeNames {
				sim.requestAt(name, "POST", "/work", submission.body, func(status int, _ []byte, err error) {
					if err != nil || status == 503 || status == 429 {
						return
					}
					if submission.incomplete {
						sim.InvalidAnswers.Lacking++
					} else {
						sim.InvalidAnswers.Unfit++
					}
					sim.checkAdmission(submission.jobID, submission.body, status)
					for _, prefix := range []string{jobs.JobPrefix, jobs.FinalPrefix} {
						if sim.Store.Value(prefix+submission.jobID) != nil {
							sim.ReportViolation("accepted: there is %s%s in the state service", prefix, submission.jobID)
						}
					}
				})
			}
		})
	}
	sim.After(2*time.Second, func() {
		for _, name := range sim.NodeNames {
			sim.requestAt(name, "GET", "/work/"+submission.jobID, nil, func(status int, _ []byte, err error) {
				if err == nil && status == 200 {
					sim.ReportViolation("invented: %s", submission.jobID)
				}
			})
		}
	})
}
