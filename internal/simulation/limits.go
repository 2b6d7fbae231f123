package simulation

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/settings"
)

// Limits of the protocol that are not configurable.
const (
	maxBodyBytes       = 64 << 10  // size of a request, and of a line of an answer
	maxKeyBytes        = 200       // length of a key
	preconditionsPerOp = 4         // preconditions per write or removal that TxnOps allows
	maxListItems       = 1000      // items in one answer
	maxListBytes       = 512 << 10 // size of one answer
	minLeaseTTLMs      = 100       // ms
	maxLeaseTTLMs      = 600_000   // ms
	maxWatchHoldMs     = 60_000    // ms
	keptChanges        = 10_000    // changes kept for watches
	maxRentedAtOnce    = 50        // machines in a request
	maxDeletedAtOnce   = 100       // machines in a request
	maxMachinePage     = 500       // machines in a page
)

// ReportLimitViolation records a request or an answer that the protocol forbids. A correct program
// never makes one, so it fails the scenario like the violation of a rule.
func (sim *Simulator) ReportLimitViolation(format string, args ...any) {
	sim.LimitViolations++
	sim.ReportViolation("limit: "+format, args...)
}

// EnforceLimits makes the state service and the cloud enforce the limits in the settings.
func (sim *Simulator) EnforceLimits(c settings.Cluster) {
	sim.Store.ValueKB, sim.Store.TxnOps = c.State.ValueKB, c.State.TxnOps
	sim.Store.RPS, sim.Store.WPS = c.State.RPS, c.State.WriteRPS
	sim.Cloud.RPS = c.Cloud.RPS
}

// transaction is the body of a transaction request.
type transaction struct {
	Preconditions []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"stamp"`
	} `json:"if"`
	Writes []change `json:"writes"`
}

// change is one write or removal of a transaction.
type change struct {
	Write   string          `json:"write"`
	Remove  string          `json:"remove"`
	Value   json.RawMessage `json:"v"`
	LeaseID uint64          `json:"hold"`
}

// requestFault returns why the state service answers a request with 400, "" if it is well-formed.
func (s *Store) requestFault(method, path string, q url.Values, body []byte) string {
	if len(body) > maxBodyBytes {
		return fmt.Sprintf("%d bytes", len(body))
	}
	key, isItem := strings.CutPrefix(path, "/store/")
	_, aboutLease := leaseIDOf(path)
	switch call := method + " " + path; {
	case call == "GET /follow":
		return numberFault(q, "hold_ms", 0, maxWatchHoldMs)
	case call == "GET /store":
		return numberFault(q, "limit", 1, maxListItems)
	case method == "GET" && isItem:
		return keyFault(key)
	case call == "POST /multi":
		return s.transactionFault(body)
	case call == "POST /grants":
		return ttlFault(ttlOf(body))
	case aboutLease && (method == "DELETE" || method == "POST" && strings.HasSuffix(path, "/renew")):
		return ""
	}
	return "no such call"
}

// numberFault returns what is wrong with a numeric query parameter, "" if it is missing or within
// its limits.
func numberFault(q url.Values, field string, low, high int) string {
	v := q.Get(field)
	if v == "" {
		return ""
	}
	if n, err := strconv.Atoi(v); err != nil || n < low || n > high {
		return field + " is " + v
	}
	return ""
}

// ttlFault returns what is wrong with the TTL of a lease in ms, "" if it is within its limits.
func ttlFault(ttl int) string {
	if ttl < minLeaseTTLMs || ttl > maxLeaseTTLMs {
		return fmt.Sprintf("ttl_ms is %d", ttl)
	}
	return ""
}

// ttlOf returns the requested TTL of a lease in ms, 0 if there is none.
func ttlOf(body []byte) int {
	var request struct {
		TTL int `json:"ttl_ms"`
	}
	_ = json.Unmarshal(body, &request)
	return request.TTL
}

// leaseIDOf returns the lease ID in a path, and whether there is one.
func leaseIDOf(path string) (uint64, bool) {
	rest, ok := strings.CutPrefix(path, "/grants/")
	id, err := strconv.ParseUint(strings.TrimSuffix(rest, "/renew"), 10, 64)
	return id, ok && err == nil
}

// keyFault returns what is wrong with a key, "" if it is valid.
func keyFault(key string) string {
	if len(key) == 0 || len(key) > maxKeyBytes || strings.ContainsAny(key, " \t\r\n") {
		return fmt.Sprintf("key %q", key)
	}
	return ""
}

// transactionFault returns which limit a transaction exceeds, "" if none.
func (s *Store) transactionFault(body []byte) string {
	var t transaction
	if err := json.Unmarshal(body, &t); err != nil {
		return err.Error()
	}
	if s.TxnOps > 0 && len(t.Writes) > s.TxnOps {
		return fmt.Sprintf("%d changes", len(t.Writes))
	}
	if s.TxnOps > 0 && len(t.Preconditions) > preconditionsPerOp*s.TxnOps {
		return fmt.Sprintf("%d conditions with %d changes", len(t.Preconditions), len(t.Writes))
	}
	for _, c := range t.Preconditions {
		if why := keyFault(c.Key); why != "" {
			return why
		}
	}
	for _, change := range t.Writes {
		if why := s.changeFault(change); why != "" {
			return why
		}
	}
	return ""
}

// changeFault returns what is wrong with a change of a transaction, "" if it is valid.
func (s *Store) changeFault(c change) string {
	switch {
	case (c.Write == "") == (c.Remove == ""):
		return "a change that neither writes nor removes, or does both"
	case keyFault(c.Write+c.Remove) != "":
		return keyFault(c.Write + c.Remove)
	case c.Write != "" && len(c.Value) == 0:
		return "no value for " + c.Write
	case s.ValueKB > 0 && float64(len(c.Value)) > s.ValueKB*1024:
		return fmt.Sprintf("%d bytes in %s", len(c.Value), c.Write)
	case c.LeaseID > s.lastLeaseID:
		return fmt.Sprintf("lease %d was never given", c.LeaseID)
	}
	return ""
}

// CheckRefused reports running controllers that count refused calls, or decisions that could not
// be committed, of kinds that a correct program never causes.
func (sim *Simulator) CheckRefused() {
	for _, name := range sim.NodeNames {
		if node := sim.Nodes[name]; node.alive && node.controller.ProtocolErrors() > 0 {
			sim.ReportLimitViolation(
				"%s counts %d calls or decisions refused that it should not have made",
				name,
				node.controller.ProtocolErrors(),
			)
		}
	}
}

// commandsFault returns what is wrong with commands, "" if they are valid.
func commandsFault(commands []command) string {
	for _, c := range commands {
		_, _, ok := jobs.SplitTaskID(c.TaskID)
		if !ok || c.Attempt == 0 || c.Verb != "launch" && c.Verb != "stop" && c.Verb != "reap" {
			return fmt.Sprintf("order %+v", c)
		}
	}
	return ""
}

// checkAnswer checks an answer to a report against the protocol; fencingToken is the highest token
// that the agent had received when it sent the report.
func (ag *Agent) checkAnswer(node string, status int, body []byte, fencingToken uint64) {
	ag.sim.checkLines(node, body)
	var r struct {
		FencingToken *uint64   `json:"baton"`
		Commands     []command `json:"orders"`
	}
	switch status {
	case 421, 503:
	case 200:
		if json.Unmarshal(body, &r) != nil || r.FencingToken == nil || *r.FencingToken < fencingToken {
			ag.sim.ReportLimitViolation(
				"%s answers %s's report under baton %d with 200 and %.80s",
				node,
				ag.machine.ID,
				fencingToken,
				body,
			)
		}
		if why := commandsFault(r.Commands); why != "" {
			ag.sim.ReportLimitViolation("%s sends %s %s", node, ag.machine.ID, why)
		}
	default:
		ag.sim.ReportLimitViolation("%s answers %s's report with %d", node, ag.machine.ID, status)
	}
}

// checkLines checks the length of the lines of an answer to an agent or a user.
func (sim *Simulator) checkLines(node string, body []byte) {
	for _, line := range bytes.Split(body, []byte("\n")) {
		if len(line) > maxBodyBytes {
			sim.ReportLimitViolation("%s answers with a line of %d bytes", node, len(line))
		}
	}
}

// userStatusAllowed reports whether the protocol allows a status as the answer to a user's request.
// It does not cover requests of operators and those about pipeline runs, which are not part of the
// protocol.
func userStatusAllowed(method, target string, status int) bool {
	switch status {
	case 200, 429, 503, 504:
		return true
	case 201, 400, 422:
		return method == "POST" && target == "/work"
	case 404:
		return target != "/work" && target != "/up"
	}
	return false
}

// poisoned reports whether a transaction is to be refused because of Poison.
func (s *Store) poisoned(t *transaction) bool {
	if s.Poison == "" {
		return false
	}
	for _, wr := range t.Writes {
		key := wr.Write + wr.Remove
		if !strings.HasPrefix(key, jobs.JobPrefix) && strings.Contains(key+string(wr.Value), s.Poison) {
			return true
		}
	}
	return false
}

// requestFault returns why the cloud answers a request with 400, "" if it is well-formed.
func (c *Cloud) requestFault(method, path string, q url.Values, body []byte) string {
	switch {
	case len(body) > maxBodyBytes:
		return fmt.Sprintf("%d bytes", len(body))
	case method == "GET" && path == "/catalog":
		return ""
	case method == "GET" && path == "/hosts":
		return numberFault(q, "limit", 1, maxMachinePage)
	case method == "POST" && path == "/hosts/delete":
		return deletionFault(body)
	case method == "POST" && path == "/hosts":
		return rentalFault(body)
	}
	return "no such call"
}

// deletionFault returns what is wrong with a request to delete machines, "" if it is valid.
func deletionFault(body []byte) string {
	var d machineDeletion
	if json.Unmarshal(body, &d) != nil || len(d.Machines) == 0 || len(d.Machines) > maxDeletedAtOnce {
		return fmt.Sprintf("%d names", len(d.Machines))
	}
	return ""
}

// rentalFault returns what is wrong with a request to rent machines, "" if it is valid.
func rentalFault(body []byte) string {
	var r rental
	if json.Unmarshal(body, &r) != nil || r.Name == "" || r.Count < 1 || r.Count > maxRentedAtOnce {
		return fmt.Sprintf("%d machines as %q", r.Count, r.Name)
	}
	for _, b := range machineTypes {
		if zones, ok := b["sites"].([]string); ok && b["name"] == r.MachineType && slices.Contains(zones, r.Zone) {
			return ""
		}
	}
	return fmt.Sprintf("no type %q in %q", r.MachineType, r.Zone)
}
