package api

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
)

// validJob returns the body of a valid submission, after applying change to its fields.
func validJob(change func(map[string]any)) string {
	m := map[string]any{
		"uid":          "wk-1",
		"jobclass":     "c",
		"owner":        "team",
		"shape":        "sweep",
		"rank":         "standard",
		"pieces":       1,
		"cores":        1,
		"accelerators": 1,
		"memory_gb":    1,
		"bundle":       "b",
		"pull_gb":      1,
		"same_place":   false,
		"scatter":      false,
		"loaner":       false,
		"expect_s":     1,
		"snapshot_s":   0,
		"stash_s":      0,
	}
	change(m)
	b, _ := json.Marshal(m)
	return string(b)
}

// invalidRequest is a request that must not change anything, and its expected response.
type invalidRequest struct {
	name         string
	target, body string
	records      map[string]string // records in the state service, by key
	status       int
	want         string
	calls        int // maximum number of calls to the state service for each request
}

// invalidSubmission returns a case that submits a job that differs from a valid one by change.
func invalidSubmission(name string, change func(map[string]any), status int, want string, calls int) invalidRequest {
	return invalidRequest{
		name:   name,
		target: "/work",
		body:   validJob(change),
		status: status,
		want:   want,
		calls:  calls,
	}
}

func invalidRequests() []invalidRequest {
	const done = `{"key":"final/wk-1","v":{"s":"done","n":1},"stamp":6}`
	const noType = "fits no allowed machine type"
	live := fmt.Sprintf(`{"key":"job/wk-1","v":{"s":"live","spec":%s},"stamp":5}`, validJob(func(map[string]any) {}))
	set := func(field string, value any) func(map[string]any) {
		return func(m map[string]any) { m[field] = value }
	}
	gangOf5 := func(m map[string]any) { m["shape"], m["pieces"] = "ensemble", 5 }
	// Jobs that could run when they were accepted, but no longer can.
	acceptedDone := invalidSubmission("accepted, done", set("owner", "x"), 200, "done", 2)
	acceptedDone.records = map[string]string{"final/wk-1": done}
	acceptedLive := invalidSubmission("accepted, live", set("owner", "x"), 200, "pending", 1)
	acceptedLive.records = map[string]string{"job/wk-1": live}
	requests := []invalidRequest{
		invalidSubmission("no such machine type", set("builds", []string{"g9"}), 422, noType, 2),
		invalidSubmission("no such zone", set("site", "z"), 422, noType, 2),
		invalidSubmission("too large for any machine", set("memory_gb", 65), 422, noType, 2),
		invalidSubmission("over its team's limit", gangOf5, 422, "team's limit", 2),
		invalidSubmission("no such team", set("owner", "x"), 422, "unknown team", 2),
		acceptedDone,
		acceptedLive,
		{
			name:    "cancellation of a finished job",
			target:  "/work/wk-1/abort",
			records: map[string]string{"final/wk-1": done},
			status:  200,
			want:    `"done"`,
			calls:   2,
		},
	}
	for _, field := range []string{
		"uid", "jobclass", "owner", "shape", "rank", "pieces", "cores", "accelerators", "memory_gb", "bundle",
		"pull_gb", "same_place", "scatter", "loaner", "expect_s", "snapshot_s", "stash_s",
	} {
		remove := func(m map[string]any) { delete(m, field) }
		want := field + ": is missing"
		requests = append(requests,
			invalidSubmission("missing "+field, remove, 400, want, 0),
			invalidSubmission("null "+field, set(field, nil), 400, want, 0))
	}
	return requests
}

// Invalid requests get the response that the protocol specifies, also when repeated, and change
// nothing in the state service. A job with a missing field causes no call to the state service, one
// that can't run causes only reads.
func TestInvalidRequestsChangeNothing(t *testing.T) {
	for _, c := range invalidRequests() {
		t.Run(c.name, func(t *testing.T) {
			server := newTestServer(t, false)
			server.store = func(method, target, _ string) (int, string) {
				if v := c.records[strings.TrimPrefix(target, "/store/")]; method == "GET" && v != "" {
					return 200, v
				}
				return 404, `{"epoch":7}`
			}
			for range 3 {
				server.calls = nil
				reply := server.request("POST", c.target, c.body)
				if reply.Status != c.status || !strings.Contains(string(reply.Body), c.want) {
					t.Errorf("unexpected response: %d %s", reply.Status, reply.Body)
				}
				writes := func(call string) bool { return !strings.HasPrefix(call, "GET ") }
				if len(server.calls) > c.calls || slices.ContainsFunc(server.calls, writes) {
					t.Errorf("calls to the state service: %v", server.calls)
				}
			}
		})
	}
	t.Run("optional fields are missing", func(t *testing.T) {
		server := newTestServer(t, false)
		server.store = func(string, string, string) (int, string) { return 200, `{"epoch":8}` }
		if reply := server.request("POST", "/work", validJob(func(map[string]any) {})); reply.Status != 201 {
			t.Errorf("the job was not accepted: %d %s", reply.Status, reply.Body)
		}
	})
}
