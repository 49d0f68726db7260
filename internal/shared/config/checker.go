package config

import (
	"fmt"
	"strings"

	"myrtlefold/internal/shared/tuning"
)

// checker validates a document and collects its faults.
type checker struct {
	faults      []Fault
	checkPolicy func(Policy) []Fault // parameter of Parse; nil for documents that are not configurations
}

// add records a fault at a path.
func (c *checker) add(path, format string, args ...any) {
	if path == "" { // the name of the item or field is empty
		path = `""`
	}
	c.faults = append(c.faults, Fault{path, fmt.Sprintf(format, args...)})
}

// joinPath joins two parts of a path with a dot. Either may be empty.
func joinPath(a, b string) string {
	if a == "" || b == "" {
		return a + b
	}
	return a + "." + b
}

// checkName checks the length and the characters of a name.
func (c *checker) checkName(path, name string) {
	if name == "" || len(name) > tuning.ItemNameMax || strings.ContainsFunc(name, isInvalidNameRune) {
		c.add(path, "a name must have 1 to %d of the characters a-z, 0-9, - and _", tuning.ItemNameMax)
	}
}

func isInvalidNameRune(r rune) bool {
	return !(r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || r == '-' || r == '_')
}

// checkRange checks that the number in a field is between low and high, inclusive.
func (c *checker) checkRange(at, field string, number, low, high int) {
	if number < low || number > high {
		c.add(joinPath(at, field), "%d is not between %d and %d", number, low, high)
	}
}

// Texts of faults that several kinds of items share.
const (
	notPlainPath = "must be a plain path"
	notHost      = "must be a lower-case host name without port, or empty for all"
)

// isPlainPath reports whether a path has no query, fragment, wildcard or space, no empty segments and no segments that
// begin with a dot. Empty and dot segments would let one path be written in several ways.
func isPlainPath(path string) bool {
	return !strings.ContainsAny(path, "?#* ") && !strings.Contains(path, "//") && !strings.Contains(path, "/.")
}

// isHost reports whether host is valid in a rule or route: lower case and without port, or empty.
func isHost(host string) bool {
	return !strings.ContainsAny(host, "/:* ") && host == strings.ToLower(host)
}
