// Package snapshot saves all keys of the key-value store, as of one epoch, to a file. A snapshot
// is taken while controllers run, can be resumed after an interruption, and is checked offline.
// The package reads and writes the files; it accesses the store through a Source.
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

// magic is the first line of a snapshot file. It identifies the file format and its version.
const magic = "harrierreel-state 1\n"

// blockKind is the type of a block.
type blockKind byte

const (
	headerBlock  blockKind = 'h' // header
	rowsBlock    blockKind = 'r' // a page of listed keys, each as of the header's epoch or a later one
	eventsBlock  blockKind = 'e' // the changes since the previous epoch, in order
	trailerBlock blockKind = 'z' // trailer: the epoch that rows and changes add up to
)

// header is the content of the first block of a file.
type header struct {
	Since uint64 `json:"since"` // epoch after which changes are recorded
	AtMs  int64  `json:"at_ms"` // when the snapshot was started, in Unix milliseconds
}

// rowPage is the content of a rows block.
type rowPage struct {
	Rows []store.Item `json:"rows"`
	More bool         `json:"more"` // more rows follow
}

// eventPage is the content of an events block.
type eventPage struct {
	To     uint64        `json:"to"` // epoch up to which changes are included
	Events []store.Event `json:"events"`
}

// trailer is the content of the last block of a file.
type trailer struct {
	Epoch  uint64 `json:"epoch"`
	Blocks int    `json:"blocks"` // number of blocks before this one
}

// ErrTruncated means that a file ends before its trailer or within a block. Take can resume from
// such a file.
var ErrTruncated = errors.New("the file is cut short")

// ErrDamaged means that a file is not a snapshot, or that a block is corrupt.
var ErrDamaged = errors.New("the file is damaged")

// newCodec returns the encoder and the decoder for the compression of blocks.
var newCodec = compression.New(tuning.SnapshotBlock)

// chain is a hash chain over all blocks so far. The hash of each block covers the blocks before
// it, so that a missing, repeated or moved block is detected.
type chain struct {
	sum    [32]byte
	blocks int
}

// extend returns the chain with another block added.
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
	encoder, _ := newCodec()
	compressed := encoder.EncodeAll(b, nil)
	w.chain = w.chain.extend(kind, compressed)
	block := binary.AppendUvarint([]byte{byte(kind)}, uint64(len(compressed)))
	block = append(block, w.chain.sum[:]...)
	block = append(block, compressed...)
	_, err = w.w.Write(block) // in one call, so that an interruption leaves at most one partial block
	return err
}

// reader reads the blocks of a file.
type reader struct {
	r     *bufio.Reader
	chain chain
	size  int64 // length of the magic and the complete blocks read so far, in bytes
}

func newReader(r io.Reader) (*reader, error) {
	buffered := bufio.NewReader(r)
	first := make([]byte, len(magic))
	if _, err := io.ReadFull(buffered, first); err != nil || string(first) != magic {
		return nil, fmt.Errorf("%w: it does not begin as a snapshot does", ErrDamaged)
	}
	return &reader{r: buffered, size: int64(len(magic))}, nil
}

// readBlock returns the kind and the decompressed content of the next block, or io.EOF after the
// last block. Other errors wrap ErrTruncated or ErrDamaged.
func (r *reader) readBlock() (blockKind, []byte, error) {
	first, err := r.r.ReadByte()
	if err != nil {
		return 0, nil, io.EOF
	}
	kind := blockKind(first)
	size, err := binary.ReadUvarint(r.r)
	if err != nil {
		return 0, nil, r.truncatedError()
	}
	if size > tuning.SnapshotBlock {
		return 0, nil, r.damagedError("a block of strange size")
	}
	var sum [32]byte
	compressed := make([]byte, size)
	if _, err = io.ReadFull(r.r, sum[:]); err != nil {
		return 0, nil, r.truncatedError()
	}
	if _, err = io.ReadFull(r.r, compressed); err != nil {
		return 0, nil, r.truncatedError()
	}
	extended := r.chain.extend(kind, compressed)
	if extended.sum != sum {
		return 0, nil, r.damagedError("its checksum does not hold")
	}
	_, decoder := newCodec()
	b, err := decoder.DecodeAll(compressed, nil)
	if err != nil {
		return 0, nil, r.damagedError(err.Error())
	}
	r.chain = extended
	r.size += int64(1 + len(binary.AppendUvarint(nil, size)) + len(sum) + len(compressed))
	return kind, b, nil
}

func (r *reader) truncatedError() error {
	return fmt.Errorf("%w after block %d, at byte %d", ErrTruncated, r.chain.blocks, r.size)
}

func (r *reader) damagedError(reason string) error {
	return fmt.Errorf("%w: block %d, at byte %d: %s", ErrDamaged, r.chain.blocks+1, r.size, reason)
}
