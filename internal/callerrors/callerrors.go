// Package callerrors counts refused calls by kind, so that the log has a line about them
// once a minute instead of once a call: the calls that other services refused this
// controller, and those that it refused users and agents. It has no IO and no clock.
package callerrors

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Party is the other side of a call. Its value is what the log calls it.
type Party string

// The parties.
const (
	Store         Party = "state"             // calls to the state service
	Cloud         Party = "cloud"             // calls to the cloud
	AgentCalls    Party = "worker"            // calls to workers' agents
	AgentRequests Party = "reports"           // requests of workers' agents
	Users         Party = "users"             // requests of users and operators
	Peers         Party = "other controllers" // lines that other controllers sent
)

// The answers that are no fault of the program, by party. Any other means that the request
// should not have been made (PROTOCOL, by its tables of answers).
var (
	// expectedStatuses say no more than what the state of things is. They are not counted.
	expectedStatuses = map[Party][]int{
		Store:         {200, 404, 409, 410},
		Cloud:         {200},
		AgentCalls:    {200, 409},
		AgentRequests: {200, 421},
		Users:         {200, 201, 404},
		Peers:         {200},
	}
	// overloadStatuses come of load, of outages or of what others send.
	overloadStatuses = map[Party][]int{
		Store: {429, 503},
		Cloud: {429, 503},
		// What users send wrong is theirs to correct.
		Users:         {400, 405, 409, 413, 422, 429, 503},
		AgentRequests: {503},
		Peers:         {400}, // whoever sends such lines is no controller of these settings
	}
)

// kind is what refusals are counted by.
type kind struct {
	party  Party
	call   string // method and target, without what names one job, key or machine
	status int
	// leaseEnded: the state service no longer knows the lease, which ran out. That is
	// nobody's fault.
	leaseEnded bool
}

// unexpected tells whether the call should never have been made.
func (k kind) unexpected() bool {
	return !k.leaseEnded && !slices.Contains(overloadStatuses[k.party], k.status)
}

// String names the kind in the log.
func (k kind) String() string {
	call := k.call
	if k.leaseEnded {
		call += " (lease ended)"
	}
	return fmt.Sprintf("%s %s %d", k.party, call, k.status)
}

// Counter counts refused calls between two reports. The zero value is ready for use, by one
// goroutine.
type Counter struct {
	// Unexpected counts the refusals since the start of calls that should never have been
	// made, Refused counts all.
	Unexpected int
	Refused    int

	counts map[kind]int
	// samples holds the beginning of the first answer of each kind.
	samples map[kind]string
	// others counts the refusals of kinds beyond tuning.MaxErrorKinds.
	others     int
	lastReport time.Time
}

// Note counts an answer, if it is a refusal. A status of 0 stands for no answer, which is
// not one.
func (c *Counter) Note(party Party, method, target string, status int, body []byte) {
	if status == 0 || slices.Contains(expectedStatuses[party], status) {
		return
	}
	refusal := kind{
		party:      party,
		call:       method + " " + genericTarget(target),
		status:     status,
		leaseEnded: party == Store && status == 400 && strings.Contains(string(body), "no such lease"),
	}
	c.Refused++
	if refusal.unexpected() {
		c.Unexpected++
	}
	c.add(refusal, body)
}

// add counts a refusal for the next report.
func (c *Counter) add(refusal kind, body []byte) {
	if c.counts == nil {
		c.counts = map[kind]int{}
		c.samples = map[kind]string{}
	}
	if c.counts[refusal] == 0 {
		if len(c.counts) >= tuning.MaxErrorKinds {
			c.others++
			return
		}
		c.samples[refusal] = string(body[:min(len(body), tuning.ErrorSampleBytes)])
	}
	c.counts[refusal]++
}

// targetWords bounds the words of a target that a kind keeps.
const targetWords = 3

// genericTarget is a target without what names one job, key or machine.
func genericTarget(target string) string {
	path, _, _ := strings.Cut(target, "?")
	var words []string
	for word := range strings.SplitSeq(strings.Trim(path, "/"), "/") {
		if len(words) < targetWords && isLowercaseWord(word) {
			words = append(words, word)
		}
	}
	return "/" + strings.Join(words, "/")
}

func isLowercaseWord(word string) bool {
	return word != "" && !strings.ContainsFunc(word, func(r rune) bool { return r < 'a' || r > 'z' })
}

// Report is the report of what was refused since the last one, once that is
// tuning.CallErrorsLogEvery ago: calls that should never have been made, and those refused
// because of load or outages. Both are empty where there was nothing, or it is too early.
func (c *Counter) Report(now time.Time) (unexpected, overload string) {
	if c.lastReport.IsZero() {
		c.lastReport = now
	}
	if now.Sub(c.lastReport) < tuning.CallErrorsLogEvery {
		return "", ""
	}
	c.lastReport = now
	var unexpectedKinds, overloadKinds []string
	for refusal, count := range c.counts {
		if refusal.unexpected() {
			unexpectedKinds = append(unexpectedKinds,
				fmt.Sprintf("%v: %d times, first %q", refusal, count, c.samples[refusal]))
		} else {
			overloadKinds = append(overloadKinds, fmt.Sprintf("%v: %d", refusal, count))
		}
	}
	if c.others > 0 {
		overloadKinds = append(overloadKinds, fmt.Sprintf("of other kinds: %d", c.others))
	}
	slices.Sort(unexpectedKinds)
	slices.Sort(overloadKinds)
	c.counts, c.samples, c.others = nil, nil, 0
	return strings.Join(unexpectedKinds, "; "), strings.Join(overloadKinds, "; ")
}
