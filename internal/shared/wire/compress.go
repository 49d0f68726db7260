package wire

// Long texts between daemons (configurations, and the states that proxies remember) are
// compressed once by whoever makes them and decompressed where they are read: a configuration of
// a thousand routes takes a tenth of its size, and a slow link or a leader that sends it to all
// proxies a tenth of the time. A compressed text begins with a byte that no plain one begins with;
// short texts stay as they are.

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/tuning"
)

// compressedMark is the first byte of a compressed text.
const compressedMark = 0

// Compress returns a form of text that Decompress reads: text itself, if it is shorter than
// tuning.CompressFrom or would not become shorter. The same text always gives the same bytes.
func Compress(text []byte) []byte {
	if len(text) < tuning.CompressFrom {
		return text
	}
	var b bytes.Buffer
	b.WriteByte(compressedMark)
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err == nil {
		if _, err = w.Write(text); err == nil {
			err = w.Close()
		}
	}
	if err != nil {
		panic(err) // writing to a buffer does not fail
	}
	if b.Len() >= len(text) {
		return text
	}
	return bytes.Clone(b.Bytes())
}

// Decompress returns the text that Compress made b of. A text that is cut short or becomes longer
// than tuning.WireMax is an error.
func Decompress(b []byte) ([]byte, error) {
	if len(b) == 0 || b[0] != compressedMark {
		return b, nil
	}
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b[1:])), tuning.WireMax+1))
	if err != nil {
		return nil, errors.Wrap(err, "compressed text")
	}
	if len(text) > tuning.WireMax {
		return nil, errors.Newf("compressed text is over %d bytes", tuning.WireMax)
	}
	return text, nil
}
