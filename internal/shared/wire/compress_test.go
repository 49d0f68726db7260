package wire

import (
	"bytes"
	"compress/flate"
	"fmt"
	"math/rand/v2"
	"testing"

	"myrtlefold/internal/shared/tuning"
)

// Compression is lossless and deterministic, never makes a payload longer, and shrinks a list of routes to half its
// size or less.
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
			t.Errorf("compressing %d bytes gave %d bytes, want at most as many", len(text), len(b))
		}
		if got, err := Decompress(b); err != nil || !bytes.Equal(got, text) {
			t.Errorf("round trip of %d bytes gave %d bytes or other content, error %v", len(text), len(got), err)
		}
		if again := Compress(text); !bytes.Equal(again, b) {
			t.Errorf("compressing the same %d bytes twice gave different results", len(text))
		}
	}
	if b := Compress(routes.Bytes()); 2*len(b) > routes.Len() {
		t.Errorf("%d bytes of routes compressed to %d bytes, want at most half", routes.Len(), len(b))
	}
}

// Decompress rejects truncated input, and input that decompresses to more than tuning.MessageMax bytes.
func TestMalformedCompressedTextIsAnError(t *testing.T) {
	whole := Compress(bytes.Repeat([]byte("one and another "), tuning.CompressFrom))
	for n := 1; n < len(whole); n++ {
		if _, err := Decompress(whole[:n]); err == nil {
			t.Fatalf("Decompress accepted input truncated to %d of %d bytes", n, len(whole))
		}
	}
	var b bytes.Buffer
	b.WriteByte(compressedHeader)
	w, err := flate.NewWriter(&b, flate.BestCompression)
	if err != nil {
		t.Fatal(err)
	}
	for range 2*tuning.MessageMax>>20 + 1 {
		if _, err := w.Write(make([]byte, 1<<20)); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := Decompress(b.Bytes()); err == nil {
		t.Error("Decompress accepted a payload that exceeds tuning.MessageMax")
	}
}
