package fleet

import (
	"encoding/json"
	"time"
)

// QuietPrefix is the prefix of the lists of machines that their owners do not
// hear, one for each controller. A machine's own record does not say it: a cut
// that silences hundreds at once would take hundreds of changes, when changes
// are needed most.
const QuietPrefix = "quiet/"

// Quiet is one owner's list, with the time since when each machine is on it.
type Quiet map[string]time.Time

// DecodeQuiet reads a list that follows on an earlier one.
func DecodeQuiet(b []byte, old Quiet, now time.Time) (Quiet, error) {
	var hosts []string
	if err := json.Unmarshal(b, &hosts); err != nil {
		return nil, err
	}
	q := Quiet{}
	for _, h := range hosts {
		q[h] = now
		if since, was := old[h]; was {
			q[h] = since
		}
	}
	return q, nil
}

// Site counts the machines of a zone, or of an owner, to tell one that is cut off
// from machines that have stopped.
type Site struct{ Quiet, All int }

// Cut tells whether so many of its machines are quiet that the way to it is
// the likelier cause. Machines behind a cut go on working: they are only given
// up when the cloud says that they have stopped.
func (s Site) Cut(least int, share float64) bool {
	return s.Quiet >= least && float64(s.Quiet) > share*float64(s.All)
}
