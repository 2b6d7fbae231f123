package goldentest

import (
	"reflect"
	"slices"
	"testing"
)

type leaf struct {
	Name string `json:"name"`
	Size int
	Skip int `json:"-"`
}

type branch struct {
	Leaves []leaf          `json:"leaves,omitempty"`
	ByName map[string]leaf `json:"by_name"`
	Under  *branch         `json:"under"`
	Any    any             `json:"any"`
	hidden bool
}

func TestZerosAreNamed(t *testing.T) {
	full := leaf{Name: "a", Size: 1}
	filled := branch{
		Leaves: []leaf{full},
		ByName: map[string]leaf{"k": full},
		Under:  &branch{hidden: true},
		Any:    1,
		hidden: true,
	}
	with := func(change func(*branch)) branch {
		b := filled
		change(&b)
		return b
	}
	for _, c := range []struct {
		name   string
		value  branch
		except []string
		want   []string
	}{
		{"filled", filled, nil, nil},
		{"no element", with(func(b *branch) { b.Leaves = []leaf{} }), nil, []string{"leaves"}},
		{"zero in an element", with(func(b *branch) { b.Leaves = []leaf{{Name: "a"}} }), nil, []string{"leaves.0.Size"}},
		{"zero in a map", with(func(b *branch) { b.ByName = map[string]leaf{"k": {Size: 1}} }), nil, []string{"by_name.k.name"}},
		{"no pointer", with(func(b *branch) { b.Under = nil }), nil, []string{"under"}},
		{"zero in an interface", with(func(b *branch) { b.Any = leaf{Name: "a"} }), nil, []string{"any.Size"}},
		{"unexported", with(func(b *branch) { b.hidden = false }), nil, []string{"hidden"}},
		{"excepted", with(func(b *branch) { b.hidden = false }), []string{"hidden"}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := zeros(reflect.ValueOf(c.value), "", nil, c.except); !slices.Equal(got, c.want) {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}
