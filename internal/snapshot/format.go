// Package snapshot keeps everything in the key-value store, as of one epoch, in a file. A
// snapshot is taken while controllers work, can be resumed where it was interrupted, and is
// checked offline. Files are read and written here; the store is reached through a Source.
package snapshot

import (
	"bufio"
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

// blockKind names what a block holds.
type blockKind byte

const (
	headBlock   blockKind = 'h' // header
	rowsBlock   blockKind = 'r' // a page of keys as they were listed, at one epoch or a later one
	eventsBlock blockKind = 'e' // the changes since, in order
	endBlock    blockKind = 'z' // the epoch that rows and changes together describe
)

// header is the content of the first block.
type header struct {
	Since uint64 `json:"since"` // epoch from which changes are added to the rows
	AtMs  int64  `json:"at_ms"` // when the snapshot was begun
}

// rowPage is the content of a block of rows.
type rowPage struct {
	Rows []store.Item `json:"rows"`
	More bool         `json:"more"` // the list goes on after these
}

// eventPage is the content of a block of events.
type eventPage struct {
	To     uint64        `json:"to"` // epoch up to which changes are known
	Events []store.Event `json:"events"`
}

// trailer is the content of the last block.
type trailer struct {
	Epoch  uint64 `json:"epoch"`
	Blocks int    `json:"blocks"` // before this one
}

// ErrTruncated means that a file ends before its last block, or within a block; Take can go on
// with what is there.
var ErrTruncated = errors.New("the file is cut short")

// ErrDamaged means that a block is not what was written.
var ErrDamaged = errors.New("the file is damaged")

// newCoder returns the compressor of blocks and its inverse.
var newCoder = compression.New(tuning.SnapshotBlock)

// chain is the hash of all blocks so far: the hash of each block covers those before it, so
// that none can be missing, doubled or moved.
type chain struct {
	sum    [32]byte
	blocks int
}

// extend returns the chain with one more block.
func (c chain) extend(kind blockKind, compressed []byte) chain {
	hash := blake3.New(32, nil)
	_, _ = hash.Write(c.sum[:])
	_, _ = hash.Write([]byte{byte(kind)})
	_, _ = hash.Write(compressed)
	extended := chain{blocks: c.blocks + 1}
	hash.Sum(extended.sum[:0])
	return extended
}

// writer appends blocks to a file.
type writer struct {
	w     io.Writer
	chain chain
}

func (w *writer) writeBlock(kind blockKind, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	encoder, _ := newCoder()
	compressed := encoder.EncodeAll(b, nil)
	w.chain = w.chain.extend(kind, compressed)
	block := binary.AppendUvarint([]byte{byte(kind)}, uint64(len(compressed)))
	block = append(block, w.chain.sum[:]...)
	block = append(block, compressed...)
	_, err = w.w.Write(block) // in one call, so that an interruption leaves at most one partial block
	return err
}

// reader goes through the blocks of a file.
type reader struct {
	r     *bufio.Reader
	chain chain
	size  int64 // bytes of whole blocks so far, with magic
}

func newReader(r io.Reader) (*reader, error) {
	buffered := bufio.NewReader(r)
	first := make([]byte, len(magic))
	if _, err := io.ReadFull(buffered, first); err != nil || string(first) != magic {
		return nil, fmt.Errorf("%w: it does not begin as a snapshot does", ErrDamaged)
	}
	return &reader{r: buffered, size: int64(len(magic))}, nil
}

// readBlock returns the next block's content, decompressed, and io.EOF after the last block.
// Other errors say, as those of Read do, whether the file is truncated or damaged.
func (r *reader) readBlock() (blockKind, []byte, error) {
	first, err := r.r.ReadByte()
	if err != nil {
		return 0, nil, io.EOF
	}
	kind := blockKind(first)
	size, err := binary.ReadUvarint(r.r)
	if err != nil {
		return 0, nil, r.truncated()
	}
	if size > tuning.SnapshotBlock {
		return 0, nil, r.damaged("a block of strange size")
	}
	var sum [32]byte
	compressed := make([]byte, size)
	if _, err = io.ReadFull(r.r, sum[:]); err != nil {
		return 0, nil, r.truncated()
	}
	if _, err = io.ReadFull(r.r, compressed); err != nil {
		return 0, nil, r.truncated()
	}
	extended := r.chain.extend(kind, compressed)
	if extended.sum != sum {
		return 0, nil, r.damaged("its checksum does not hold")
	}
	_, decoder := newCoder()
	b, err := decoder.DecodeAll(compressed, nil)
	if err != nil {
		return 0, nil, r.damaged(err.Error())
	}
	r.chain = extended
	r.size += int64(1 + len(binary.AppendUvarint(nil, size)) + len(sum) + len(compressed))
	return kind, b, nil
}

func (r *reader) truncated() error {
	return fmt.Errorf("%w after block %d, at byte %d", ErrTruncated, r.chain.blocks, r.size)
}

func (r *reader) damaged(fault string) error {
	return fmt.Errorf("%w: block %d, at byte %d: %s", ErrDamaged, r.chain.blocks+1, r.size, fault)
}
