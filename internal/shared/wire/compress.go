package wire

// Large payloads (configurations, and the state that proxies keep for disaster recovery) are compressed
// once by the sender and decompressed by the receiver. A configuration with a thousand routes shrinks to
// a tenth of its size, which shortens the transfer over a slow link and the time a leader needs to send
// it to all proxies. A compressed payload starts with a header byte that no uncompressed payload starts
// with. Short payloads are not compressed.

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/tuning"
)

// compressedHeader is the first byte of a compressed payload. Uncompressed payloads are JSON, which never
// starts with this byte.
const compressedHeader = 0

// Compress returns the compressed form of text, or text itself if it is shorter than
// tuning.CompressFrom or compression would not make it shorter. The result is deterministic.
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
		panic(err) // writing to a bytes.Buffer cannot fail
	}
	if compressed.Len() >= len(text) {
		return text
	}
	return bytes.Clone(compressed.Bytes())
}

// Decompress reverses Compress. It returns an error if b is truncated or malformed, or if the
// decompressed text is longer than tuning.MessageMax bytes.
func Decompress(b []byte) ([]byte, error) {
	if len(b) == 0 || b[0] != compressedHeader {
		return b, nil
	}
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b[1:])), tuning.MessageMax+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress payload")
	}
	if len(text) > tuning.MessageMax {
		return nil, errors.Newf("decompressed payload exceeds %d bytes", tuning.MessageMax)
	}
	return text, nil
}
