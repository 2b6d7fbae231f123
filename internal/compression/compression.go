// Package compression makes the compressors (zstd) of what is stored: records of the state
// service and snapshots of it. It has no IO and no clock.
package compression

import (
	"sync"

	"github.com/klauspost/compress/zstd"
)

// smallWindowBytes is the window of a compressor of small records, the whole of one.
const smallWindowBytes = 64 << 10

// SmallRecords are the options for records of some KiB: little memory, and a checksum
// (XXH64). Callers must not change the slice.
var SmallRecords = []zstd.EOption{
	zstd.WithWindowSize(smallWindowBytes),
	zstd.WithLowerEncoderMem(true),
	zstd.WithEncoderCRC(true),
}

// New returns a function that gives a compressor and its inverse, made at its first call.
// Both are safe for concurrent use of EncodeAll and DecodeAll. maxDecodedBytes bounds what
// anything may decode to. The options must be constant and valid: a fault in them is one of
// the program, and panics.
func New(maxDecodedBytes uint64, options ...zstd.EOption) func() (*zstd.Encoder, *zstd.Decoder) {
	return sync.OnceValues(func() (*zstd.Encoder, *zstd.Decoder) {
		options := append([]zstd.EOption{zstd.WithEncoderConcurrency(1)}, options...)
		encoder, err := zstd.NewWriter(nil, options...)
		if err != nil {
			panic(err)
		}
		decoder, err := zstd.NewReader(nil,
			zstd.WithDecoderConcurrency(1),
			zstd.WithDecoderLowmem(true),
			zstd.WithDecoderMaxMemory(maxDecodedBytes))
		if err != nil {
			panic(err)
		}
		return encoder, decoder
	})
}
