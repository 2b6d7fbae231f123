package compression

import (
	"bytes"
	"testing"
)

func TestDecodedSizeIsLimited(t *testing.T) {
	const limit = 1 << 20
	cases := []struct {
		name string
		size int
		ok   bool
	}{
		{"empty", 0, true},
		{"small", 100, true},
		{"at the limit", limit, true},
		{"above the limit", limit + 1, false},
	}
	encoder, decoder := New(limit, SmallRecords...)()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			value := bytes.Repeat([]byte("x"), c.size)
			decoded, err := decoder.DecodeAll(encoder.EncodeAll(value, nil), nil)
			if (err == nil) != c.ok || c.ok && !bytes.Equal(decoded, value) {
				t.Errorf("%d bytes decoded, %v", len(decoded), err)
			}
		})
	}
}

func TestChecksumDetectsChangedRecord(t *testing.T) {
	encoder, decoder := New(1<<20, SmallRecords...)()
	encoded := encoder.EncodeAll([]byte("a record of a few words, and no repetition"), nil)
	encoded[len(encoded)-1] ^= 1 // a byte of the checksum
	if _, err := decoder.DecodeAll(encoded, nil); err == nil {
		t.Error("a record with a wrong checksum was decoded")
	}
}
