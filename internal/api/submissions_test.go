package api

import (
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/completion"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// The response to a repeated submission reports the job as live only if the read was fast enough,
// as for a query: another controller may have told a user in the meantime that the job has ended.
func TestRepeatedSubmissionReturnsNoOutdatedState(t *testing.T) {
	body := validJob(func(m map[string]any) { m["uid"] = "wk-000001" })
	for _, c := range []struct {
		name     string
		known    bool // the mirror has the job
		readTime time.Duration
		want     int
	}{
		{"in the mirror, fast read", true, 0, 200},
		{"in the mirror, slow read", true, 2 * tuning.MaxReadAge, 503},
		{"not in the mirror, fast read", false, 0, 200},
		{"not in the mirror, slow read", false, 2 * tuning.MaxReadAge, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
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
					server.state.Now = server.state.Now.Add(c.readTime)
					return 200, `{"key":"job/wk-000001","v":` + record + `,"stamp":8}`
				}
				return 404, `{"epoch":8}`
			}
			if reply := server.request("POST", "/work", body); reply.Status != 201 {
				t.Fatalf("the job was not accepted: %d %s", reply.Status, reply.Body)
			}
			if !c.known {
				delete(server.state.Jobs, "wk-000001")
			}
			if reply := server.request("POST", "/work", body); reply.Status != c.want {
				t.Errorf("got %d %s, want %d", reply.Status, reply.Body, c.want)
			}
		})
	}
}

// A job could never end if its record exceeded the value size limit once the fields of its final
// state are added. Such a job is refused on submission; the largest job that can end is accepted.
func TestAcceptedRecordFitsWithFinalState(t *testing.T) {
	body := func(imageBytes int) string {
		return validJob(func(m map[string]any) { m["pieces"], m["bundle"] = 100000, strings.Repeat("b", imageBytes) })
	}
	accepted := 0
	for imageBytes := 8192; imageBytes > 0; imageBytes-- {
		server := newTestServer(t, false)
		record := ""
		server.store = func(method, _, sent string) (int, string) {
			if method == "POST" {
				record = sent
				return 200, `{"epoch":8}`
			}
			return 404, `{"epoch":7}`
		}
		reply := server.request("POST", "/work", body(imageBytes))
		if reply.Status == 400 && record == "" {
			continue
		}
		if accepted++; reply.Status != 201 {
			t.Fatal(reply.Status, string(reply.Body))
		}
		job := server.state.Jobs["wk-1"]
		job.DoneCount = job.Record.Spec.TaskCount - 1
		for _, state := range []jobs.JobState{jobs.Done, jobs.Cancelled} {
			for _, write := range completion.FinalWrites(job, state, 1<<62) {
				if len(write.Value) > 8192 {
					t.Fatalf("%d bytes in key %s for state %s", len(write.Value), write.Put, state)
				}
			}
		}
		break
	}
	if accepted != 1 {
		t.Error("no job was accepted")
	}
}
