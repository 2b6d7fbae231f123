package fleet

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// ClaimsKey is the key of the machines claimed for gangs that are being placed. All of
// them stand in one value: with a change for each machine, taking and giving back those
// of a large gang took seconds of all changes that the leader has.
//
// Only the leader writes it. An owner's placement is conditional on its stamp, so that
// one decided before a claim is not committed after it.
const ClaimsKey = "claims"

// Claims is the machines claimed, by job.
type Claims map[string][]string

// DecodeClaims reads the value of ClaimsKey; nothing is claimed where there is none.
func DecodeClaims(b []byte) (Claims, error) {
	if b == nil {
		return nil, nil
	}
	var c Claims
	err := json.Unmarshal(b, &c)
	return c, err
}

// moreClaims stands in the first value for the numbers of those in which the claims go on.
// All are written in one transaction, so that the stamp of the first speaks for them. A
// controller of the former version takes it for a job of that name, which claims machines
// that nobody has, and knows the claims of the first value alone: of those that go on it
// may give a task to a machine, which then has no room for the gang's, as if the machine had
// been claimed a moment later. One that leads writes the first value without it, and the
// others count for nothing.
const moreClaims = "more"

// ClaimsKeyOf is the key of one of the values.
func ClaimsKeyOf(number int) string {
	if number == 1 {
		return ClaimsKey
	}
	return ClaimsKey + "/" + moreClaims + ":" + strconv.Itoa(number)
}

// ClaimsNumber is which of the values a key holds, 0 for none.
func ClaimsNumber(key string) int {
	if key == ClaimsKey {
		return 1
	}
	text, is := strings.CutPrefix(key, ClaimsKey+"/"+moreClaims+":")
	if n, err := strconv.Atoi(text); is && err == nil && n > 1 {
		return n
	}
	return 0
}

// JoinClaims is what the values say together.
func JoinClaims(values map[int]Claims) Claims {
	first := values[1]
	if first[moreClaims] == nil {
		return first
	}
	out := Claims{}
	add := func(c Claims) {
		for jobID, machines := range c {
			if jobID != moreClaims {
				out[jobID] = append(slices.Clone(out[jobID]), machines...)
			}
		}
	}
	add(first)
	for _, text := range first[moreClaims] {
		if number, err := strconv.Atoi(text); err == nil {
			add(values[number])
		}
	}
	return out
}

// Divide is the values that hold the claims, of up to limit bytes each. A job's machines
// keep their order.
func (c Claims) Divide(limit int) []Claims {
	size := len("{}")
	for jobID, machines := range c {
		size += claimBytes(jobID, machines)
	}
	if size <= limit {
		return []Claims{c}
	}
	// What the first says of the others.
	numbers := claimBytes(moreClaims, slices.Repeat([]string{"100"}, size/max(limit/2, 1)+1))
	values := []Claims{{}}
	room := limit - len("{}") - numbers
	for _, jobID := range slices.Sorted(maps.Keys(c)) {
		began := false
		for _, machine := range c[jobID] {
			bytes := entryBytes(machine)
			if !began {
				bytes += claimBytes(jobID, nil)
			}
			if bytes > room {
				values = append(values, Claims{})
				room = limit - len("{}")
				bytes = entryBytes(machine) + claimBytes(jobID, nil)
			}
			room -= bytes
			began = true
			last := values[len(values)-1]
			last[jobID] = append(last[jobID], machine)
		}
	}
	for i := range values[1:] {
		values[0][moreClaims] = append(values[0][moreClaims], strconv.Itoa(i+2))
	}
	return values
}

// claimBytes is what a job's machines take of a value at most.
func claimBytes(jobID string, machines []string) int {
	bytes := entryBytes(jobID) + len(":[]")
	for _, machine := range machines {
		bytes += entryBytes(machine)
	}
	return bytes
}

// ByMachine is the job that each claimed machine is claimed for.
func (c Claims) ByMachine() map[string]string {
	out := map[string]string{}
	for jobID, machines := range c {
		for _, h := range machines {
			out[h] = jobID
		}
	}
	return out
}
