package api

import (
	"strings"
	"testing"
)

const pipeline = `{"id":"run-1","pipeline":{"name":"p","owner":"team","steps":[{"name":"a","cores":1,"memory_gb":1,"bundle":"b"}]}}`

// A run is accepted with the jobs of its first steps in one transaction; the same
// again is 200, another under its id 409.
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
	if r := server.request(
		"POST",
		"/pipelines",
		pipeline,
	); r.Status != 201 ||
		!strings.Contains(string(r.Body), `"status":"submitted"`) {
		t.Fatalf("%d %s", r.Status, r.Body)
	}
	if strings.Count(body, `"write":`) != 2 || !strings.Contains(body, `"key":"ran/run-1"`) ||
		!strings.Contains(body, `"key":"view"`) {
		t.Error(body)
	}
	server.mirror.Epoch = 8
	if r := server.request("POST", "/pipelines", pipeline); r.Status != 200 {
		t.Errorf("again: %d %s", r.Status, r.Body)
	}
	if r := server.request("POST", "/pipelines", strings.Replace(pipeline, `"cores":1`, `"cores":2`, 1)); r.Status != 409 {
		t.Errorf("another: %d %s", r.Status, r.Body)
	}
}
