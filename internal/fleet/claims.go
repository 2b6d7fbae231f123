package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// ClaimsKey is the key of the machines claimed for gangs that are being placed. All claims are
// stored in one value: with one write per machine, claiming and releasing the machines of a large
// gang used up the leader's write rate for seconds.
//
// Only the leader writes this key. A placement by a machine's owner has the key's revision as a
// precondition, so that a placement decided before a claim is not committed after it.
const ClaimsKey = "claims"

// Claims holds the claimed machines, by job.
type Claims map[string][]string

// DecodeClaims decodes the value of ClaimsKey or of a key that continues it. Without a value,
// nothing is claimed.
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

// continuationsEntry is an entry of the first value that holds, in place of a job's machines, the
// numbers of the values that continue the claims. All values are written in one transaction, so
// the revision of the first one covers them all.
//
// A controller of the previous version takes the entry for a job of that name that claims machines
// which do not exist, and knows only the claims of the first value. It may place a task on a
// machine claimed in a further value; the machine then lacks capacity for the gang's task, as if
// the other task had been placed just before the claim. When such a controller leads, it writes the
// first value without this entry, and the further values are ignored.
const continuationsEntry = "more"

// ClaimsKeyOf returns the key of the value with the given number, from 1.
func ClaimsKeyOf(number int) string {
	if number == 1 {
		return ClaimsKey
	}
	return ClaimsKey + "/" + continuationsEntry + ":" + strconv.Itoa(number)
}

// ClaimsNumber returns the number of the value stored under a key, 0 if it is not a key of claims.
func ClaimsNumber(key string) int {
	if key == ClaimsKey {
		return 1
	}
	digits, found := strings.CutPrefix(key, ClaimsKey+"/"+continuationsEntry+":")
	if number, err := strconv.Atoi(digits); found && err == nil && number > 1 {
		return number
	}
	return 0
}

// JoinClaims returns the claims of all values, which are given by number. Values that the first one
// does not refer to are ignored.
func JoinClaims(values map[int]Claims) Claims {
	first := values[1]
	if first[continuationsEntry] == nil {
		return first
	}
	joined := Claims{}
	add := func(claims Claims) {
		for jobID, machines := range claims {
			if jobID != continuationsEntry {
				joined[jobID] = append(slices.Clone(joined[jobID]), machines...)
			}
		}
	}
	add(first)
	for _, number := range first.Continuations() {
		add(values[number])
	}
	return joined
}

// Continuations returns the numbers of the values that continue a first value.
func (c Claims) Continuations() []int {
	var numbers []int
	for _, digits := range c[continuationsEntry] {
		if number, err := strconv.Atoi(digits); err == nil {
			numbers = append(numbers, number)
		}
	}
	return numbers
}

// Divide splits the claims into values of up to limit bytes each. It keeps the order of a job's
// machines.
func (c Claims) Divide(limit int) []Claims {
	size := len("{}")
	for jobID, machines := range c {
		size += claimBytes(jobID, machines)
	}
	if size <= limit {
		return []Claims{c}
	}
	// The first value also holds the numbers of the others.
	numberBytes := claimBytes(continuationsEntry, slices.Repeat([]string{"100"}, size/max(limit/2, 1)+1))
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
		values[0][continuationsEntry] = append(values[0][continuationsEntry], strconv.Itoa(i+2))
	}
	return values
}

// claimBytes returns the maximum number of bytes that a job's machines take in an encoded value.
func claimBytes(jobID string, machines []string) int {
	total := entryBytes(jobID) + len(":[]")
	for _, machine := range machines {
		total += entryBytes(machine)
	}
	return total
}

// ByMachine returns, by machine, the job for which it is claimed.
func (c Claims) ByMachine() map[string]string {
	jobOf := map[string]string{}
	for jobID, machines := range c {
		for _, machine := range machines {
			jobOf[machine] = jobID
		}
	}
	return jobOf
}
