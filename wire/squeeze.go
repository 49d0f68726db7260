package wire

// Long texts between daemons, documents and what proxies remember, are compressed by whoever
// makes them, once, and opened where they are read: one of a thousand routes takes a tenth,
// and a thin link or a leader that tells all proxies of it a tenth of the time. A compressed
// text begins with a byte that no plain one does; short ones stay as they are.

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"

	"myrtlefold/limit"
)

const squeezed = 0

// Squeeze gives a text, or a shorter form of it that Open reads.
func Compress(text []byte) []byte {
	if len(text) < limit.CompressFrom {
		return text
	}
	var b bytes.Buffer
	b.WriteByte(squeezed)
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err == nil {
		if _, err = w.Write(text); err == nil {
			err = w.Close()
		}
	}
	if err != nil {
		panic(err) // a buffer takes all
	}
	if b.Len() >= len(text) {
		return text
	}
	return bytes.Clone(b.Bytes())
}

// Open gives a text whether it was compressed or not; one that grows over a message's bound is an error.
func Decompress(b []byte) ([]byte, error) {
	if len(b) == 0 || b[0] != squeezed {
		return b, nil
	}
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b[1:])), limit.WireMax+1))
	if err != nil {
		return nil, errors.Wrap(err, "squeezed text")
	}
	if len(text) > limit.WireMax {
		return nil, errors.Newf("squeezed text is over %d bytes", limit.WireMax)
	}
	return text, nil
}
