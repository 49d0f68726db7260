package config

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"
)

// WithoutRevision returns a document without its field "revision", for use as the base of another document. Its errors
// are marked ErrNotJSON.
func WithoutRevision(doc []byte) ([]byte, error) {
	return editRevision(doc, func(document map[string]json.RawMessage) { delete(document, "revision") })
}

// WithRevision returns a document with the field "revision", which is set to the given one if it is missing. Its errors
// are marked ErrNotJSON.
func WithRevision(doc []byte, revision uint64) ([]byte, error) {
	return editRevision(doc, func(document map[string]json.RawMessage) {
		if document["revision"] == nil {
			document["revision"] = json.RawMessage(fmt.Sprint(revision))
		}
	})
}

// editRevision applies edit to the parsed document and encodes it again. If edit changed nothing, it returns doc itself,
// which keeps white space and key order.
func editRevision(doc []byte, edit func(map[string]json.RawMessage)) ([]byte, error) {
	document := map[string]json.RawMessage{}
	if err := json.Unmarshal(doc, &document); err != nil {
		return nil, errors.Mark(err, ErrNotJSON)
	}
	keys, revision := len(document), document["revision"]
	edit(document)
	if len(document) == keys && string(revision) == string(document["revision"]) {
		return doc, nil
	}
	return json.Marshal(document)
}
