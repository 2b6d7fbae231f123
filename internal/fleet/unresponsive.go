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

// UnresponsivePrefix is the prefix of the lists of machines that their owners do not
// hear, one for each controller. A machine's own record does not say it: a cut
// that silences hundreds at once would take hundreds of changes, when changes
// are needed most.
const UnresponsivePrefix = "quiet/"

// outboundMark stands before the names of machines on such a list that answer commands though
// they send no reports. A controller of an earlier version knows no machine of that name.
const outboundMark = "mute:"

// Unresponsiveness is what an owner says of a machine that sends it no reports: since when, and
// whether it answers commands all the same.
type Unresponsiveness struct {
	Since               time.Time
	OutboundPartitioned bool
}

// UnresponsiveSet is one owner's list.
type UnresponsiveSet map[string]Unresponsiveness

// UnresponsiveEntry is a machine's entry in a list.
func UnresponsiveEntry(machine string, mute bool) string {
	if mute {
		return outboundMark + machine
	}
	return machine
}

// UnresponsiveList is what one key says. An owner has further ones where the first cannot hold all
// of its unresponsive machines.
type UnresponsiveList struct {
	// OutboundPartitioned is by machine whether it answers commands.
	OutboundPartitioned map[string]bool
	// Since is the epoch that ties an owner's lists to one another, 0 where there is but one.
	Since uint64
}

// UnresponsiveLists is an owner's lists by number, from 1.
type UnresponsiveLists map[int]UnresponsiveList

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

// UnresponsiveKey is the key of an owner's list.
func UnresponsiveKey(owner string, number int) string {
	if number == 1 {
		return UnresponsivePrefix + owner
	}
	return UnresponsivePrefix + owner + "/" + moreMark + strconv.Itoa(number)
}

// ParseUnresponsiveKey is the owner and the number of a key without QuietPrefix.
func ParseUnresponsiveKey(name string) (owner string, number int) {
	if i := strings.LastIndex(name, "/"+moreMark); i >= 0 {
		if n, err := strconv.Atoi(name[i+1+len(moreMark):]); err == nil && n > 1 {
			return name[:i], n
		}
	}
	return name, 1
}

// DecodeUnresponsiveList reads the value of a key.
func DecodeUnresponsiveList(b []byte) (UnresponsiveList, error) {
	var entries []string
	if err := json.Unmarshal(b, &entries); err != nil {
		return UnresponsiveList{}, err
	}
	list := UnresponsiveList{OutboundPartitioned: map[string]bool{}}
	for _, entry := range entries {
		if since, is := strings.CutPrefix(entry, moreMark); is {
			list.Since, _ = strconv.ParseUint(since, 10, 64)
			continue
		}
		machine, mute := strings.CutPrefix(entry, outboundMark)
		list.OutboundPartitioned[machine] = mute
	}
	return list, nil
}

// Entries is a list as it is stored.
func (l UnresponsiveList) Entries() []string {
	var out []string
	for _, machine := range slices.Sorted(maps.Keys(l.OutboundPartitioned)) {
		out = append(out, UnresponsiveEntry(machine, l.OutboundPartitioned[machine]))
	}
	if l.Since != 0 {
		out = append(out, moreMark+strconv.FormatUint(l.Since, 10))
	}
	return out
}

// Same tells whether two lists say the same.
func (l UnresponsiveList) Same(other UnresponsiveList) bool {
	return l.Since == other.Since && maps.Equal(l.OutboundPartitioned, other.OutboundPartitioned)
}

// belongsToFirst tells whether a list belongs to the first one.
func (ls UnresponsiveLists) belongsToFirst(number int) bool {
	return number == 1 || ls[1].Since != 0 && ls[number].Since == ls[1].Since
}

// Join is what an owner's lists say together, following on what they said earlier.
func (ls UnresponsiveLists) Join(old UnresponsiveSet, now time.Time) UnresponsiveSet {
	q := UnresponsiveSet{}
	for _, number := range slices.Sorted(maps.Keys(ls)) {
		if !ls.belongsToFirst(number) {
			continue
		}
		for machine, mute := range ls[number].OutboundPartitioned {
			q[machine] = Unresponsiveness{now, mute}
			if was, is := old[machine]; is {
				q[machine] = Unresponsiveness{was.Since, mute}
			}
		}
	}
	return q
}

// Divide is the lists that an owner should have for its unresponsive machines, with values
// of up to limit bytes: one as long as that holds them. Where there are more, a machine
// stays on its list, for the lists are written each by itself. What MaxQuietLists cannot
// hold follows as others leave.
func (ls UnresponsiveLists) Divide(unheard map[string]bool, epoch uint64, limit int) UnresponsiveLists {
	only := UnresponsiveList{OutboundPartitioned: unheard}
	size := len("[]")
	for machine, mute := range unheard {
		size += entryBytes(UnresponsiveEntry(machine, mute))
	}
	if size <= limit {
		return UnresponsiveLists{1: only}
	}
	only.Since = cmp.Or(ls[1].Since, epoch)
	out := UnresponsiveLists{}
	room := [tuning.MaxUnresponsiveLists + 1]int{}
	add := func(number int, machine string) bool {
		bytes := entryBytes(UnresponsiveEntry(machine, unheard[machine]))
		if bytes > room[number] {
			return false
		}
		room[number] -= bytes
		out[number].OutboundPartitioned[machine] = unheard[machine]
		return true
	}
	placed := map[string]bool{}
	for number := 1; number <= tuning.MaxUnresponsiveLists; number++ {
		out[number] = UnresponsiveList{OutboundPartitioned: map[string]bool{}, Since: only.Since}
		room[number] = limit - len("[]") - entryBytes(moreMark+strconv.FormatUint(only.Since, 10))
		if !ls.belongsToFirst(number) {
			continue
		}
		for _, machine := range slices.Sorted(maps.Keys(ls[number].OutboundPartitioned)) {
			if _, is := unheard[machine]; is && !placed[machine] {
				placed[machine] = add(number, machine)
			}
		}
	}
	number := 1
	for _, machine := range slices.Sorted(maps.Keys(unheard)) {
		for number <= tuning.MaxUnresponsiveLists && !placed[machine] {
			if placed[machine] = add(number, machine); !placed[machine] {
				number++
			}
		}
	}
	maps.DeleteFunc(
		out,
		func(number int, list UnresponsiveList) bool { return number > 1 && len(list.OutboundPartitioned) == 0 },
	)
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
