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

func TestQuiet(t *testing.T) {
	t0 := time.Unix(0, 0)
	read := func(value string, old UnresponsiveSet, now time.Time) (UnresponsiveSet, error) {
		list, err := DecodeUnresponsiveList([]byte(value))
		return UnresponsiveLists{1: list}.Join(old, now), err
	}
	q, err := read(`["i-1","i-2"]`, nil, t0)
	if err != nil || len(q) != 2 {
		t.Fatal(q, err)
	}
	q, err = read(`["i-2","i-3"]`, q, t0.Add(time.Second))
	if err != nil || len(q) != 2 || !q["i-2"].Since.Equal(t0) || !q["i-3"].Since.Equal(t0.Add(time.Second)) {
		t.Error(q, err)
	}
	if _, err := DecodeUnresponsiveList([]byte(`{}`)); err == nil {
		t.Error("not a list")
	}
	for s, cut := range map[ZoneHealth]bool{{Unresponsive: 3, All: 3}: false, {Unresponsive: 5, All: 10}: false, {Unresponsive: 6, All: 10}: true} {
		if s.Partitioned(4, 0.5) != cut {
			t.Errorf("%+v", s)
		}
	}
}

// quietStore keeps an owner's lists as the state service does, and reads them back.
type quietStore struct {
	t      *testing.T
	values map[string][]byte
}

func (s *quietStore) write(lists UnresponsiveLists) {
	s.t.Helper()
	s.values = map[string][]byte{}
	for number, list := range lists {
		b, err := json.Marshal(list.Entries())
		if err != nil {
			s.t.Fatal(err)
		}
		s.values[UnresponsiveKey("n1", number)] = b
	}
}

func (s *quietStore) read() UnresponsiveLists {
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

// All unresponsive machines of an owner are told, whatever a value holds: in one list of the
// former form as long as that holds them, and machines stay on their list when others come
// and go.
func TestQuietLists(t *testing.T) {
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
			unheard := map[string]bool{}
			for i := range c.machines {
				unheard[names[c.names](i)] = i%3 == 0 && c.machines > 1000
			}
			st := &quietStore{t: t}
			st.write(UnresponsiveLists{}.Divide(unheard, 7, c.limit))
			if len(st.values) != c.lists {
				t.Errorf("%d lists, not %d", len(st.values), c.lists)
			}
			st.holds(unheard, c.limit)
			before := st.read()
			if again := before.Divide(unheard, 9, c.limit); !maps.EqualFunc(again, before, UnresponsiveList.Same) {
				t.Error("what is told already is told otherwise")
			}
			// One is heard again, one that sorts before all is not: one list for each changes at most.
			for machine := range unheard {
				delete(unheard, machine)
				break
			}
			unheard["a"] = false
			st.write(before.Divide(unheard, 9, c.limit))
			st.holds(unheard, c.limit)
			changed := 0
			for number, list := range st.read() {
				if !list.Same(before[number]) {
					changed++
				}
			}
			if changed > 2 {
				t.Errorf("%d lists changed", changed)
			}
		})
	}
}

// holds checks that the stored lists say what they should, each in a value.
func (s *quietStore) holds(unheard map[string]bool, limit int) {
	s.t.Helper()
	for key, value := range s.values {
		if len(value) > limit || len(key) > 200 || strings.Contains(key, " ") {
			s.t.Errorf("%d bytes in %s", len(value), key)
		}
	}
	said := map[string]bool{}
	for machine, silence := range s.read().Join(nil, time.Unix(0, 0)) {
		said[machine] = silence.OutboundPartitioned
	}
	if !maps.Equal(said, unheard) {
		s.t.Errorf("%d machines are told of %d", len(said), len(unheard))
	}
}

// A controller of the former version reads the first list and knows nobody whom a further
// one could be of; it takes the first away alone, and then the others count for nothing,
// also when the owner is back.
func TestQuietListsOfFormerVersion(t *testing.T) {
	unheard := map[string]bool{}
	for i := range 2000 {
		unheard[fmt.Sprintf("i-%06d", i)] = i%2 == 0
	}
	st := &quietStore{t: t}
	st.write(UnresponsiveLists{}.Divide(unheard, 7, 8<<10))
	former := map[string]map[string]bool{}
	for key, value := range st.values {
		var entries []string
		if err := json.Unmarshal(value, &entries); err != nil {
			t.Fatal(err)
		}
		owner := strings.TrimPrefix(key, "quiet/")
		former[owner] = map[string]bool{}
		for _, entry := range entries {
			machine, mute := strings.CutPrefix(entry, "mute:")
			former[owner][machine] = mute
		}
	}
	for machine, mute := range former["n1"] {
		if told, is := unheard[machine]; machine != "more:7" && (!is || told != mute) {
			t.Errorf("%s %v", machine, mute)
		}
	}
	if len(former["n1"]) < 500 || len(former) != 4 {
		t.Errorf("%d machines of n1 read, %d owners", len(former["n1"]), len(former))
	}
	lists := st.read()
	delete(lists, 1)
	if q := lists.Join(nil, time.Unix(0, 0)); len(q) != 0 {
		t.Errorf("%d machines without a first list", len(q))
	}
	if lists[1] = (UnresponsiveList{OutboundPartitioned: map[string]bool{"i-9": false}}); len(
		lists.Join(nil, time.Unix(0, 0)),
	) != 1 {
		t.Error("what was told before the owner left counts")
	}
	if next := lists.Divide(unheard, 9, 8<<10); next[1].Since != 9 || len(next.Join(nil, time.Unix(0, 0))) != 2000 {
		t.Errorf("since %d, %d machines", next[1].Since, len(next.Join(nil, time.Unix(0, 0))))
	}
	lists[1] = UnresponsiveList{OutboundPartitioned: map[string]bool{"i-9": false}, Since: 9}
	if len(lists.Join(nil, time.Unix(0, 0))) != 1 {
		t.Error("further lists of another time count")
	}
}
