// Package compression creates the zstd encoders and decoders for stored data: records of the state
// service and snapshots of it. It does no IO and reads no clock.
package compression

import (
	"sync"

	"github.com/klauspost/compress/zstd"
)

// smallWindowBytes is the window size for small records, large enough for a whole record.
const smallWindowBytes = 64 << 10

// SmallRecords are the options for records of a few KiB: low memory use, and a checksum (XXH64).
// Callers must not modify the slice.
var SmallRecords = []zstd.EOption{
	zstd.WithWindowSize(smallWindowBytes),
	zstd.WithLowerEncoderMem(true),
	zstd.WithEncoderCRC(true),
}

// New returns a function that returns an encoder and a decoder, which it creates at its first call.
// Their methods EncodeAll and DecodeAll are safe for concurrent use. maxDecodedBytes is the limit
// on the size of decoded data. The options must be constant and valid: invalid ones are a
// programming error and cause a panic.
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
