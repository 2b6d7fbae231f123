package api

import (
	"strings"
	"testing"
)

// pipeline is a submission of a run with one step.
const pipeline = `{"id":"run-1","pipeline":{"name":"p","owner":"team","steps":[` +
	`{"name":"a","cores":1,"memory_gb":1,"bundle":"b"}]}}`

// A run is accepted in one transaction with the jobs of its first steps. The status of a repeated
// submission is 200, and that of another pipeline with the same ID is 409.
func TestRunIsAcceptedOnce(t *testing.T) {
	server := newTestServer(t, true)
	body := ""
	server.store = func(method, _, sent string) (int, string) {
		if method == "POST" {
			body = sent
			return 200, `{"epoch":8}`
		}
		return 404, `{"epoch":7}`
	}
	reply := server.request("POST", "/pipelines", pipeline)
	if reply.Status != 201 || !strings.Contains(string(reply.Body), `"status":"submitted"`) {
		t.Fatalf("the run was not accepted: %d %s", reply.Status, reply.Body)
	}
	if strings.Count(body, `"write":`) != 2 || !strings.Contains(body, `"key":"ran/run-1"`) ||
		!strings.Contains(body, `"key":"view"`) {
		t.Error(body)
	}
	server.mirror.Epoch = 8
	if reply := server.request("POST", "/pipelines", pipeline); reply.Status != 200 {
		t.Errorf("repeated submission: %d %s", reply.Status, reply.Body)
	}
	other := strings.Replace(pipeline, `"cores":1`, `"cores":2`, 1)
	if reply := server.request("POST", "/pipelines", other); reply.Status != 409 {
		t.Errorf("another pipeline with the same ID: %d %s", reply.Status, reply.Body)
	}
}
