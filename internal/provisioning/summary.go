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

// Summary is the state that the autoscaler stores at every step. Owners read from it which machines
// drain, and a new leader continues from it.
type Summary struct {
	Step     uint64               `json:"step"`
	History  map[string][]float64 `json:"history,omitempty"` // demand in machines, by group
	Draining fleet.Draining       `json:"drain,omitempty"`
	// Requests holds the launch requests whose machines may not be listed yet, the oldest first.
	Requests []launchRequest `json:"asked,omitempty"`
}

// continuationPrefix is the prefix of the keys of further parts, numbered from 2. They are used if
// one value cannot hold all draining machines and launch requests. A controller of the previous
// version does not read them: it knows as much as with a summary truncated at that point, as
// summaries were in that version. Further parts that remain while such a controller leads are
// ignored after one step.
const continuationPrefix = SummaryKey + "/more:"

// IsSummaryKey reports whether a key is that of a part of the summary.
func IsSummaryKey(key string) bool { return summaryNumber(key) > 0 }

// summaryKey returns the key of the part of the summary with the given number, from 1.
func summaryKey(number int) string {
	if number == 1 {
		return SummaryKey
	}
	return continuationPrefix + strconv.Itoa(number)
}

// summaryNumber returns the number of the part of the summary stored under a key, 0 for other keys.
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

// ApplySummary applies a changed part of the summary. value is nil if the part was removed. Values
// that cannot be decoded and the removal of the first part are ignored.
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

// joinedWith returns the summary of which s is the first part. The parts are written separately.
// Parts of the previous and the next step are therefore included, so that no draining machine is
// missing while the parts are being updated. Parts of other steps were left by an earlier leader
// and are ignored.
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

// summaryWrites returns the writes that store the summary: first the parts, starting with the last
// one, then the removal of parts that are no longer needed. A summary that fits into one value has
// a single part. If tuning.MaxSummaryParts cannot hold everything, the oldest launch requests,
// whose machines should be on the cloud's list by now, and the machines that have just started to
// drain are omitted.
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

// divide splits a summary into parts of up to limit bytes. The first part, which is the only one
// that a controller of the previous version reads, holds the history, then the machines that have
// been draining longest, then the latest launch requests.
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
		if part := division.partWithSpace(entryBytes); part != nil {
			part.Draining[machine] = s.Draining[machine]
		}
	}
	for _, request := range slices.Backward(s.Requests) {
		if part := division.partWithSpace(len(jobs.Encode(request)) + len(",")); part != nil {
			part.Requests = append(part.Requests, request)
		}
	}
	for i := range division.parts {
		slices.Reverse(division.parts[i].Requests)
	}
	return division.parts
}

// summaryDivision holds the parts of a summary while it is being split.
type summaryDivision struct {
	limit     int // maximum size of a part in bytes
	parts     []Summary
	freeBytes int // in the last part
}

// fieldNameBytes is the number of bytes for the field names of a part's collections.
const fieldNameBytes = len(`"drain":{},"asked":[],`)

func (d *summaryDivision) addPart(part Summary) {
	d.parts = append(d.parts, part)
	d.freeBytes = d.limit - len(jobs.Encode(part)) - fieldNameBytes
}

// partWithSpace returns the last part if it has space for the given number of bytes, or else a new
// part. It returns nil if no more parts are allowed.
func (d *summaryDivision) partWithSpace(bytes int) *Summary {
	if bytes > d.freeBytes && len(d.parts) < tuning.MaxSummaryParts {
		d.addPart(Summary{Step: d.parts[0].Step, Draining: fleet.Draining{}})
	}
	if bytes > d.freeBytes {
		return nil
	}
	d.freeBytes -= bytes
	return &d.parts[len(d.parts)-1]
}
