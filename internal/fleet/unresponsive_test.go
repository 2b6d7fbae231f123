package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// joinOnlyList decodes an owner's only list. before is the set decoded from the owner's previous
// list.
func joinOnlyList(value []byte, before UnresponsiveSet, now time.Time) (UnresponsiveSet, error) {
	list, err := DecodeUnresponsiveList(value)
	return UnresponsiveLists{1: list}.Join(before, now), err
}

func TestUnresponsiveSinceFirstListed(t *testing.T) {
	start := time.Unix(0, 0)
	later := start.Add(time.Second)
	set, err := joinOnlyList([]byte(`["i-1","i-2"]`), nil, start)
	if err != nil || len(set) != 2 {
		t.Fatal(set, err)
	}
	set, err = joinOnlyList([]byte(`["i-2","i-3"]`), set, later)
	if err != nil || len(set) != 2 || !set["i-2"].Since.Equal(start) || !set["i-3"].Since.Equal(later) {
		t.Error(set, err)
	}
	if _, err := DecodeUnresponsiveList([]byte(`{}`)); err == nil {
		t.Error("a value that is not a list was accepted")
	}
}

// listStore stores an owner's lists by key, as the state service does.
type listStore struct {
	t      *testing.T
	values map[string][]byte
}

func (s *listStore) write(lists UnresponsiveLists) {
	s.t.Helper()
	s.values = map[string][]byte{}
	for number, list := range lists {
		value, err := json.Marshal(list.Entries())
		if err != nil {
			s.t.Fatal(err)
		}
		s.values[UnresponsiveKey("n1", number)] = value
	}
}

func (s *listStore) read() UnresponsiveLists {
	s.t.Helper()
	lists := UnresponsiveLists{}
	for key, value := range s.values {
		owner, number := ParseUnresponsiveKey(strings.TrimPrefix(key, UnresponsivePrefix))
		list, err := DecodeUnresponsiveList(value)
		if err != nil || owner != "n1" {
			s.t.Fatal(key, err)
		}
		lists[number] = list
	}
	return lists
}

// check checks that the stored lists hold exactly the given machines, and that each value has at
// most limit bytes.
func (s *listStore) check(unresponsive map[string]bool, limit int) {
	s.t.Helper()
	for key, value := range s.values {
		if len(value) > limit || len(key) > 200 || strings.Contains(key, " ") {
			s.t.Errorf("%d bytes in %s", len(value), key)
		}
	}
	listed := map[string]bool{}
	for machine, state := range s.read().Join(nil, time.Unix(0, 0)) {
		listed[machine] = state.OutboundPartitioned
	}
	if !maps.Equal(listed, unresponsive) {
		s.t.Errorf("%d machines are listed, want %d", len(listed), len(unresponsive))
	}
}

// All unresponsive machines of an owner are listed, for any maximum size of a value. As long as one
// list holds them all, it has the form of the previous version. Machines stay on their list when
// others are added and removed.
func TestUnresponsiveListsHoldAllMachines(t *testing.T) {
	names := map[string]func(i int) string{
		"usual": func(i int) string { return fmt.Sprintf("i-%06d", i) },
		"long":  func(i int) string { return fmt.Sprintf("%0*d", tuning.MaxMachineName, i) },
		"odd":   func(i int) string { return fmt.Sprintf("i-<%d>\"&\\é", i) },
	}
	for _, c := range []struct {
		names    string
		machines int
		limit    int
		lists    int
	}{
		{"usual", 0, 8 << 10, 1},
		{"usual", 1, 8 << 10, 1},
		{"usual", 744, 8 << 10, 1},
		{"usual", 745, 8 << 10, 2},
		{"usual", 1334, 8 << 10, 3},
		{"usual", 4000, 8 << 10, 7},
		{"usual", 4000, 16 << 10, 4},
		{"usual", 4000, 1 << 10, 51},
		{"long", 4000, 8 << 10, 77},
		{"odd", 4000, 8 << 10, 26},
	} {
		t.Run(fmt.Sprintf("%s-%d-of-%d", c.names, c.machines, c.limit), func(t *testing.T) {
			unresponsive := map[string]bool{}
			for i := range c.machines {
				unresponsive[names[c.names](i)] = i%3 == 0 && c.machines > 1000
			}
			stored := &listStore{t: t}
			stored.write(UnresponsiveLists{}.Divide(unresponsive, 7, c.limit))
			if len(stored.values) != c.lists {
				t.Errorf("%d lists, want %d", len(stored.values), c.lists)
			}
			stored.check(unresponsive, c.limit)
			before := stored.read()
			if again := before.Divide(unresponsive, 9, c.limit); !maps.EqualFunc(again, before, UnresponsiveList.Equal) {
				t.Error("the same machines are divided differently")
			}
			// Remove one machine and add one that sorts before all others: each changes at most one
			// list.
			for machine := range unresponsive {
				delete(unresponsive, machine)
				break
			}
			unresponsive["a"] = false
			stored.write(before.Divide(unresponsive, 9, c.limit))
			stored.check(unresponsive, c.limit)
			changed := 0
			for number, list := range stored.read() {
				if !list.Equal(before[number]) {
					changed++
				}
			}
			if changed > 2 {
				t.Errorf("%d lists changed", changed)
			}
		})
	}
}

// readAsPreviousVersion decodes all values as a controller of the previous version does: each as
// the list of one owner. The result holds, by owner and machine, whether the machine answers
// commands.
func readAsPreviousVersion(t *testing.T, values map[string][]byte) map[string]map[string]bool {
	t.Helper()
	owners := map[string]map[string]bool{}
	for key, value := range values {
		var entries []string
		if err := json.Unmarshal(value, &entries); err != nil {
			t.Fatal(err)
		}
		owner := strings.TrimPrefix(key, "quiet/")
		owners[owner] = map[string]bool{}
		for _, entry := range entries {
			machine, outboundPartitioned := strings.CutPrefix(entry, "mute:")
			owners[owner][machine] = outboundPartitioned
		}
	}
	return owners
}

// twoThousandUnresponsive returns more machines than one list of 8 KB holds.
func twoThousandUnresponsive() map[string]bool {
	unresponsive := map[string]bool{}
	for i := range 2000 {
		unresponsive[fmt.Sprintf("i-%06d", i)] = i%2 == 0
	}
	return unresponsive
}

// A controller of the previous version reads the first list, and takes the further lists for those
// of controllers that do not exist.
func TestUnresponsiveListsReadByPreviousVersion(t *testing.T) {
	unresponsive := twoThousandUnresponsive()
	stored := &listStore{t: t}
	stored.write(UnresponsiveLists{}.Divide(unresponsive, 7, 8<<10))
	owners := readAsPreviousVersion(t, stored.values)
	for machine, outboundPartitioned := range owners["n1"] {
		want, known := unresponsive[machine]
		if machine != "more:7" && (!known || want != outboundPartitioned) {
			t.Errorf("%s is read as outbound-partitioned %v", machine, outboundPartitioned)
		}
	}
	if len(owners["n1"]) < 500 || len(owners) != 4 {
		t.Errorf("%d machines of n1 read, %d owners", len(owners["n1"]), len(owners))
	}
}

// A controller of the previous version removes only the first list. The further lists are then
// ignored, even after the owner has returned.
func TestFurtherUnresponsiveListsAreIgnoredWithoutTheFirst(t *testing.T) {
	unresponsive := twoThousandUnresponsive()
	stored := &listStore{t: t}
	stored.write(UnresponsiveLists{}.Divide(unresponsive, 7, 8<<10))
	lists := stored.read()
	now := time.Unix(0, 0)
	delete(lists, 1)
	if set := lists.Join(nil, now); len(set) != 0 {
		t.Errorf("%d machines without a first list", len(set))
	}
	lists[1] = UnresponsiveList{OutboundPartitioned: map[string]bool{"i-9": false}}
	if len(lists.Join(nil, now)) != 1 {
		t.Error("further lists from before the owner left the view are not ignored")
	}
	if next := lists.Divide(unresponsive, 9, 8<<10); next[1].SinceEpoch != 9 || len(next.Join(nil, now)) != 2000 {
		t.Errorf("since epoch %d, %d machines", next[1].SinceEpoch, len(next.Join(nil, now)))
	}
	lists[1] = UnresponsiveList{OutboundPartitioned: map[string]bool{"i-9": false}, SinceEpoch: 9}
	if len(lists.Join(nil, now)) != 1 {
		t.Error("further lists of another epoch are not ignored")
	}
}
