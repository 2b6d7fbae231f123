package fleet

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// QuietPrefix is the prefix of the lists of machines that their owners do not
// hear, one for each controller. A machine's own record does not say it: a cut
// that silences hundreds at once would take hundreds of changes, when changes
// are needed most.
const QuietPrefix = "quiet/"

// muteMark stands before the names of machines on such a list that answer commands though
// they send no reports. A controller of an earlier version knows no machine of that name.
const muteMark = "mute:"

// Silence is what an owner says of a machine that sends it no reports: since when, and
// whether it answers commands all the same.
type Silence struct {
	Since time.Time
	Mute  bool
}

// Quiet is one owner's list.
type Quiet map[string]Silence

// QuietEntry is a machine's entry in a list.
func QuietEntry(host string, mute bool) string {
	if mute {
		return muteMark + host
	}
	return host
}

// QuietList is what one key says. An owner has further ones where the first cannot hold all
// of its unresponsive machines.
type QuietList struct {
	// Mute is by machine whether it answers commands.
	Mute map[string]bool
	// Since is the epoch that ties an owner's lists to one another, 0 where there is but one.
	Since uint64
}

// QuietLists is an owner's lists by number, from 1.
type QuietLists map[int]QuietList

// moreMark stands in the names of further lists' keys and before Since in all of an owner's
// lists.
//
// A controller of the former version reads the first list as ever, with a machine of the
// name "more:EPOCH" in it that nobody has, and takes a further list for that of a controller
// of the name "OWNER/more:2", whom it asks for nothing: it knows what it would know if the
// list were cut off there, as it was. It also removes the first list alone when the owner
// leaves the view. The others then count for nothing, and not when the owner is back with
// another first list either: Since is an epoch of the view in which the owner was without
// further lists, and each time that it leaves the epoch goes up.
const moreMark = "more:"

// QuietKey is the key of an owner's list.
func QuietKey(owner string, number int) string {
	if number == 1 {
		return QuietPrefix + owner
	}
	return QuietPrefix + owner + "/" + moreMark + strconv.Itoa(number)
}

// CutQuietKey is the owner and the number of a key without QuietPrefix.
func CutQuietKey(name string) (owner string, number int) {
	if i := strings.LastIndex(name, "/"+moreMark); i >= 0 {
		if n, err := strconv.Atoi(name[i+1+len(moreMark):]); err == nil && n > 1 {
			return name[:i], n
		}
	}
	return name, 1
}

// DecodeQuietList reads the value of a key.
func DecodeQuietList(b []byte) (QuietList, error) {
	var entries []string
	if err := json.Unmarshal(b, &entries); err != nil {
		return QuietList{}, err
	}
	list := QuietList{Mute: map[string]bool{}}
	for _, entry := range entries {
		if since, is := strings.CutPrefix(entry, moreMark); is {
			list.Since, _ = strconv.ParseUint(since, 10, 64)
			continue
		}
		host, mute := strings.CutPrefix(entry, muteMark)
		list.Mute[host] = mute
	}
	return list, nil
}

// Entries is a list as it is stored.
func (l QuietList) Entries() []string {
	var out []string
	for _, host := range slices.Sorted(maps.Keys(l.Mute)) {
		out = append(out, QuietEntry(host, l.Mute[host]))
	}
	if l.Since != 0 {
		out = append(out, moreMark+strconv.FormatUint(l.Since, 10))
	}
	return out
}

// Same tells whether two lists say the same.
func (l QuietList) Same(other QuietList) bool {
	return l.Since == other.Since && maps.Equal(l.Mute, other.Mute)
}

// counts tells whether a list belongs to the first one.
func (ls QuietLists) counts(number int) bool {
	return number == 1 || ls[1].Since != 0 && ls[number].Since == ls[1].Since
}

// Join is what an owner's lists say together, following on what they said earlier.
func (ls QuietLists) Join(old Quiet, now time.Time) Quiet {
	q := Quiet{}
	for _, number := range slices.Sorted(maps.Keys(ls)) {
		if !ls.counts(number) {
			continue
		}
		for host, mute := range ls[number].Mute {
			q[host] = Silence{now, mute}
			if was, is := old[host]; is {
				q[host] = Silence{was.Since, mute}
			}
		}
	}
	return q
}

// Divide is the lists that an owner should have for its unresponsive machines, with values
// of up to limit bytes: one as long as that holds them. Where there are more, a machine
// stays on its list, for the lists are written each by itself. What MaxQuietLists cannot
// hold follows as others leave.
func (ls QuietLists) Divide(unheard map[string]bool, epoch uint64, limit int) QuietLists {
	only := QuietList{Mute: unheard}
	size := len("[]")
	for host, mute := range unheard {
		size += entryBytes(QuietEntry(host, mute))
	}
	if size <= limit {
		return QuietLists{1: only}
	}
	only.Since = cmp.Or(ls[1].Since, epoch)
	out := QuietLists{}
	room := [tuning.MaxQuietLists + 1]int{}
	add := func(number int, host string) bool {
		bytes := entryBytes(QuietEntry(host, unheard[host]))
		if bytes > room[number] {
			return false
		}
		room[number] -= bytes
		out[number].Mute[host] = unheard[host]
		return true
	}
	placed := map[string]bool{}
	for number := 1; number <= tuning.MaxQuietLists; number++ {
		out[number] = QuietList{Mute: map[string]bool{}, Since: only.Since}
		room[number] = limit - len("[]") - entryBytes(moreMark+strconv.FormatUint(only.Since, 10))
		if !ls.counts(number) {
			continue
		}
		for _, host := range slices.Sorted(maps.Keys(ls[number].Mute)) {
			if _, is := unheard[host]; is && !placed[host] {
				placed[host] = add(number, host)
			}
		}
	}
	number := 1
	for _, host := range slices.Sorted(maps.Keys(unheard)) {
		for number <= tuning.MaxQuietLists && !placed[host] {
			if placed[host] = add(number, host); !placed[host] {
				number++
			}
		}
	}
	maps.DeleteFunc(out, func(number int, list QuietList) bool { return number > 1 && len(list.Mute) == 0 })
	return out
}

// entryBytes is what an entry takes of a value at most: quotes, a comma, and six bytes for
// whatever JSON may write as such.
func entryBytes(entry string) int {
	n := len(`"",`) + len(entry)
	for _, c := range []byte(entry) {
		if c < ' ' || c > '~' || strings.IndexByte(`"\<>&`, c) >= 0 {
			n += len(`\u0000`) - 1
		}
	}
	return n
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
