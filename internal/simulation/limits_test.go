package simulation

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/settings"
)

// newLimitedSimulator returns a simulation whose services enforce low limits.
func newLimitedSimulator() *Simulator {
	sim := NewSimulator(1, slog.New(slog.DiscardHandler))
	sim.EnforceLimits(
		settings.Cluster{
			State:  settings.State{RPS: 1e6, WriteRPS: 1e6, ValueKB: 1, TxnOps: 4},
			Cloud:  settings.Cloud{RPS: 2},
			Limits: settings.Limits{},
		},
	)
	return sim
}

// serveNow sends a request to a service, which answers at once, and returns the answer.
func serveNow(
	serve func(method, target string, body []byte, answer func(int, []byte)),
	method, target, body string,
) (status int, answer string) {
	serve(method, target, []byte(body), func(s int, b []byte) { status, answer = s, string(b) })
	return status, answer
}

// list returns a JSON array of count items.
func list(count int, item func(i int) string) string {
	var out []string
	for i := range count {
		out = append(out, item(i))
	}
	return "[" + strings.Join(out, ",") + "]"
}

// The state service rejects requests that exceed a limit and accepts those that just meet it. Each
// rejection is recorded as a violation.
func TestStoreRequestsBeyondLimitsAreRejected(t *testing.T) {
	put := func(key string, bytes int) string {
		return fmt.Sprintf(`{"write":%q,"v":"%s"}`, key, strings.Repeat("x", bytes-2))
	}
	txn := func(preconditions, writes, bytes int) string {
		return fmt.Sprintf(
			`{"if":%s,"writes":%s}`,
			list(preconditions, func(i int) string { return fmt.Sprintf(`{"key":"c/%d","stamp":0}`, i) }),
			list(writes, func(i int) string { return put(fmt.Sprint("k/", i), bytes) }),
		)
	}
	key := func(length int) string { return strings.Repeat("k", length) }
	for name, c := range map[string]struct {
		method, target, body string
		valid                bool
	}{
		"changes":             {"POST", "/multi", txn(0, 4, 10), true},
		"too many changes":    {"POST", "/multi", txn(0, 5, 10), false},
		"conditions":          {"POST", "/multi", txn(16, 1, 10), true},
		"too many conditions": {"POST", "/multi", txn(17, 1, 10), false},
		"value":               {"POST", "/multi", txn(0, 1, 1024), true},
		"large value":         {"POST", "/multi", txn(0, 1, 1025), false},
		"body":                {"POST", "/multi", `{"if":[]` + strings.Repeat(" ", 64<<10) + `}`, false},
		"not JSON":            {"POST", "/multi", `{"if":`, false},
		"key":                 {"POST", "/multi", `{"writes":[` + put(key(200), 9) + `]}`, true},
		"long key":            {"POST", "/multi", `{"writes":[` + put(key(201), 9) + `]}`, false},
		"key with a space":    {"POST", "/multi", `{"writes":[` + put("a b", 9) + `]}`, false},
		"key of a read":       {"GET", "/store/" + key(201), "", false},
		"write and remove":    {"POST", "/multi", `{"writes":[{"write":"a","remove":"b","v":1}]}`, false},
		"neither":             {"POST", "/multi", `{"writes":[{"v":1}]}`, false},
		"no value":            {"POST", "/multi", `{"writes":[{"write":"a"}]}`, false},
		"unknown lease":       {"POST", "/multi", `{"writes":[{"write":"a","v":1,"hold":9}]}`, false},
		"page":                {"GET", "/store?prefix=&limit=1000", "", true},
		"large page":          {"GET", "/store?prefix=&limit=1001", "", false},
		"hold":                {"GET", "/follow?prefix=&since=0&hold_ms=60000", "", true},
		"long hold":           {"GET", "/follow?prefix=&since=0&hold_ms=60001", "", false},
		"lease":               {"POST", "/grants", `{"ttl_ms":100}`, true},
		"short lease":         {"POST", "/grants", `{"ttl_ms":99}`, false},
		"long lease":          {"POST", "/grants", `{"ttl_ms":600001}`, false},
		"no such call":        {"PUT", "/multi", `{}`, false},
	} {
		sim := newLimitedSimulator()
		status, _ := serveNow(sim.Store.Serve, c.method, c.target, c.body)
		if refused := status == 400; refused == c.valid || (sim.LimitViolations == 0) != c.valid ||
			len(sim.Violations) != sim.LimitViolations {
			t.Errorf("%s: status %d, %d violations", name, status, len(sim.Violations))
		}
	}
}

// A write under a lease that has expired is rejected but is no violation: the holder learns of the
// expiry from the answer and can get a new lease.
func TestWriteUnderExpiredLeaseIsRejected(t *testing.T) {
	sim := newLimitedSimulator()
	_, grant := serveNow(sim.Store.Serve, "POST", "/grants", `{"ttl_ms":200}`)
	write := `{"writes":[{"write":"a","v":1,"hold":1}]}`
	if status, _ := serveNow(sim.Store.Serve, "POST", "/multi", write); status != 200 || grant != `{"hold":1}` {
		t.Fatal(status, grant)
	}
	sim.RunUntil(time.Second)
	status, why := serveNow(sim.Store.Serve, "POST", "/multi", write)
	renewed, _ := serveNow(sim.Store.Serve, "POST", "/grants/1/renew", "")
	if status != 400 || !strings.Contains(why, "no such lease") || renewed != 404 || sim.Store.Count("a") != 0 ||
		len(sim.Violations) > 0 {
		t.Error(status, why, renewed, sim.Violations)
	}
	_, grant = serveNow(sim.Store.Serve, "POST", "/grants", `{"ttl_ms":200}`)
	if ended, _ := serveNow(sim.Store.Serve, "DELETE", "/grants/2", ""); ended != 200 || grant != `{"hold":2}` {
		t.Error(ended, grant)
	}
}

// A watch from a revision whose changes are no longer kept gets 410, and listings are paged.
func TestWatchOfCompactedRevisionGets410(t *testing.T) {
	sim := newLimitedSimulator()
	for i := range 3 * keptChanges {
		sim.Store.Put(fmt.Sprintf("k/%05d", i), `"`+strings.Repeat("x", 800)+`"`)
	}
	if status, _ := serveNow(sim.Store.Serve, "GET", "/follow?since=1", ""); status != 410 {
		t.Error(status)
	}
	if status, _ := serveNow(sim.Store.Serve, "GET", fmt.Sprintf("/follow?since=%d", 2*keptChanges), ""); status != 200 {
		t.Error(status)
	}
	_, page := serveNow(sim.Store.Serve, "GET", "/store?prefix=k/&since=k/00007", "")
	var p struct {
		Rows    []storeItem
		HasNext bool `json:"has_next"`
	}
	if err := json.Unmarshal(
		[]byte(page),
		&p,
	); err != nil || !p.HasNext || len(p.Rows) > maxListItems || len(page) > maxListBytes ||
		p.Rows[0].Key != "k/00008" {
		t.Error(err, p.HasNext, len(p.Rows), len(page))
	}
}

// The cloud rejects requests that exceed a limit and accepts those that just meet it.
func TestCloudRequestsBeyondLimitsAreRejected(t *testing.T) {
	names := func(count int) string {
		return `{"hosts":` + list(count, func(i int) string { return fmt.Sprintf(`"i-%06d"`, i) }) + `}`
	}
	rent := func(count int, machineType, zone string) string {
		return fmt.Sprintf(`{"hire":"r-1","build":%q,"site":%q,"loaner":false,"count":%d}`, machineType, zone, count)
	}
	for name, c := range map[string]struct {
		method, target, body string
		valid                bool
	}{
		"rent":          {"POST", "/hosts", rent(50, "g4", "a"), true},
		"large rent":    {"POST", "/hosts", rent(51, "g4", "a"), false},
		"empty rent":    {"POST", "/hosts", rent(0, "g4", "a"), false},
		"unknown type":  {"POST", "/hosts", rent(1, "g5", "a"), false},
		"unknown zone":  {"POST", "/hosts", rent(1, "g4", "c"), false},
		"no name":       {"POST", "/hosts", `{"build":"g4","site":"a","count":1}`, false},
		"delete":        {"POST", "/hosts/delete", names(100), true},
		"large delete":  {"POST", "/hosts/delete", names(101), false},
		"page":          {"GET", "/hosts?limit=500", "", true},
		"large page":    {"GET", "/hosts?limit=501", "", false},
		"no such call":  {"DELETE", "/hosts", "", false},
		"large request": {"POST", "/hosts/delete", names(100) + strings.Repeat(" ", maxBodyBytes), false},
	} {
		sim := newLimitedSimulator()
		status, _ := serveNow(sim.Cloud.Serve, c.method, c.target, c.body)
		if refused := status == 400; refused == c.valid || (sim.LimitViolations == 0) != c.valid {
			t.Errorf("%s: status %d, %v", name, status, sim.Violations)
		}
	}
}

// The cloud answers 429 beyond its rate limit, with bursts of two seconds' worth. The pages of a
// list cover all machines. The name of a rent request may be repeated only with the same body.
func TestCloudPagesRateLimitAndRentNames(t *testing.T) {
	sim := newLimitedSimulator()
	sim.Cloud.RPS = 0
	// No machine boots: there is no controller for its reports.
	sim.Cloud.Limit, sim.Cloud.LagS, sim.Cloud.NeverBoot = 2000, 0, 5000
	for range 1100 {
		sim.Cloud.AddRunning("g4", "a", false)
	}
	listed, since := 0, ""
	for more := true; more; {
		_, answer := serveNow(sim.Cloud.Serve, "GET", "/hosts?limit=500&since="+since, "")
		var page struct {
			Hosts   []struct{ UID string }
			HasNext bool `json:"has_next"`
		}
		if json.Unmarshal([]byte(answer), &page) != nil || len(page.Hosts) > 500 {
			t.Fatal(answer)
		}
		listed, more = listed+len(page.Hosts), page.HasNext
		since = page.Hosts[len(page.Hosts)-1].UID
	}
	if listed != 1100 {
		t.Error(listed)
	}
	sim.Cloud.RPS = 2
	var statuses []int
	for i := range 8 {
		if i == 6 {
			sim.RunUntil(time.Second)
		}
		status, _ := serveNow(sim.Cloud.Serve, "GET", "/catalog", "")
		statuses = append(statuses, status)
	}
	if fmt.Sprint(statuses) != "[200 200 200 200 429 429 200 200]" || sim.Cloud.Refused != 2 || len(sim.Violations) > 0 {
		t.Error(statuses, sim.Violations)
	}
	sim.RunUntil(10 * time.Second)
	again := `{"hire":"r-1","build":"g4","site":"a","loaner":false,"count":2}`
	_, first := serveNow(sim.Cloud.Serve, "POST", "/hosts", again)
	if _, second := serveNow(sim.Cloud.Serve, "POST", "/hosts", again); first != second || len(sim.Violations) > 0 {
		t.Error(first, second, sim.Violations)
	}
	serveNow(sim.Cloud.Serve, "POST", "/hosts", strings.Replace(again, "2}", "3}", 1))
	if len(sim.Violations) != 1 {
		t.Error("one name for two requests: violations", sim.Violations)
	}
}

// agentOfJob returns a simulation with the job wk-1 of one task, and an agent that has received
// fencing token 7.
func agentOfJob() (*Simulator, *Agent) {
	sim := newLimitedSimulator()
	sim.Jobs["wk-1"] = &Job{
		ID:           "wk-1",
		Kind:         "standing",
		TaskCount:    1,
		Accelerators: 1,
		Accepted:     true,
		Body:         []byte("{}"),
		Done:         map[int]bool{},
	}
	sim.AddNodes(0, settings.Settings{})
	sim.NodeNames = []string{"n0"}
	machine := sim.Cloud.machines[sim.Cloud.AddRunning("g4", "a", false)]
	ag := &Agent{
		sim:          sim,
		machine:      machine,
		agentEpoch:   1,
		fencingToken: 7,
		tasks:        map[string]*agentTask{},
		reaped:       map[string]bool{},
	}
	return sim, ag
}

// commandsBody returns the body of a request with commands under the agent's token and session.
func commandsBody(commands string) string {
	return `{"baton":7,"tenure":1,"orders":[` + commands + `]}`
}

// commandJSON returns the JSON of a command.
func commandJSON(verb, taskID string, attempt int) string {
	return fmt.Sprintf(`{"verb":%q,"piece":%q,"try":%d}`, verb, taskID, attempt)
}

var launchFirst = commandJSON("launch", "wk-1/0", 1)

// Requests that an agent rejects as malformed, and launches that must never be sent, are breaches.
// Requests under an old token or session are rejected, but are no breach.
func TestInvalidCommandsAreBreaches(t *testing.T) {
	for name, c := range map[string]struct {
		target, body string
		status       int
		valid        bool
	}{
		"launch":       {"/commands", commandsBody(launchFirst), 200, true},
		"repeated":     {"/commands", commandsBody(launchFirst + "," + launchFirst), 200, true},
		"no token":     {"/commands", `{"tenure":1,"orders":[]}`, 400, false},
		"no session":   {"/commands", `{"baton":7,"orders":[]}`, 400, false},
		"low token":    {"/commands", `{"baton":6,"tenure":1,"orders":[]}`, 409, true},
		"old session":  {"/commands", `{"baton":7,"tenure":2,"orders":[]}`, 409, true},
		"large":        {"/commands", commandsBody("") + strings.Repeat(" ", maxBodyBytes), 400, false},
		"unknown job":  {"/commands", commandsBody(commandJSON("launch", "wk-2/0", 1)), 200, false},
		"no such task": {"/commands", commandsBody(commandJSON("launch", "wk-1/1", 1)), 200, false},
		"no attempt":   {"/commands", commandsBody(commandJSON("launch", "wk-1/0", 0)), 400, false},
		"no verb":      {"/commands", commandsBody(commandJSON("start", "wk-1/0", 1)), 400, false},
		"attempt repeated": {"/commands", commandsBody(strings.Join([]string{
			launchFirst,
			commandJSON("stop", "wk-1/0", 1),
			commandJSON("reap", "wk-1/0", 1),
			launchFirst,
		}, ",")), 200, false},
	} {
		sim, ag := agentOfJob()
		status, _ := ag.serve(c.target, []byte(c.body), sim.Now)
		if status != c.status || (sim.LimitViolations == 0) != c.valid {
			t.Errorf("%s: status %d, %v", name, status, sim.Violations)
		}
	}
}

// An attempt stays in reports until it is reaped, along with the next attempt of the task.
func TestAgentReportsAttemptsUntilReaped(t *testing.T) {
	sim, ag := agentOfJob()
	_, report := ag.serve("/commands", []byte(commandsBody(launchFirst+","+commandJSON("launch", "wk-1/0", 2))), sim.Now)
	if !strings.Contains(string(report), `"in_use"`) || len(ag.tasks) != 2 || len(sim.Violations) > 0 {
		t.Errorf("%s %v", report, sim.Violations)
	}
}

// An answer to a report that the protocol does not allow is a breach.
func TestInvalidAnswersToReportsAreBreaches(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		body   string
		valid  bool
	}{
		"answer":       {200, `{"baton":7,"orders":[]}`, true},
		"higher":       {200, `{"baton":8,"orders":[]}`, true},
		"lower":        {200, `{"baton":6,"orders":[]}`, false},
		"none":         {200, `{"orders":[]}`, false},
		"misdirected":  {421, `{"reports_to":"n1"}`, true},
		"not in view":  {503, `{}`, true},
		"fault":        {500, `{}`, false},
		"malformed":    {400, `{}`, false},
		"long line":    {421, `{}` + strings.Repeat(" ", maxBodyBytes), false},
		"lines":        {421, `{}` + strings.Repeat(" \n", maxBodyBytes), true},
		"bad commands": {200, `{"baton":7,"orders":[{"verb":"stop","piece":"wk-x","try":1}]}`, false},
	} {
		sim, ag := agentOfJob()
		ag.checkAnswer("n0", c.status, []byte(c.body), 7)
		if (sim.LimitViolations == 0) != c.valid {
			t.Errorf("%s: %v", name, sim.Violations)
		}
	}
}

// Users get only the statuses that the protocol allows.
func TestUsersGetOnlyStatusesOfTheProtocol(t *testing.T) {
	for request, statuses := range map[string]string{
		"POST /work":            "[200 201 400 422 429 503 504]",
		"GET /work/wk-1":        "[200 404 429 503 504]",
		"POST /work/wk-1/abort": "[200 404 429 503 504]",
		"GET /up":               "[200 429 503 504]",
	} {
		method, target, _ := strings.Cut(request, " ")
		var allowed []int
		for status := 100; status < 600; status++ {
			if userStatusAllowed(method, target, status) {
				allowed = append(allowed, status)
			}
		}
		if fmt.Sprint(allowed) != statuses {
			t.Error(request, allowed)
		}
	}
}
