// Package docs holds the pages to the code: what they name has to be there.
package docs

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	testName   = regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)[A-Z]\w+`)
	testFunc   = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)[A-Z]\w*)\(`)
	sourceFile = regexp.MustCompile("`([a-z]+(?:/[a-z_]+)*/[a-z_]+\\.(?:go|json|toml|md))`")
	pageLink   = regexp.MustCompile(`\]\(([^)#:]+)\)`)
)

// tests are the names of all tests of the repository.
func tests(t *testing.T) map[string]bool {
	t.Helper()
	all := map[string]bool{}
	err := filepath.WalkDir("..", func(p string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if name := d.Name(); d.IsDir() && p != ".." && (strings.HasPrefix(name, ".") || name == "journal" || name == "target" || name == "bin" || name == "lab") {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(p, "_test.go") {
			return nil
		}
		b, err := os.ReadFile(p)
		for _, m := range testFunc.FindAllStringSubmatch(string(b), -1) {
			all[m[1]] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return all
}

// Every test, source file and page that a page names exists. The table of renames names
// what was, in its first column; incidents are told as they were.
func TestPagesNameWhatIsThere(t *testing.T) {
	all := tests(t)
	pages, err := filepath.Glob("*.md")
	if err != nil {
		t.Fatal(err)
	}
	control, err := filepath.Glob("control/*.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, page := range append(append(pages, control...), "../README.md") {
		b, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		renames := false
		for i, line := range strings.Split(string(b), "\n") {
			if strings.HasPrefix(line, "#") {
				renames = line == "## Renames"
			}
			if cells := strings.SplitN(line, "|", 3); renames && len(cells) == 3 {
				line = cells[2]
			}
			for _, name := range testName.FindAllString(line, -1) {
				if !all[name] {
					t.Errorf("%s:%d names %s", page, i+1, name)
				}
			}
			for _, m := range sourceFile.FindAllStringSubmatch(line, -1) {
				if _, err := os.Stat(filepath.Join("..", m[1])); err != nil {
					t.Errorf("%s:%d names %s", page, i+1, m[1])
				}
			}
			for _, m := range pageLink.FindAllStringSubmatch(line, -1) {
				if _, err := os.Stat(filepath.Join(filepath.Dir(page), m[1])); err != nil && !strings.HasPrefix(m[1], "http") {
					t.Errorf("%s:%d links to %s", page, i+1, m[1])
				}
			}
		}
	}
}
