package fleet

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// UnresponsivePrefix is the prefix of the lists of machines from which their owners receive
// no heartbeats, one list for each controller. A machine's own record does not say it: a
// partition that cuts off hundreds at once would take hundreds of writes, at the time when
// writes are needed most.
const UnresponsivePrefix = "quiet/"

// outboundMark stands before the names of machines on such a list that answer commands though
// they send no heartbeats. A controller of an earlier version knows no machine of that name.
const outboundMark = "mute:"

// Unresponsiveness is what an owner says of a machine that sends it no heartbeats: since when,
// and whether it answers commands all the same.
type Unresponsiveness struct {
	Since               time.Time
	OutboundPartitioned bool
}

// UnresponsiveSet is one owner's unresponsive machines, by name.
type UnresponsiveSet map[string]Unresponsiveness

// UnresponsiveEntry is a machine's entry in a stored list.
func UnresponsiveEntry(machine string, outboundPartitioned bool) string {
	if outboundPartitioned {
		return outboundMark + machine
	}
	return machine
}

// UnresponsiveList is what one key says. An owner has further ones where the first cannot hold
// all of its unresponsive machines.
type UnresponsiveList struct {
	// OutboundPartitioned is by machine whether it answers commands.
	OutboundPartitioned map[string]bool
	// SinceEpoch is the epoch that ties an owner's lists to one another, 0 where there is but one.
	SinceEpoch uint64
}

// UnresponsiveLists is an owner's lists by number, from 1.
type UnresponsiveLists map[int]UnresponsiveList

// continuationMark stands in the names of further lists' keys and before Since in all of an
// owner's lists.
//
// A controller of the former version reads the first list as ever, with a machine of the
// name "more:EPOCH" in it that does not exist, and takes a further list for that of a
// controller of the name "OWNER/more:2", to which it sends no request: it knows what it would
// know if the list were cut off there, as it was in that version. It also removes the first
// list alone when the owner leaves the view. The others then count for nothing, and not when
// the owner is back with another first list either: Since is an epoch of the view in which
// the owner was without further lists, and each time that it leaves the epoch goes up.
const continuationMark = "more:"

// UnresponsiveKey is the key of an owner's list, by its number from 1.
func UnresponsiveKey(owner string, number int) string {
	if number == 1 {
		return UnresponsivePrefix + owner
	}
	return UnresponsivePrefix + owner + "/" + continuationMark + strconv.Itoa(number)
}

// ParseUnresponsiveKey is the owner and the number of a key without UnresponsivePrefix.
func ParseUnresponsiveKey(name string) (owner string, number int) {
	if slash := strings.LastIndex(name, "/"+continuationMark); slash >= 0 {
		number, err := strconv.Atoi(name[slash+1+len(continuationMark):])
		if err == nil && number > 1 {
			return name[:slash], number
		}
	}
	return name, 1
}

// DecodeUnresponsiveList reads the value of a key.
func DecodeUnresponsiveList(value []byte) (UnresponsiveList, error) {
	var entries []string
	if err := json.Unmarshal(value, &entries); err != nil {
		return UnresponsiveList{}, fmt.Errorf("decode list of unresponsive machines: %w", err)
	}
	list := UnresponsiveList{OutboundPartitioned: map[string]bool{}}
	for _, entry := range entries {
		if epoch, found := strings.CutPrefix(entry, continuationMark); found {
			list.SinceEpoch, _ = strconv.ParseUint(epoch, 10, 64)
			continue
		}
		machine, outboundPartitioned := strings.CutPrefix(entry, outboundMark)
		list.OutboundPartitioned[machine] = outboundPartitioned
	}
	return list, nil
}

// Entries is a list as it is stored.
func (l UnresponsiveList) Entries() []string {
	var entries []string
	for _, machine := range slices.Sorted(maps.Keys(l.OutboundPartitioned)) {
		entries = append(entries, UnresponsiveEntry(machine, l.OutboundPartitioned[machine]))
	}
	if l.SinceEpoch != 0 {
		entries = append(entries, epochEntry(l.SinceEpoch))
	}
	return entries
}

// epochEntry is the entry that ties a list to the owner's others.
func epochEntry(epoch uint64) string {
	return continuationMark + strconv.FormatUint(epoch, 10)
}

// Equal tells whether two lists say the same.
func (l UnresponsiveList) Equal(other UnresponsiveList) bool {
	return l.SinceEpoch == other.SinceEpoch && maps.Equal(l.OutboundPartitioned, other.OutboundPartitioned)
}

// belongsToFirst tells whether a list is the first, or continues it.
func (ls UnresponsiveLists) belongsToFirst(number int) bool {
	return number == 1 || ls[1].SinceEpoch != 0 && ls[number].SinceEpoch == ls[1].SinceEpoch
}

// Join is what an owner's lists say together. A machine that was unresponsive before keeps
// the time since which it is; for others it is now.
func (ls UnresponsiveLists) Join(before UnresponsiveSet, now time.Time) UnresponsiveSet {
	joined := UnresponsiveSet{}
	for _, number := range slices.Sorted(maps.Keys(ls)) {
		if !ls.belongsToFirst(number) {
			continue
		}
		for machine, outboundPartitioned := range ls[number].OutboundPartitioned {
			since := now
			if earlier, found := before[machine]; found {
				since = earlier.Since
			}
			joined[machine] = Unresponsiveness{Since: since, OutboundPartitioned: outboundPartitioned}
		}
	}
	return joined
}

// Divide is the lists that an owner should have for its unresponsive machines (by name,
// whether they answer commands), with values of up to limit bytes: one list as long as that
// holds them. Where there are more, a machine stays on its list, since each list is written
// by itself. What tuning.MaxUnresponsiveLists cannot hold follows as others leave.
func (ls UnresponsiveLists) Divide(unresponsive map[string]bool, epoch uint64, limit int) UnresponsiveLists {
	size := len("[]")
	for machine, outboundPartitioned := range unresponsive {
		size += entryBytes(UnresponsiveEntry(machine, outboundPartitioned))
	}
	if size <= limit {
		return UnresponsiveLists{1: {OutboundPartitioned: unresponsive}}
	}
	division := newListDivision(unresponsive, cmp.Or(ls[1].SinceEpoch, epoch), limit)
	for number := 1; number <= tuning.MaxUnresponsiveLists; number++ {
		if ls.belongsToFirst(number) {
			division.keep(number, ls[number])
		}
	}
	division.addRemaining()
	maps.DeleteFunc(division.lists, func(number int, list UnresponsiveList) bool {
		return number > 1 && len(list.OutboundPartitioned) == 0
	})
	return division.lists
}

// listDivision spreads unresponsive machines over lists of limited size.
type listDivision struct {
	unresponsive map[string]bool
	lists        UnresponsiveLists
	freeBytes    [tuning.MaxUnresponsiveLists + 1]int // by list number
	placed       map[string]bool
}

func newListDivision(unresponsive map[string]bool, epoch uint64, limit int) *listDivision {
	d := &listDivision{
		unresponsive: unresponsive,
		lists:        UnresponsiveLists{},
		placed:       map[string]bool{},
	}
	for number := 1; number <= tuning.MaxUnresponsiveLists; number++ {
		d.lists[number] = UnresponsiveList{OutboundPartitioned: map[string]bool{}, SinceEpoch: epoch}
		d.freeBytes[number] = limit - len("[]") - entryBytes(epochEntry(epoch))
	}
	return d
}

// keep leaves the machines of a former list on the list of that number, as far as it holds them.
func (d *listDivision) keep(number int, former UnresponsiveList) {
	for _, machine := range slices.Sorted(maps.Keys(former.OutboundPartitioned)) {
		if _, remains := d.unresponsive[machine]; remains && !d.placed[machine] {
			d.add(number, machine)
		}
	}
}

// addRemaining puts the machines that are on no list yet on the first ones with free space.
func (d *listDivision) addRemaining() {
	number := 1
	for _, machine := range slices.Sorted(maps.Keys(d.unresponsive)) {
		for number <= tuning.MaxUnresponsiveLists && !d.placed[machine] {
			if !d.add(number, machine) {
				number++
			}
		}
	}
}

// add puts a machine on a list, and tells whether there was space for it.
func (d *listDivision) add(number int, machine string) bool {
	needed := entryBytes(UnresponsiveEntry(machine, d.unresponsive[machine]))
	if needed > d.freeBytes[number] {
		return false
	}
	d.freeBytes[number] -= needed
	d.lists[number].OutboundPartitioned[machine] = d.unresponsive[machine]
	d.placed[machine] = true
	return true
}

// entryBytes is the number of bytes that an entry takes in a value at most: quotes, a comma,
// and six bytes for whatever JSON may escape.
func entryBytes(entry string) int {
	total := len(`"",`) + len(entry)
	for _, c := range []byte(entry) {
		if c < ' ' || c > '~' || strings.IndexByte(`"\<>&`, c) >= 0 {
			total += len(`\u0000`) - 1
		}
	}
	return total
}
