package sharding

import (
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"
)

func TestRemovedMemberMovesOnlyItsMachines(t *testing.T) {
	all, fewer := []string{"a", "b", "c"}, []string{"a", "c"}
	count := map[string]int{}
	for i := range 300 {
		m := fmt.Sprintf("i-%06d", i)
		before, after := Owner(m, all), Owner(m, fewer)
		count[before]++
		if before != "b" && before != after {
			t.Fatalf("%s moved from %s to %s although %s is still a member", m, before, after, before)
		}
	}
	for _, m := range all {
		if count[m] < 60 {
			t.Errorf("%s owns only %d of 300 machines", m, count[m])
		}
	}
	if Owner("x", nil) != "" {
		t.Error("a machine has an owner although there are no members")
	}
}

// BenchmarkOwner computes the owners of 2,000 machines among five members, with the hash in use and
// with xxhash. The reason why xxhash is not used is in docs/notes/quotas.md.
func BenchmarkOwner(b *testing.B) {
	names := []string{"perch-0", "perch-1", "perch-2", "perch-3", "perch-4"}
	machines := make([]string, 2000)
	for i := range machines {
		machines[i] = fmt.Sprintf("i-%06d", i)
	}
	b.Run("in use", func(b *testing.B) {
		for b.Loop() {
			for _, m := range machines {
				Owner(m, names)
			}
		}
	})
	b.Run("xxhash", func(b *testing.B) {
		for b.Loop() {
			for _, m := range machines {
				best, owner := uint64(0), ""
				var h xxhash.Digest
				for _, n := range names {
					h.Reset()
					_, _ = h.WriteString(n)
					_, _ = h.Write([]byte{0})
					_, _ = h.WriteString(m)
					if v := h.Sum64(); owner == "" || v > best {
						best, owner = v, n
					}
				}
			}
		}
	})
}
