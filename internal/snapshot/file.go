// Package snapshot keeps all that the state service holds, as of one epoch, in a file:
// it is taken while controllers work, can be taken up again where it was cut off, and
// is checked offline. Files are read and written here; the state service is reached
// through a Source.
package snapshot

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"lukechampine.com/blake3"

	"github.com/harrierreel/harrierreel/internal/compression"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// magic is the first line of a file.
const magic = "harrierreel-state 1\n"

// kind names what a block holds.
type kind byte

const (
	head   kind = 'h' // begin
	rows   kind = 'r' // a page of keys as they were listed, at one epoch or a later one
	events kind = 'e' // the changes since, in order
	end    kind = 'z' // the epoch that rows and changes together describe
)

// begin is the first block.
type begin struct {
	Since uint64 `json:"since"` // epoch from which changes are added to the rows
	AtMs  int64  `json:"at_ms"` // when it was begun
}

// finish is the last block.
type finish struct {
	Epoch  uint64 `json:"epoch"`
	Blocks int    `json:"blocks"` // before this one
}

// ErrCut: a file ends before its last block, or within a block; what is there may be
// taken up again.
var ErrCut = errors.New("the file is cut short")

// ErrDamaged: a block is not what was written.
var ErrDamaged = errors.New("the file is damaged")

var coder = compression.New(tuning.SnapshotBlock)

// chain is the hash of all blocks so far: each block's own covers those before it, so
// that none can be missing, doubled or moved.
type chain struct {
	sum    [32]byte
	blocks int
}

// next is the chain with one more block.
func (c chain) next(k kind, packed []byte) chain {
	h := blake3.New(32, nil)
	_, _ = h.Write(c.sum[:])
	_, _ = h.Write([]byte{byte(k)})
	_, _ = h.Write(packed)
	out := chain{blocks: c.blocks + 1}
	h.Sum(out.sum[:0])
	return out
}

// writer adds blocks to a file.
type writer struct {
	w     io.Writer
	chain chain
}

func (w *writer) block(k kind, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	enc, _ := coder()
	packed := enc.EncodeAll(b, nil)
	w.chain = w.chain.next(k, packed)
	out := binary.AppendUvarint([]byte{byte(k)}, uint64(len(packed)))
	out = append(append(out, w.chain.sum[:]...), packed...)
	_, err = w.w.Write(out) // in one, so that what is cut off is cut off within one block
	return err
}

// reader goes through the blocks of a file.
type reader struct {
	r     *bufio.Reader
	chain chain
	at    int64 // bytes of whole blocks so far
}

func newReader(r io.Reader) (*reader, error) {
	out := &reader{r: bufio.NewReader(r), at: int64(len(magic))}
	first := make([]byte, len(magic))
	if _, err := io.ReadFull(out.r, first); err != nil || !bytes.Equal(first, []byte(magic)) {
		return nil, fmt.Errorf("%w: it does not begin as a snapshot does", ErrDamaged)
	}
	return out, nil
}

// block is the next block's content. io.EOF: there is none.
func (r *reader) block() (kind, []byte, error) {
	k, err := r.r.ReadByte()
	if err != nil {
		return 0, nil, io.EOF
	}
	size, err := binary.ReadUvarint(r.r)
	if err != nil {
		return 0, nil, r.cut()
	}
	if size > tuning.SnapshotBlock {
		return 0, nil, r.damaged("a block of strange size")
	}
	var sum [32]byte
	packed := make([]byte, size)
	if _, err = io.ReadFull(r.r, sum[:]); err != nil {
		return 0, nil, r.cut()
	}
	if _, err = io.ReadFull(r.r, packed); err != nil {
		return 0, nil, r.cut()
	}
	next := r.chain.next(kind(k), packed)
	if next.sum != sum {
		return 0, nil, r.damaged("its checksum does not hold")
	}
	_, dec := coder()
	b, err := dec.DecodeAll(packed, nil)
	if err != nil {
		return 0, nil, r.damaged(err.Error())
	}
	r.chain = next
	r.at += int64(1 + len(binary.AppendUvarint(nil, size)) + len(sum) + len(packed))
	return kind(k), b, nil
}

func (r *reader) cut() error {
	return fmt.Errorf("%w after block %d, at byte %d", ErrCut, r.chain.blocks, r.at)
}

func (r *reader) damaged(what string) error {
	return fmt.Errorf("%w: block %d, at byte %d: %s", ErrDamaged, r.chain.blocks+1, r.at, what)
}

// State is all keys as of one epoch.
type State struct {
	Epoch uint64
	AtMs  int64 // when the snapshot was begun
	Items map[string]store.Item
}

// content is what was read of a file, whole or not.
type content struct {
	begin   begin
	mirror  *store.Mirror
	items   map[string]store.Item
	lastKey string
	listed  bool   // every key was listed
	to      uint64 // changes are there up to this epoch
	ended   bool
	blocks  chain
	size    int64 // bytes of whole blocks
}

// read goes through a file's blocks. An incomplete one gives what is there with ErrCut.
func read(r io.Reader) (*content, error) {
	br, err := newReader(r)
	if err != nil {
		return nil, err
	}
	c := &content{items: map[string]store.Item{}}
	c.mirror = store.NewMirror(func(key string, v json.RawMessage, revision uint64) {
		if v == nil {
			delete(c.items, key)
		} else {
			c.items[key] = store.Item{Key: key, Value: v, Revision: revision}
		}
	})
	for {
		k, b, err := br.block()
		c.blocks, c.size = br.chain, br.at
		switch {
		case err == io.EOF && c.ended:
			return c, nil
		case err == io.EOF:
			return c, br.cut()
		case err != nil:
			return c, err
		case c.ended:
			return c, br.damaged("something follows its end")
		}
		if err = c.take(k, b, br.chain.blocks); err != nil {
			return c, br.damaged(err.Error())
		}
	}
}

// listing is a rows block.
type listing struct {
	Rows []store.Item `json:"rows"`
	More bool         `json:"more"`
}

// changes is an events block.
type changes struct {
	To     uint64        `json:"to"`
	Events []store.Event `json:"events"`
}

func (c *content) take(k kind, b []byte, n int) error {
	if (k == head) != (n == 1) {
		return errors.New("blocks out of order")
	}
	switch k {
	case head:
		if err := json.Unmarshal(b, &c.begin); err != nil {
			return err
		}
		c.to = c.begin.Since
	case rows:
		var l listing
		if err := json.Unmarshal(b, &l); err != nil {
			return err
		}
		for _, it := range l.Rows {
			c.mirror.Put(it.Key, it.Value, it.Revision)
			c.lastKey = it.Key
		}
		c.listed = !l.More
	case events:
		var e changes
		if err := json.Unmarshal(b, &e); err != nil {
			return err
		}
		c.mirror.ApplyEvents(e.To, e.Events)
		c.to = e.To
	case end:
		var f finish
		if err := json.Unmarshal(b, &f); err != nil {
			return err
		}
		if c.ended = true; f.Blocks != n-1 || f.Epoch != c.to || !c.listed {
			return errors.New("its end does not fit what is there")
		}
	default:
		return fmt.Errorf("a block of unknown kind %q", byte(k))
	}
	return nil
}

// Read reads a complete snapshot.
func Read(r io.Reader) (*State, error) {
	c, err := read(r)
	if err != nil {
		return nil, err
	}
	return &State{Epoch: c.to, AtMs: c.begin.AtMs, Items: c.items}, nil
}
