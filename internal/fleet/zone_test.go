package fleet

import "testing"

func TestZonePartitioned(t *testing.T) {
	for _, c := range []struct {
		name string
		zone ZoneHealth
		want bool
	}{
		{"fewer than the minimum", ZoneHealth{Unresponsive: 3, All: 3}, false},
		{"no more than the share", ZoneHealth{Unresponsive: 5, All: 10}, false},
		{"more than the share", ZoneHealth{Unresponsive: 6, All: 10}, true},
	} {
		if c.zone.Partitioned(4, 0.5) != c.want {
			t.Errorf("%s: %+v partitioned %v", c.name, c.zone, !c.want)
		}
	}
}
