package config

import (
	"fmt"
	"strings"

	"myrtlefold/internal/shared/tuning"
)

// checker collects the faults of a document.
type checker struct {
	faults      []Fault
	checkPolicy func(Policy) []Fault // Parse's parameter; nil for other documents
}

// add adds a fault at a path.
func (c *checker) add(path, format string, args ...any) {
	if path == "" { // an item's name is empty
		path = `""`
	}
	c.faults = append(c.faults, Fault{path, fmt.Sprintf(format, args...)})
}

// joinPath joins two parts of a path, either of which may be empty.
func joinPath(a, b string) string {
	if a == "" || b == "" {
		return a + b
	}
	return a + "." + b
}

// checkName checks the name of an item.
func (c *checker) checkName(path, name string) {
	if name == "" || len(name) > tuning.ItemNameMax || strings.ContainsFunc(name, isNoNameRune) {
		c.add(path, "a name is 1 to %d of a-z, 0-9, - and _", tuning.ItemNameMax)
	}
}

func isNoNameRune(r rune) bool {
	return !(r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || r == '-' || r == '_')
}

// checkRange checks that the number in a field is between low and high, both included.
func (c *checker) checkRange(at, field string, number, low, high int) {
	if number < low || number > high {
		c.add(joinPath(at, field), "%d is not between %d and %d", number, low, high)
	}
}

// Texts of faults that rules and routes have in common.
const (
	notPlainPath = "must be a plain path"
	notHost      = "must be a lower-case host name without port, or empty for all"
)

// isPlainPath reports whether a path is without query, wildcards and empty or dot segments, which have
// other spellings.
func isPlainPath(path string) bool {
	return !strings.ContainsAny(path, "?#* ") && !strings.Contains(path, "//") && !strings.Contains(path, "/.")
}

// isHost reports whether a rule or route may be for that host.
func isHost(host string) bool {
	return !strings.ContainsAny(host, "/:* ") && host == strings.ToLower(host)
}
