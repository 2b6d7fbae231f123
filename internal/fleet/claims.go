package fleet

import "encoding/json"

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

// ByHost is the job that each claimed machine is claimed for.
func (c Claims) ByHost() map[string]string {
	out := map[string]string{}
	for uid, hosts := range c {
		for _, h := range hosts {
			out[h] = uid
		}
	}
	return out
}
