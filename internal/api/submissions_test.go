package api

import (
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/completion"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// A submission that is repeated is told that its job is live only by a read that came back
// at once, as a question is: another controller may have told the end of it meanwhile.
func TestRepeatedSubmissionIsNoOlder(t *testing.T) {
	const body = `{"uid":"wk-000001","jobclass":"c","owner":"team","shape":"sweep","rank":"standard","pieces":1,"cores":1,"accelerators":1,"memory_gb":1,"bundle":"b","pull_gb":1,"same_place":false,"scatter":false,"loaner":false,"expect_s":1,"snapshot_s":0,"stash_s":0}`
	for _, known := range []bool{true, false} { // to the mirror
		for took, want := range map[time.Duration]int{0: 200, 2 * tuning.ReadFresh: 503} {
			server := newTestServer(t, false)
			record := ""
			server.store = func(method, target, sent string) (int, string) {
				switch {
				case method == "POST" && record == "":
					_, record, _ = strings.Cut(sent, `"v":`)
					record, _, _ = strings.Cut(record, `}]}`)
					return 200, `{"epoch":8}`
				case method == "POST":
					return 409, `{"failed":["job/wk-000001"],"epoch":8}`
				case target == "/store/job/wk-000001":
					server.state.Now = server.state.Now.Add(took)
					return 200, `{"key":"job/wk-000001","v":` + record + `,"stamp":8}`
				}
				return 404, `{"epoch":8}`
			}
			if r := server.request("POST", "/work", body); r.Status != 201 {
				t.Fatalf("%d %s", r.Status, r.Body)
			}
			if !known {
				delete(server.state.Jobs, "wk-000001")
			}
			if r := server.request("POST", "/work", body); r.Status != want {
				t.Errorf("known %v, read in %v: %d %s", known, took, r.Status, r.Body)
			}
		}
	}
}

// A job whose record would pass a value's limit once its end is added could never end:
// it is refused as it comes, the largest that can end is not.
func TestAcceptedRecordFitsWithItsEnd(t *testing.T) {
	body := func(image int) string {
		return `{"uid":"wk-1","jobclass":"c","owner":"team","shape":"sweep","rank":"standard","pieces":100000,"cores":1,"accelerators":1,"memory_gb":1,"bundle":"` + strings.Repeat(
			"b",
			image,
		) + `","pull_gb":1,"same_place":false,"scatter":false,"loaner":false,"expect_s":1,"snapshot_s":0,"stash_s":0}`
	}
	accepted := 0
	for image := 8192; image > 0; image-- {
		server := newTestServer(t, false)
		record := ""
		server.store = func(method, _, sent string) (int, string) {
			if method == "POST" {
				record = sent
				return 200, `{"epoch":8}`
			}
			return 404, `{"epoch":7}`
		}
		r := server.request("POST", "/work", body(image))
		if r.Status == 400 && record == "" {
			continue
		}
		if accepted++; r.Status != 201 {
			t.Fatal(r.Status, string(r.Body))
		}
		j := server.state.Jobs["wk-1"]
		j.DoneCount = j.Record.Spec.TaskCount - 1
		for _, state := range []jobs.JobState{jobs.Done, jobs.Cancelled} {
			for _, w := range completion.FinalWrites(j, state, 1<<62) {
				if len(w.Value) > 8192 {
					t.Fatalf("%d bytes in %s as %s", len(w.Value), w.Put, state)
				}
			}
		}
		break
	}
	if accepted != 1 {
		t.Error("no job was accepted")
	}
}
