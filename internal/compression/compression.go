// Package compression makes the compressors (zstd) of what is stored: records of the state
// service and snapshots of it. No IO, no clock.
package compression

import (
	"sync"

	"github.com/klauspost/compress/zstd"
)

// New is a compressor and its inverse, made when they are first used; both are safe
// for concurrent use of their All functions. most is the bytes that anything may
// unpack to.
func New(most uint64, options ...zstd.EOption) func() (*zstd.Encoder, *zstd.Decoder) {
	return sync.OnceValues(func() (*zstd.Encoder, *zstd.Decoder) {
		enc, err := zstd.NewWriter(nil, append([]zstd.EOption{zstd.WithEncoderConcurrency(1)}, options...)...)
		if err != nil {
			panic(err) // constant options
		}
		dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(most))
		if err != nil {
			panic(err)
		}
		return enc, dec
	})
}

// SmallRecords are the options for records of some KiB: little memory, and a checksum (XXH64).
var SmallRecords = []zstd.EOption{zstd.WithWindowSize(64 << 10), zstd.WithLowerEncoderMem(true), zstd.WithEncoderCRC(true)}
