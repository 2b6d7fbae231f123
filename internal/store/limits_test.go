package store

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
)

func TestLimitsCheckReportsExceededLimit(t *testing.T) {
	limits := Limits{Ops: 2, Preconditions: 1, BodyBytes: 200, ValueBytes: 100}
	put := func(key string, valueBytes int) Write {
		return Write{Put: key, Value: json.RawMessage(`"` + strings.Repeat("x", valueBytes-2) + `"`)}
	}
	tests := []struct {
		name string
		txn  Txn
		want error
		text string
	}{
		{name: "within all limits", txn: Txn{Writes: []Write{put("a", 100)}, Preconditions: []Precondition{{Key: "a"}}}},
		{
			name: "too many writes",
			txn:  Txn{Writes: []Write{{Remove: "a"}, {Remove: "b"}, {Remove: "c"}}},
			want: &LimitError{Quantity: LimitedOps, Count: 3, Limit: 2},
			text: "3 changes of 2",
		},
		{
			name: "too many preconditions",
			txn:  Txn{Preconditions: []Precondition{{Key: "a"}, {Key: "b"}}},
			want: &LimitError{Quantity: LimitedPreconditions, Count: 2, Limit: 1},
			text: "2 conditions of 1",
		},
		{
			name: "value too large",
			txn:  Txn{Writes: []Write{put("a", 101)}},
			want: &LimitError{Quantity: LimitedBytes, Count: 101, Limit: 100, Key: "a"},
			text: "101 bytes of 100 in a",
		},
		{
			name: "request too large",
			txn:  Txn{Writes: []Write{put("a", 100), put("b", 100)}},
			want: &LimitError{Quantity: LimitedBytes, Count: 258, Limit: 200},
			text: "258 bytes of 200",
		},
		{
			name: "key with a space",
			txn:  Txn{Writes: []Write{{Remove: "a b"}}},
			want: &KeyError{Key: "a b"},
			text: `key "a b" of 3 bytes`,
		},
		{
			name: "empty key of a precondition",
			txn:  Txn{Preconditions: []Precondition{{}}},
			want: &KeyError{},
			text: `key "" of 0 bytes`,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if err := limits.Check(&test.txn); !reflect.DeepEqual(err, test.want) {
				t.Errorf("got %#v, want %#v", err, test.want)
			}
			if got := limits.Violation(&test.txn); got != test.text {
				t.Errorf("got text %q, want %q", got, test.text)
			}
		})
	}
}
