// Package callerrors counts the calls that were refused, by kind, so that the log
// tells of them once a minute instead of once a call: those that other services
// refused this controller, and those that it refused users and workers. It has no IO
// and no clock.
package callerrors

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Party is a side of the protocol.
type Party string

// The parties.
const (
	State   Party = "state"
	Cloud   Party = "cloud"
	Worker  Party = "worker" // asked by this controller
	Workers Party = "reports"
	Users   Party = "users"
	Peers   Party = "other controllers" // lines that were not taken in
)

// fine lists the answers that say no more than how things stand, and passing the
// ones that come of load or outages. Any other answer means that the request should
// not have been made (PROTOCOL, by its tables of answers).
var (
	expectedStatuses = map[Party][]int{
		State:   {200, 404, 409, 410},
		Cloud:   {200},
		Worker:  {200, 409},
		Workers: {200, 421},
		Users:   {200, 201, 404},
		Peers:   {200},
	}
	overloadStatuses = map[Party][]int{
		State: {429, 503},
		Cloud: {429, 503},
		// What users send wrong is theirs to know.
		Users:   {400, 405, 409, 413, 422, 429, 503},
		Workers: {503},
		Peers:   {400}, // whoever sends them is no controller of these settings
	}
)

// kind is what calls are counted by.
type kind struct {
	party  Party
	call   string
	status int
}

// Counter counts refused calls between two reports.
type Counter struct {
	counts     map[kind]int
	samples    map[kind]string
	others     int // of kinds beyond the bound
	since      time.Time
	Unexpected int // refused since the start, of those that should never have been made
	Refused    int // all since the start
}

// Note counts an answer, if it is a refusal. ended tells that the refusal is the
// known one of a lease that ran out, which is nobody's fault.
func (c *Counter) Note(party Party, method, target string, status int, body []byte) {
	if status == 0 || slices.Contains(expectedStatuses[party], status) {
		return
	}
	c.Refused++
	ended := party == State && status == 400 && strings.Contains(string(body), "no such lease")
	k := kind{party, method + " " + callOf(target), status}
	if ended {
		k.call += " (lease ended)"
	}
	if k.unexpected() {
		c.Unexpected++
	}
	if c.counts == nil {
		c.counts, c.samples = map[kind]int{}, map[kind]string{}
	}
	if c.counts[k] == 0 {
		if len(c.counts) >= tuning.MaxErrorKinds {
			c.others++
			return
		}
		c.samples[k] = string(body[:min(len(body), tuning.ErrorSampleBytes)])
	}
	c.counts[k]++
}

func (k kind) unexpected() bool {
	return !slices.Contains(overloadStatuses[k.party], k.status) && !strings.HasSuffix(k.call, "(lease ended)")
}

// callOf is a target without what names one job, key or machine.
func callOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	var out []string
	for _, part := range strings.Split(strings.Trim(path, "/"), "/") {
		plain := part != "" && !strings.ContainsFunc(part, func(r rune) bool { return r < 'a' || r > 'z' })
		if plain && len(out) < 3 {
			out = append(out, part)
		}
	}
	return "/" + strings.Join(out, "/")
}

// Due tells what was refused since the last report, once that is a minute ago:
// calls that should never have been made, and those refused by load or outages.
// Both are empty where there was nothing.
func (c *Counter) Due(now time.Time) (wrong, load string) {
	if c.since.IsZero() {
		c.since = now
	}
	if now.Sub(c.since) < tuning.CallErrorsLogEvery {
		return "", ""
	}
	c.since = now
	var wrongs, loads []string
	for k, n := range c.counts {
		if k.unexpected() {
			wrongs = append(wrongs, fmt.Sprintf("%s %s %d: %d times, first %q", k.party, k.call, k.status, n, c.samples[k]))
		} else {
			loads = append(loads, fmt.Sprintf("%s %s %d: %d", k.party, k.call, k.status, n))
		}
	}
	if c.others > 0 {
		loads = append(loads, fmt.Sprintf("of other kinds: %d", c.others))
	}
	slices.Sort(wrongs)
	slices.Sort(loads)
	c.counts, c.samples, c.others = nil, nil, 0
	return strings.Join(wrongs, "; "), strings.Join(loads, "; ")
}
