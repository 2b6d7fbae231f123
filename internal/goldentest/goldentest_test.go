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

// filledBranch returns a value whose only zero field is skipped.
func filledBranch() branch {
	full := leaf{Name: "a", Size: 1}
	return branch{
		Leaves: []leaf{full},
		ByName: map[string]leaf{"k": full},
		Under:  &branch{hidden: true},
		Any:    1,
		hidden: true,
	}
}

func TestZerosReturnsPathsOfZeroFields(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*branch)
		except []string
		want   []string
	}{
		"filled":               {func(*branch) {}, nil, nil},
		"no element":           {func(b *branch) { b.Leaves = []leaf{} }, nil, []string{"leaves"}},
		"zero in an element":   {func(b *branch) { b.Leaves[0].Size = 0 }, nil, []string{"leaves.0.Size"}},
		"zero in a map":        {func(b *branch) { b.ByName["k"] = leaf{Size: 1} }, nil, []string{"by_name.k.name"}},
		"no pointer":           {func(b *branch) { b.Under = nil }, nil, []string{"under"}},
		"zero in an interface": {func(b *branch) { b.Any = leaf{Name: "a"} }, nil, []string{"any.Size"}},
		"unexported":           {func(b *branch) { b.hidden = false }, nil, []string{"hidden"}},
		"excepted":             {func(b *branch) { b.hidden = false }, []string{"hidden"}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			value := filledBranch()
			c.change(&value)
			if got := zeros(reflect.ValueOf(value), "", nil, c.except); !slices.Equal(got, c.want) {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}
