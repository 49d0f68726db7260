package wire

// Long texts between daemons (configurations, and the state that proxies keep for disaster recovery)
// are compressed once by their sender and decompressed by the receiver: a configuration of a thousand
// routes shrinks to a tenth, and with it the time that it takes on a slow link or for a leader that
// sends it to all proxies. A compressed text begins with a byte that no plain one begins with; short
// texts stay as they are.

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/tuning"
)

// compressedHeader is the first byte of a compressed text. Plain texts are JSON, which never begins with it.
const compressedHeader = 0

// Compress returns a form of text that Decompress reads: text itself, if it is shorter than
// tuning.CompressFrom or would not become shorter. The same text always gives the same bytes.
func Compress(text []byte) []byte {
	if len(text) < tuning.CompressFrom {
		return text
	}
	var compressed bytes.Buffer
	compressed.WriteByte(compressedHeader)
	w, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err == nil {
		if _, err = w.Write(text); err == nil {
			err = w.Close()
		}
	}
	if err != nil {
		panic(err) // writing to a buffer does not fail
	}
	if compressed.Len() >= len(text) {
		return text
	}
	return bytes.Clone(compressed.Bytes())
}

// Decompress returns the text that Compress made b of. It fails if b is truncated or malformed, or if
// the text is longer than tuning.WireMax bytes.
func Decompress(b []byte) ([]byte, error) {
	if len(b) == 0 || b[0] != compressedHeader {
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
