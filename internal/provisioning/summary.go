package provisioning

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Summary is what the autoscaler stores once a step: enough for owners to know what drains
// and for a new leader to continue.
type Summary struct {
	Step     uint64               `json:"step"`
	History  map[string][]float64 `json:"history,omitempty"` // demand in machines, by group
	Draining fleet.Draining       `json:"drain,omitempty"`
	// Requests is the launch requests whose machines may not be listed yet, the oldest first.
	Requests []launchRequest `json:"asked,omitempty"`
}

// continuationPrefix is the prefix of the keys, with numbers from 2, in which the summary
// continues where one value does not hold all draining machines and launch requests. A
// controller of the former version does not read them: it knows what it would know if the
// summary were cut off there, as it was in that version. What such a leader leaves of them
// behind counts for nothing after one step.
const continuationPrefix = SummaryKey + "/more:"

// IsSummaryKey tells whether a key holds a part of the summary.
func IsSummaryKey(key string) bool { return summaryNumber(key) > 0 }

// summaryKey is the key of a part of the summary, by its number from 1.
func summaryKey(number int) string {
	if number == 1 {
		return SummaryKey
	}
	return continuationPrefix + strconv.Itoa(number)
}

// summaryNumber is which part of the summary a key holds, 0 for none.
func summaryNumber(key string) int {
	if key == SummaryKey {
		return 1
	}
	digits, found := strings.CutPrefix(key, continuationPrefix)
	if number, err := strconv.Atoi(digits); found && err == nil && number > 1 {
		return number
	}
	return 0
}

// ApplySummary takes in a part of the summary, nil if it was removed. One that cannot be read
// changes nothing, nor does it if the first is removed.
func (p *Provisioner) ApplySummary(key string, value json.RawMessage) {
	number := summaryNumber(key)
	var part Summary
	switch {
	case value == nil && number > 1:
		delete(p.summaryParts, number)
	case value == nil || json.Unmarshal(value, &part) != nil:
		return
	default:
		p.summaryParts[number] = part
	}
	if first, found := p.summaryParts[1]; found {
		p.Summary = first.joinedWith(p.summaryParts)
	}
}

// joinedWith is the summary that begins with this part. The parts are written each by itself:
// one that is a step older or newer counts until it follows, so that no machine is taken for
// one that drains no more in between; what is older was left by another leader.
func (s Summary) joinedWith(parts map[int]Summary) Summary {
	if len(parts) == 1 {
		return s
	}
	draining, known := fleet.Draining{}, map[string]bool{}
	maps.Copy(draining, s.Draining)
	s.Requests = slices.Clone(s.Requests)
	for _, request := range s.Requests {
		known[request.LaunchRequestID] = true
	}
	for _, number := range slices.Sorted(maps.Keys(parts)) {
		part := parts[number]
		if number == 1 || part.Step+1 < s.Step || part.Step > s.Step+1 {
			continue
		}
		for machine, stage := range part.Draining {
			if _, found := draining[machine]; !found {
				draining[machine] = stage
			}
		}
		for _, request := range part.Requests {
			if !known[request.LaunchRequestID] {
				known[request.LaunchRequestID] = true
				s.Requests = append(s.Requests, request)
			}
		}
	}
	s.Draining = draining
	slices.SortStableFunc(s.Requests, func(a, b launchRequest) int { return cmp.Compare(a.AtMs, b.AtMs) })
	return s
}

// summaryWrites is the writes that store the summary: one value where that holds it, else the
// last part first, and the removal of parts that are not needed any more last. What
// tuning.MaxSummaryParts cannot hold is left out: the oldest launch requests, whose machines
// the cloud's list will have by now, and draining that has just begun.
func (p *Provisioner) summaryWrites(summary Summary) []store.Write {
	parts := summary.divide(p.config.ValueBytes)
	var writes []store.Write
	for i, part := range slices.Backward(parts) {
		writes = append(writes, decide.Put(summaryKey(i+1), part))
	}
	for _, number := range slices.Sorted(maps.Keys(p.summaryParts)) {
		if number > len(parts) {
			writes = append(writes, decide.Remove(summaryKey(number)))
		}
	}
	return writes
}

// divide divides a summary into parts of up to limit bytes. The first, which is all that a
// controller of the former version reads, has the history, then the machines that have
// drained for longest, then the newest launch requests.
func (s Summary) divide(limit int) []Summary {
	if len(jobs.Encode(s)) <= limit {
		return []Summary{s}
	}
	division := summaryDivision{limit: limit}
	division.addPart(Summary{Step: s.Step, History: s.History, Draining: fleet.Draining{}})
	machines := slices.SortedFunc(maps.Keys(s.Draining), func(a, b string) int {
		return cmp.Or(cmp.Compare(s.Draining[b], s.Draining[a]), cmp.Compare(a, b))
	})
	for _, machine := range machines {
		entryBytes := len(jobs.Encode(machine)) + len(":,") + len(strconv.Itoa(s.Draining[machine]))
		if part := division.partWithRoom(entryBytes); part != nil {
			part.Draining[machine] = s.Draining[machine]
		}
	}
	for _, request := range slices.Backward(s.Requests) {
		if part := division.partWithRoom(len(jobs.Encode(request)) + len(",")); part != nil {
			part.Requests = append(part.Requests, request)
		}
	}
	for i := range division.parts {
		slices.Reverse(division.parts[i].Requests)
	}
	return division.parts
}

// summaryDivision is the parts of a summary that have been filled so far.
type summaryDivision struct {
	limit     int // bytes of a part
	parts     []Summary
	freeBytes int // of the last part
}

// fieldNameBytes is the bytes that the names of the lists in a part take.
const fieldNameBytes = len(`"drain":{},"asked":[],`)

func (d *summaryDivision) addPart(part Summary) {
	d.parts = append(d.parts, part)
	d.freeBytes = d.limit - len(jobs.Encode(part)) - fieldNameBytes
}

// partWithRoom is the last part if it has room for so many bytes more, else a further one;
// nil if there may be no more parts.
func (d *summaryDivision) partWithRoom(bytes int) *Summary {
	if bytes > d.freeBytes && len(d.parts) < tuning.MaxSummaryParts {
		d.addPart(Summary{Step: d.parts[0].Step, Draining: fleet.Draining{}})
	}
	if bytes > d.freeBytes {
		return nil
	}
	d.freeBytes -= bytes
	return &d.parts[len(d.parts)-1]
}
