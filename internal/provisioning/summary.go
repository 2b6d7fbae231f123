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

// moreSummary is the prefix of the keys, with numbers from 2, in which the summary goes on
// where one value does not hold all draining machines and rents. A controller of the former
// version does not read them: it knows what it would know if the summary were cut off there,
// as it was. What such a leader leaves of them behind counts for nothing after one step.
const moreSummary = SummaryKey + "/more:"

// IsSummaryKey tells whether a key holds a part of the summary.
func IsSummaryKey(key string) bool { return summaryNumber(key) > 0 }

// summaryKey is the key of a part of the summary.
func summaryKey(number int) string {
	if number == 1 {
		return SummaryKey
	}
	return moreSummary + strconv.Itoa(number)
}

// summaryNumber is which part of the summary a key holds, 0 for none.
func summaryNumber(key string) int {
	if key == SummaryKey {
		return 1
	}
	text, is := strings.CutPrefix(key, moreSummary)
	if n, err := strconv.Atoi(text); is && err == nil && n > 1 {
		return n
	}
	return 0
}

// ApplySummary takes in a part of the summary. One that cannot be read changes nothing,
// nor does it if the first is removed.
func (re *Provisioner) ApplySummary(key string, value json.RawMessage) {
	number := summaryNumber(key)
	var part Summary
	switch {
	case value == nil && number > 1:
		delete(re.summaryParts, number)
	case value == nil || json.Unmarshal(value, &part) != nil:
		return
	default:
		re.summaryParts[number] = part
	}
	if first, is := re.summaryParts[1]; is {
		re.Summary = first.with(re.summaryParts)
	}
}

// with is the summary that begins with this part. The parts are written each by itself: one
// that is a step older or newer counts until it follows, so that no machine is taken for
// one that drains no more in between; what is older was left by another leader.
func (s Summary) with(parts map[int]Summary) Summary {
	if len(parts) == 1 {
		return s
	}
	drain, known := fleet.Draining{}, map[string]bool{}
	maps.Copy(drain, s.Drain)
	s.Asked = slices.Clone(s.Asked)
	for _, a := range s.Asked {
		known[a.Hire] = true
	}
	for _, number := range slices.Sorted(maps.Keys(parts)) {
		part := parts[number]
		if number == 1 || part.Step+1 < s.Step || part.Step > s.Step+1 {
			continue
		}
		for machine, stage := range part.Drain {
			if _, is := drain[machine]; !is {
				drain[machine] = stage
			}
		}
		for _, a := range part.Asked {
			if !known[a.Hire] {
				known[a.Hire] = true
				s.Asked = append(s.Asked, a)
			}
		}
	}
	s.Drain = drain
	slices.SortStableFunc(s.Asked, func(a, b asked) int { return cmp.Compare(a.AtMs, b.AtMs) })
	return s
}

// summaryWrites are the changes that store the summary: one value where that holds it, else
// the last part first, and what is needed no more last. What MaxSummaryParts cannot hold is
// left out: the oldest rents, whose machines the cloud's list will have by now, and draining
// that has just begun.
func (re *Provisioner) summaryWrites(sum Summary) []store.Write {
	parts := sum.divide(re.ValueBytes)
	var writes []store.Write
	for i, part := range slices.Backward(parts) {
		writes = append(writes, decide.Put(summaryKey(i+1), part))
	}
	for _, number := range slices.Sorted(maps.Keys(re.summaryParts)) {
		if number > len(parts) {
			writes = append(writes, decide.Remove(summaryKey(number)))
		}
	}
	return writes
}

// divide divides a summary into parts of up to limit bytes. The first, which is all that a
// controller of the former version reads, has the history, then the machines that have
// drained for longest, then the newest rents.
func (s Summary) divide(limit int) []Summary {
	if len(jobs.Encode(s)) <= limit {
		return []Summary{s}
	}
	parts := []Summary{{Step: s.Step, History: s.History, Drain: fleet.Draining{}}}
	room := limit - len(jobs.Encode(parts[0])) - summaryFrame
	// last has room for so many bytes more, in a further part if need be.
	last := func(bytes int) *Summary {
		if bytes > room && len(parts) < tuning.MaxSummaryParts {
			parts = append(parts, Summary{Step: s.Step, Drain: fleet.Draining{}})
			room = limit - len(jobs.Encode(parts[len(parts)-1])) - summaryFrame
		}
		if bytes > room {
			return nil
		}
		room -= bytes
		return &parts[len(parts)-1]
	}
	machines := slices.SortedFunc(maps.Keys(s.Drain), func(a, b string) int {
		return cmp.Or(cmp.Compare(s.Drain[b], s.Drain[a]), cmp.Compare(a, b))
	})
	for _, machine := range machines {
		if part := last(len(jobs.Encode(machine)) + len(":,") + len(strconv.Itoa(s.Drain[machine]))); part != nil {
			part.Drain[machine] = s.Drain[machine]
		}
	}
	for _, a := range slices.Backward(s.Asked) {
		if part := last(len(jobs.Encode(a)) + len(",")); part != nil {
			part.Asked = append(part.Asked, a)
		}
	}
	for i := range parts {
		slices.Reverse(parts[i].Asked)
	}
	return parts
}

// summaryFrame, bytes: what the names of the lists in a part take.
const summaryFrame = len(`"drain":{},"asked":[],`)
