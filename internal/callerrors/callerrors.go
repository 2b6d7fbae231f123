// Package callerrors counts refused calls by kind, so that they are logged in one line a minute
// instead of one line a call. It covers this controller's calls that other services refused, and
// requests of users and agents that this controller refused. It does no IO and reads no clock.
package callerrors

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Party is the other side of a call. Its value is its name in the log.
type Party string

// The parties of calls.
const (
	Store         Party = "state"             // calls to the state service
	Cloud         Party = "cloud"             // calls to the cloud
	AgentCalls    Party = "worker"            // calls to workers' agents
	AgentRequests Party = "reports"           // requests of workers' agents
	Users         Party = "users"             // requests of users and operators
	Peers         Party = "other controllers" // lines that other controllers sent
)

// The response statuses that do not indicate a fault of this program, by party. According to the
// tables of responses in PROTOCOL, any other status means that the request should not have been
// made.
var (
	// expectedStatuses occur in normal operation and are not counted.
	expectedStatuses = map[Party][]int{
		Store:         {200, 404, 409, 410},
		Cloud:         {200},
		AgentCalls:    {200, 409},
		AgentRequests: {200, 421},
		Users:         {200, 201, 404},
		Peers:         {200},
	}
	// overloadStatuses are caused by load, by outages or by invalid requests of others.
	overloadStatuses = map[Party][]int{
		Store: {429, 503},
		Cloud: {429, 503},
		// Invalid requests are for the users to correct.
		Users:         {400, 405, 409, 413, 422, 429, 503},
		AgentRequests: {503},
		Peers:         {400}, // the sender is not a controller of this cluster, or has other settings
	}
)

// kind is the category that refusals are counted by.
type kind struct {
	party  Party
	call   string // method and target, without IDs of single jobs, keys or machines
	status int
	// leaseEnded is true if the state service no longer knows the lease because it has expired,
	// which does not indicate a fault.
	leaseEnded bool
}

// unexpected reports whether the call should never have been made.
func (k kind) unexpected() bool {
	return !k.leaseEnded && !slices.Contains(overloadStatuses[k.party], k.status)
}

// String returns the kind's name in the log.
func (k kind) String() string {
	call := k.call
	if k.leaseEnded {
		call += " (lease ended)"
	}
	return fmt.Sprintf("%s %s %d", k.party, call, k.status)
}

// Counter counts refused calls between two reports. The zero value is ready to use. A Counter must
// not be used concurrently.
type Counter struct {
	// Unexpected counts the refused calls since the start that should never have been made. Refused
	// counts all refused calls since the start.
	Unexpected int
	Refused    int

	counts map[kind]int
	// samples holds the beginning of the first response body of each kind.
	samples map[kind]string
	// otherKinds counts the refusals of further kinds once there are tuning.MaxErrorKinds.
	otherKinds int
	lastReport time.Time
}

// Note counts a response if it is a refusal. A status of 0 means that there was no response, which
// is not counted.
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
			c.otherKinds++
			return
		}
		c.samples[refusal] = string(body[:min(len(body), tuning.ErrorSampleBytes)])
	}
	c.counts[refusal]++
}

// maxTargetSegments is the maximum number of path segments of a target that a kind keeps.
const maxTargetSegments = 3

// genericTarget returns a target's path without the segments that may be IDs: it keeps only
// segments of lowercase letters, at most maxTargetSegments of them.
func genericTarget(target string) string {
	path, _, _ := strings.Cut(target, "?")
	var segments []string
	for segment := range strings.SplitSeq(strings.Trim(path, "/"), "/") {
		if len(segments) < maxTargetSegments && isLowercaseWord(segment) {
			segments = append(segments, segment)
		}
	}
	return "/" + strings.Join(segments, "/")
}

func isLowercaseWord(segment string) bool {
	return segment != "" && !strings.ContainsFunc(segment, func(r rune) bool { return r < 'a' || r > 'z' })
}

// Report returns the log lines about the calls refused since the last report, and starts a new
// period: one line for calls that should never have been made, and one for all others, including
// those beyond tuning.MaxErrorKinds. A line is empty if there were no such calls. Both are empty if
// the last report is less than tuning.CallErrorsLogEvery ago.
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
	if c.otherKinds > 0 {
		overloadKinds = append(overloadKinds, fmt.Sprintf("of other kinds: %d", c.otherKinds))
	}
	slices.Sort(unexpectedKinds)
	slices.Sort(overloadKinds)
	c.counts, c.samples, c.otherKinds = nil, nil, 0
	return strings.Join(unexpectedKinds, "; "), strings.Join(overloadKinds, "; ")
}
