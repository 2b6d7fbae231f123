package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// ClaimsKey is the key of the machines claimed for gangs that are being placed. All of
// them stand in one value: with a write for each machine, claiming and releasing those of
// a large gang took the leader's whole write rate for seconds.
//
// Only the leader writes it. An owner's placement has its revision as a precondition, so
// that a placement decided before a claim is not committed after it.
const ClaimsKey = "claims"

// Claims is the claimed machines, by job.
type Claims map[string][]string

// DecodeClaims reads the value of ClaimsKey, or of one that continues it. Nothing is
// claimed where there is no value.
func DecodeClaims(value []byte) (Claims, error) {
	if value == nil {
		return nil, nil
	}
	var claims Claims
	if err := json.Unmarshal(value, &claims); err != nil {
		return claims, fmt.Errorf("decode machine claims: %w", err)
	}
	return claims, nil
}

// continuations stands in the first value, in place of a job, for the numbers of the values
// that continue the claims. All are written in one transaction, so that the revision of the
// first speaks for them.
//
// A controller of the former version takes it for a job of that name, which claims machines
// that do not exist, and knows the claims of the first value alone. To a machine claimed in
// a further value it may give a task, and the machine then lacks room for the gang's, as if
// the task had been placed a moment before the claim. When such a controller leads, it
// writes the first value without this entry, and the further values count for nothing.
const continuations = "more"

// ClaimsKeyOf is the key of the value with a number, from 1.
func ClaimsKeyOf(number int) string {
	if number == 1 {
		return ClaimsKey
	}
	return ClaimsKey + "/" + continuations + ":" + strconv.Itoa(number)
}

// ClaimsNumber is the number of the value that a key holds, 0 if it holds none.
func ClaimsNumber(key string) int {
	if key == ClaimsKey {
		return 1
	}
	digits, found := strings.CutPrefix(key, ClaimsKey+"/"+continuations+":")
	if number, err := strconv.Atoi(digits); found && err == nil && number > 1 {
		return number
	}
	return 0
}

// JoinClaims is what the values, by number, say together. Values that the first does not
// name count for nothing.
func JoinClaims(values map[int]Claims) Claims {
	first := values[1]
	if first[continuations] == nil {
		return first
	}
	joined := Claims{}
	add := func(claims Claims) {
		for jobID, machines := range claims {
			if jobID != continuations {
				joined[jobID] = append(slices.Clone(joined[jobID]), machines...)
			}
		}
	}
	add(first)
	for _, digits := range first[continuations] {
		if number, err := strconv.Atoi(digits); err == nil {
			add(values[number])
		}
	}
	return joined
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
	// The first value also has to hold the numbers of the others.
	numberBytes := claimBytes(continuations, slices.Repeat([]string{"100"}, size/max(limit/2, 1)+1))
	values := []Claims{{}}
	free := limit - len("{}") - numberBytes
	for _, jobID := range slices.Sorted(maps.Keys(c)) {
		started := false
		for _, machine := range c[jobID] {
			needed := entryBytes(machine)
			if !started {
				needed += claimBytes(jobID, nil)
			}
			if needed > free {
				values = append(values, Claims{})
				free = limit - len("{}")
				needed = entryBytes(machine) + claimBytes(jobID, nil)
			}
			free -= needed
			started = true
			last := values[len(values)-1]
			last[jobID] = append(last[jobID], machine)
		}
	}
	for i := range values[1:] {
		values[0][continuations] = append(values[0][continuations], strconv.Itoa(i+2))
	}
	return values
}

// claimBytes is the number of bytes that a job's machines take in a value at most.
func claimBytes(jobID string, machines []string) int {
	total := entryBytes(jobID) + len(":[]")
	for _, machine := range machines {
		total += entryBytes(machine)
	}
	return total
}

// ByMachine is the job that each claimed machine is claimed for.
func (c Claims) ByMachine() map[string]string {
	jobOf := map[string]string{}
	for jobID, machines := range c {
		for _, machine := range machines {
			jobOf[machine] = jobID
		}
	}
	return jobOf
}
