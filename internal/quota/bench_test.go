package quota

import (
	"testing"

	"github.com/benbjohnson/immutable"
)

// persistent is an account whose use is a persistent map, which a copy shares: the
// other way that was weighed (docs/notes/quotas.md).
type persistent struct {
	tree *Tree
	used *immutable.Map[int, Amount]
}

func (p *persistent) charge(key Key, each Amount, count int) {
	p.tree.walkUp(p.tree.Leaf(key), func(i int, _ *Node) bool {
		before, _ := p.used.Get(i)
		p.used = p.used.Set(i, before.Add(each, count))
		return true
	})
}

// BenchmarkCloneAndCharge is what a scheduling cycle does: a copy, and 100 charges in it, on a
// tree of 1,000 leaves; once with the copy of a slice, once with a persistent map.
func BenchmarkCloneAndCharge(b *testing.B) {
	tree, keys := thousandLeaves(b)
	b.Run("copied", func(b *testing.B) {
		account := NewAccount(tree)
		b.ReportAllocs()
		for b.Loop() {
			attempt := account.Clone()
			for i := range 100 {
				attempt.Charge(keys[i*7%len(keys)], gpus(1), 1)
			}
		}
	})
	b.Run("persistent", func(b *testing.B) {
		p := persistent{tree, immutable.NewMap[int, Amount](nil)}
		for _, k := range keys {
			p.charge(k, gpus(1), 1)
		}
		b.ReportAllocs()
		for b.Loop() {
			attempt := p
			for i := range 100 {
				attempt.charge(keys[i*7%len(keys)], gpus(1), 1)
			}
		}
	})
	b.Run("copy alone", func(b *testing.B) {
		account := NewAccount(tree)
		b.ReportAllocs()
		for b.Loop() {
			_ = account.Clone()
		}
	})
}

// BenchmarkAllows is the check of one task on its way up the tree.
func BenchmarkAllows(b *testing.B) {
	tree, keys := thousandLeaves(b)
	account := NewAccount(tree)
	i := 0
	for b.Loop() {
		i++
		account.Allows(tree.Leaf(keys[i%len(keys)]), gpus(1), 1)
	}
}
