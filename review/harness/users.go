package harness

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// userTimeout and pollTimeout are how long users wait for an answer (PROTOCOL, Users).
const (
	userTimeout = 5 * time.Second
	pollTimeout = 2 * time.Second
)

// JobsPath is the protocol's path of submissions.
const JobsPath = "/work"

// JobPath returns the protocol's path of questions about a job.
func JobPath(id string) string { return JobsPath + "/" + id }

// Status is what a user is told of a job.
type Status struct {
	Code    int
	Status  string `json:"status"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// Ask sends a user's request to a controller and records the answer.
func (w *World) Ask(i int, method, target string, body []byte) Status {
	timeout := userTimeout
	if method == "GET" {
		timeout = pollTimeout
	}
	code, answer, err := w.Call(i, method, target, body, timeout, Fault{})
	s := Status{Code: code}
	_ = json.Unmarshal(answer, &s)
	sent := string(body)
	if len(sent) > 400 {
		sent = fmt.Sprintf("(%d bytes)", len(sent))
	}
	failed := ""
	if err != nil {
		failed = " " + strings.SplitN(err.Error(), ":", 2)[0] + " failed"
	}
	w.Note("user to %s: %s %s %s -> %d %s%s", w.Controllers[i].Name, method, target, sent, code, answer, failed)
	return s
}

// Retry repeats a user's request at one controller after the other until it gets 200 or 201, for at
// most a minute.
func (w *World) Retry(method, target string, body []byte) (Status, bool) {
	deadline := time.Now().Add(time.Minute)
	for i := 0; time.Now().Before(deadline); i++ {
		s := w.Ask(i%len(w.Controllers), method, target, body)
		if s.Code == 200 || s.Code == 201 {
			return s, true
		}
		time.Sleep(time.Second)
	}
	return Status{}, false
}

// Job returns the body of a submission; fields replace the usual ones.
func Job(id string, fields map[string]any) []byte {
	job := map[string]any{
		"uid": id, "jobclass": "health-score", "owner": "flotta", "shape": "sweep", "rank": "standard",
		"pieces": 4, "cores": 2.0, "accelerators": 1.0, "memory_gb": 8.0, "bundle": "img-01", "pull_gb": 1.0,
		"same_place": false, "scatter": false, "loaner": false,
		"expect_s": 10.0, "snapshot_s": 0.0, "stash_s": 0.0,
	}
	for name, value := range fields {
		job[name] = value
	}
	body, err := json.Marshal(job)
	if err != nil {
		panic(err) // only values that can be encoded are passed
	}
	return body
}

// Cluster returns the TOML text of a small deployment: volta-cluster's times and limits, with the
// stand-in's zones. next is put after the limits of the state service.
func Cluster(size int, next string) string {
	return fmt.Sprintf(`[cluster]
size = %d
zones = ["a", "b"]
clock_off_ms = 100.0

[[cluster.teams]]
name = "stazioni"
cpus = 0.0
cpus_max = 0.0
gpus = 16.0
gpus_max = 40.0

[[cluster.teams]]
name = "flotta"
cpus = 0.0
cpus_max = 0.0
gpus = 16.0
gpus_max = 48.0

[[cluster.objectives]]
kind = "finished"
class = "health-score"
within_s = 180.0
share = 0.93

[cluster.workers]
report_s = 3.0
lease_s = 38.0
gang_wait_s = 40.0
gang_peer_s = 6.0
cancel_s = 63.0

[cluster.state]
rps = 200.0
write_rps = 60.0
value_kb = 8.0
txn_ops = 16
%s
[cluster.cloud]
rps = 3.0
list_lag_s = 8.0

[cluster.limits]
cores = 0.24
memory_mb = 234.0
fd_limit = 3000
`, size, next)
}
