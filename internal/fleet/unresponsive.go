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

// UnresponsivePrefix is the key prefix of the lists of unresponsive machines: those from which
// their owner receives no heartbeats. Each controller has a list for the machines that it owns.
// The machine records do not store this: a partition that cuts off hundreds of machines would
// cause hundreds of writes at the time when writes are needed most.
const UnresponsivePrefix = "quiet/"

// outboundPrefix precedes, in a list, the name of a machine that answers commands although its
// heartbeats do not arrive. Controllers of earlier versions take the prefixed name for that of an
// unknown machine.
const outboundPrefix = "mute:"

// Unresponsiveness is an owner's report on a machine from which it receives no heartbeats: since
// when, and whether the machine still answers commands.
type Unresponsiveness struct {
	Since               time.Time
	OutboundPartitioned bool
}

// UnresponsiveSet holds one owner's unresponsive machines, by name.
type UnresponsiveSet map[string]Unresponsiveness

// UnresponsiveEntry returns a machine's entry in a stored list.
func UnresponsiveEntry(machine string, outboundPartitioned bool) string {
	if outboundPartitioned {
		return outboundPrefix + machine
	}
	return machine
}

// UnresponsiveList is the list stored under one key. An owner has further lists if the first
// cannot hold all of its unresponsive machines.
type UnresponsiveList struct {
	// OutboundPartitioned holds, by machine, whether it still answers commands.
	OutboundPartitioned map[string]bool
	// SinceEpoch is the epoch that links the lists of one owner, 0 if there is only one list.
	SinceEpoch uint64
}

// UnresponsiveLists holds an owner's lists by number, from 1.
type UnresponsiveLists map[int]UnresponsiveList

// continuationPrefix precedes the number in the keys of further lists, and SinceEpoch in the
// entry that links the lists of an owner.
//
// A controller of the previous version can still read the first list: it sees an additional
// machine named "more:EPOCH", which does not exist. It takes a further list for that of a
// controller named "OWNER/more:2", to which it sends no requests. It thus knows as much as with a
// list truncated at that point, as lists were in that version.
//
// When the owner leaves the view, such a controller removes only the first list. The further
// lists are then ignored, even if the owner returns and writes a new first list: SinceEpoch is an
// epoch of the view in which the owner had no further lists, and the epoch increases each time the
// owner leaves.
const continuationPrefix = "more:"

// UnresponsiveKey returns the key of an owner's list with the given number, from 1.
func UnresponsiveKey(owner string, number int) string {
	if number == 1 {
		return UnresponsivePrefix + owner
	}
	return UnresponsivePrefix + owner + "/" + continuationPrefix + strconv.Itoa(number)
}

// ParseUnresponsiveKey returns the owner and the list number of a key, given without
// UnresponsivePrefix.
func ParseUnresponsiveKey(name string) (owner string, number int) {
	if slash := strings.LastIndex(name, "/"+continuationPrefix); slash >= 0 {
		number, err := strconv.Atoi(name[slash+1+len(continuationPrefix):])
		if err == nil && number > 1 {
			return name[:slash], number
		}
	}
	return name, 1
}

// DecodeUnresponsiveList decodes a stored list.
func DecodeUnresponsiveList(value []byte) (UnresponsiveList, error) {
	var entries []string
	if err := json.Unmarshal(value, &entries); err != nil {
		return UnresponsiveList{}, fmt.Errorf("decode list of unresponsive machines: %w", err)
	}
	list := UnresponsiveList{OutboundPartitioned: map[string]bool{}}
	for _, entry := range entries {
		if epoch, found := strings.CutPrefix(entry, continuationPrefix); found {
			list.SinceEpoch, _ = strconv.ParseUint(epoch, 10, 64)
			continue
		}
		machine, outboundPartitioned := strings.CutPrefix(entry, outboundPrefix)
		list.OutboundPartitioned[machine] = outboundPartitioned
	}
	return list, nil
}

// Entries returns the entries of the list as they are stored.
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

// epochEntry returns the entry that links a list to the owner's other lists.
func epochEntry(epoch uint64) string {
	return continuationPrefix + strconv.FormatUint(epoch, 10)
}

// Equal reports whether two lists are equal.
func (l UnresponsiveList) Equal(other UnresponsiveList) bool {
	return l.SinceEpoch == other.SinceEpoch && maps.Equal(l.OutboundPartitioned, other.OutboundPartitioned)
}

// belongsToFirst reports whether a list is the first one or continues it.
func (ls UnresponsiveLists) belongsToFirst(number int) bool {
	return number == 1 || ls[1].SinceEpoch != 0 && ls[number].SinceEpoch == ls[1].SinceEpoch
}

// Join returns the machines of all lists that belong to the first one. Machines that are already in
// before keep their Since time; for the others it is now.
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

// Divide returns the lists that an owner has to store for its unresponsive machines, which are
// given by name with whether they answer commands. Each list takes up to limit bytes. There is a
// single list as long as it holds all machines. Otherwise a machine stays on its present list,
// because each list is written separately. Machines that do not fit on tuning.MaxUnresponsiveLists
// lists are added once others are removed.
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

// listDivision distributes unresponsive machines over lists of limited size.
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

// keep puts the machines of a previous list that are still unresponsive on the list with the same
// number, as far as they fit.
func (d *listDivision) keep(number int, previous UnresponsiveList) {
	for _, machine := range slices.Sorted(maps.Keys(previous.OutboundPartitioned)) {
		if _, remains := d.unresponsive[machine]; remains && !d.placed[machine] {
			d.add(number, machine)
		}
	}
}

// addRemaining puts each machine that is on no list yet on the first list with free space.
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

// add puts a machine on a list and reports whether there was space for it.
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

// entryBytes returns the maximum number of bytes that an entry takes in an encoded list: quotes, a
// comma, and six bytes for each byte that JSON may escape.
func entryBytes(entry string) int {
	total := len(`"",`) + len(entry)
	for _, c := range []byte(entry) {
		if c < ' ' || c > '~' || strings.IndexByte(`"\<>&`, c) >= 0 {
			total += len(`\u0000`) - 1
		}
	}
	return total
}
