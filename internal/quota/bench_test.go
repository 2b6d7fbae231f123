package quota

import (
	"testing"

	"github.com/benbjohnson/immutable"
)

// persistentAccount is an account whose usage is in a persistent map that copies share. This is the
// alternative design that docs/notes/quotas.md compares.
type persistentAccount struct {
	tree *Tree
	used *immutable.Map[int, Amount]
}

func (p *persistentAccount) charge(key Key, each Amount, count int) {
	p.tree.walkUp(p.tree.Leaf(key), func(i int, _ *Node) bool {
		before, _ := p.used.Get(i)
		p.used = p.used.Set(i, before.Add(each, count))
		return true
	})
}

// BenchmarkCloneAndCharge copies an account of a tree with 1,000 leaves and makes 100 charges in
// the copy, as a scheduling cycle does. It compares copying a slice with using a persistent map.
func BenchmarkCloneAndCharge(b *testing.B) {
	tree, keys := thousandLeaves(b)
	b.Run("copied", func(b *testing.B) {
		account := NewAccount(tree)
		b.ReportAllocs()
		for b.Loop() {
			clone := account.Clone()
			for i := range 100 {
				clone.Charge(keys[i*7%len(keys)], gpus(1), 1)
			}
		}
	})
	b.Run("persistent", func(b *testing.B) {
		p := persistentAccount{tree, immutable.NewMap[int, Amount](nil)}
		for _, k := range keys {
			p.charge(k, gpus(1), 1)
		}
		b.ReportAllocs()
		for b.Loop() {
			clone := p
			for i := range 100 {
				clone.charge(keys[i*7%len(keys)], gpus(1), 1)
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

// BenchmarkAllows checks one task against the limits of its leaf and of all ancestors.
func BenchmarkAllows(b *testing.B) {
	tree, keys := thousandLeaves(b)
	account := NewAccount(tree)
	i := 0
	for b.Loop() {
		i++
		account.Allows(tree.Leaf(keys[i%len(keys)]), gpus(1), 1)
	}
}
