package snapshot

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/goldentest"
	"github.com/harrierreel/harrierreel/internal/store"
)

// goldenBlock is a block with its content before encoding.
type goldenBlock struct {
	kind  blockKind
	value any
}

func goldenBlocks() []goldenBlock {
	listed := store.Item{Key: "job/wk-1", Value: json.RawMessage(`{"a":1}`), Revision: 17, LeaseID: 5}
	put := store.Event{Put: "job/wk-2", Value: json.RawMessage(`{"b":2}`), Revision: 41}
	remove := store.Event{Remove: "job/wk-1", Revision: 42}
	return []goldenBlock{
		{headerBlock, header{Since: 40, AtMs: 1700000000001}},
		{rowsBlock, rowPage{Rows: []store.Item{listed}, More: true}},
		{rowsBlock, rowPage{}},
		{eventsBlock, eventPage{To: 41, Events: []store.Event{put}}},
		{eventsBlock, eventPage{To: 42, Events: []store.Event{remove}}},
		{trailerBlock, trailer{Epoch: 42, Blocks: 5}},
	}
}

// encodeFile returns a snapshot file with the given blocks.
func encodeFile(t *testing.T, blocks []goldenBlock) []byte {
	t.Helper()
	out := bytes.NewBufferString(magic)
	w := &writer{w: out}
	for _, b := range blocks {
		if err := w.writeBlock(b.kind, b.value); err != nil {
			t.Fatal(err)
		}
	}
	return out.Bytes()
}

// decodeFile returns the blocks of a file, and their decompressed contents with a line for each.
func decodeFile(t *testing.T, file []byte) (blocks []goldenBlock, decompressed []byte) {
	t.Helper()
	r, err := newReader(bytes.NewReader(file))
	if err != nil {
		t.Fatal(err)
	}
	types := map[blockKind]any{
		headerBlock:  &header{},
		rowsBlock:    &rowPage{},
		eventsBlock:  &eventPage{},
		trailerBlock: &trailer{},
	}
	for {
		k, b, err := r.readBlock()
		if errors.Is(err, io.EOF) {
			return blocks, decompressed
		}
		if err != nil {
			t.Fatal(err)
		}
		v := reflect.New(reflect.TypeOf(types[k]).Elem())
		if err := json.Unmarshal(b, v.Interface()); err != nil {
			t.Fatal(err)
		}
		blocks = append(blocks, goldenBlock{k, v.Elem().Interface()})
		decompressed = fmt.Appendf(decompressed, "%c %s\n", k, b)
	}
}

func TestGoldenBlocks(t *testing.T) {
	blocks := goldenBlocks()
	for _, b := range blocks[:2] {
		goldentest.RequireNonZeroFields(t, b.value)
	}
	goldentest.RequireNonZeroFields(
		t,
		eventPage{To: 1, Events: []store.Event{{Put: "a", Remove: "b", Value: json.RawMessage(`1`), Revision: 1}}},
	)
	goldentest.RequireNonZeroFields(t, blocks[len(blocks)-1].value)

	goldentest.Bytes(t, "blocks.bin", encodeFile(t, blocks))
	golden := goldentest.Read(t, "blocks.bin")
	decoded, decompressed := decodeFile(t, golden)
	goldentest.Bytes(t, "blocks.txt", decompressed)
	goldentest.Bytes(t, "blocks.bin", encodeFile(t, decoded))

	s, err := Read(bytes.NewReader(golden))
	if err != nil {
		t.Fatal(err)
	}
	want := &State{
		Epoch:   42,
		BegunMs: 1700000000001,
		Items:   map[string]store.Item{"job/wk-2": {Key: "job/wk-2", Value: json.RawMessage(`{"b":2}`), Revision: 41}},
	}
	if !reflect.DeepEqual(s, want) {
		t.Errorf("read %+v, want %+v", s, want)
	}
}

// TestGoldenFile compares a complete snapshot of a store that changes while it is read.
func TestGoldenFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "state")
	if _, err := Take(changingStore(), file, time.UnixMilli(1700000000001), nil); err != nil {
		t.Fatal(err)
	}
	b, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Bytes(t, "state.bin", b)
	decoded, decompressed := decodeFile(t, goldentest.Read(t, "state.bin"))
	goldentest.Bytes(t, "state.txt", decompressed)
	goldentest.Bytes(t, "state.bin", encodeFile(t, decoded))
}

func TestGoldenReport(t *testing.T) {
	full := Report{
		Epoch:           42,
		Keys:            map[string]int{"job": 1, "task": 2},
		LiveJobs:        3,
		Tasks:           4,
		TasksOnMachines: 5,
		Findings:        []Finding{{Key: "job/wk-1", Problem: "is live"}},
	}
	goldentest.RequireNonZeroFields(t, full)
	goldentest.JSON(t, "report.json", full)
	goldentest.JSON(t, "report-least.json", Report{})
}
