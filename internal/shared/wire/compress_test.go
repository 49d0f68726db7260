package wire

import (
	"bytes"
	"compress/flate"
	"fmt"
	"math/rand/v2"
	"testing"

	"myrtlefold/internal/shared/tuning"
)

// A compressed text decompresses to the same text, is never longer, and routes shrink to half or less.
func TestCompressedTextRoundTrips(t *testing.T) {
	rnd := rand.New(rand.NewPCG(7, 7))
	noise := make([]byte, 5*tuning.CompressFrom)
	for i := range noise {
		noise[i] = byte(1 + rnd.IntN(255))
	}
	var routes bytes.Buffer
	for range 1400 {
		fmt.Fprintf(&routes, `"r-%07x":{"host":"%05x.example","prefix":"/%07x/","kind":"repeatable","timeout_ms":2000},`, rnd.Uint32(), rnd.Uint32N(1<<20), rnd.Uint32())
	}
	for _, text := range [][]byte{nil, []byte("{}"), bytes.Repeat([]byte("a"), tuning.CompressFrom-1), bytes.Repeat([]byte("a"), tuning.CompressFrom), noise, routes.Bytes()} {
		b := Compress(text)
		if len(b) > len(text) {
			t.Errorf("%d bytes grew to %d", len(text), len(b))
		}
		if got, err := Decompress(b); err != nil || !bytes.Equal(got, text) {
			t.Errorf("%d bytes decompressed to %d: %v", len(text), len(got), err)
		}
		if again := Compress(text); !bytes.Equal(again, b) {
			t.Errorf("%d bytes are compressed in two ways", len(text))
		}
	}
	if b := Compress(routes.Bytes()); 2*len(b) > routes.Len() {
		t.Errorf("%d bytes of routes take %d", routes.Len(), len(b))
	}
}

// A truncated text is an error, and so is one that grows over the bound of a message.
func TestMalformedCompressedTextIsAnError(t *testing.T) {
	whole := Compress(bytes.Repeat([]byte("one and another "), tuning.CompressFrom))
	for n := 1; n < len(whole); n++ {
		if _, err := Decompress(whole[:n]); err == nil {
			t.Fatalf("%d of %d bytes were decompressed", n, len(whole))
		}
	}
	var b bytes.Buffer
	b.WriteByte(compressedHeader)
	w, err := flate.NewWriter(&b, flate.BestCompression)
	if err != nil {
		t.Fatal(err)
	}
	for range 2*tuning.WireMax>>20 + 1 {
		if _, err := w.Write(make([]byte, 1<<20)); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := Decompress(b.Bytes()); err == nil {
		t.Error("a text over a message's bound was decompressed")
	}
}
