// Package conventions tests the source code for rules that the linters do not cover: doc comments start with the name
// of what they describe, identifiers use established technical terms, and errors are distinguished by value or type,
// not by text. It contains only tests.
package conventions

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"unicode"
)

// root is the path of the repository root from this directory.
const root = "../../.."

// source is a parsed Go file.
type source struct {
	path string // relative to the root
	file *ast.File
	set  *token.FileSet
}

// at returns a position as file, line and column, with the file relative to the root.
func (s *source) at(pos token.Pos) string {
	p := s.set.Position(pos)
	p.Filename = s.path
	return p.String()
}

// sources parses all Go files that are neither generated nor tests.
func sources(t *testing.T) []source {
	t.Helper()
	var all []source
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name := entry.Name()
		if entry.IsDir() && path != root && (strings.HasPrefix(name, ".") || slices.Contains([]string{"journal", "target", "bin", "lab"}, name)) {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return nil
		}
		set := token.NewFileSet()
		file, err := parser.ParseFile(set, path, nil, parser.ParseComments)
		if err != nil || ast.IsGenerated(file) {
			return err
		}
		relative, err := filepath.Rel(root, path)
		all = append(all, source{relative, file, set})
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(all) < 100 {
		t.Fatalf("found only %d Go files, expected at least 100", len(all))
	}
	return all
}

// declaration is a declared function or type with its doc comment, which is nil if it has none.
type declaration struct {
	name *ast.Ident
	doc  *ast.CommentGroup
}

// declarations returns the functions and types that a file declares.
func declarations(file *ast.File) []declaration {
	var all []declaration
	for _, d := range file.Decls {
		switch d := d.(type) {
		case *ast.FuncDecl:
			all = append(all, declaration{d.Name, d.Doc})
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				if s, ok := spec.(*ast.TypeSpec); ok {
					doc := s.Doc
					if doc == nil && len(d.Specs) == 1 {
						doc = d.Doc
					}
					all = append(all, declaration{s.Name, doc})
				}
			}
		}
	}
	return all
}

// misnamed reports whether the doc comment of d, after an optional article, starts with a word other than its name.
func misnamed(d declaration) bool {
	if d.doc == nil || strings.HasPrefix(d.doc.Text(), "Deprecated") {
		return false
	}
	words := strings.Fields(d.doc.Text())
	if len(words) > 0 && slices.Contains([]string{"A", "An", "The"}, words[0]) {
		words = words[1:]
	}
	return len(words) > 0 && strings.Trim(words[0], ".,:") != d.name.Name
}

// Doc comments of functions and types start with their names.
func TestDocCommentsNameWhatTheyDescribe(t *testing.T) {
	for _, s := range sources(t) {
		for _, d := range declarations(s.file) {
			if misnamed(d) {
				t.Errorf("%s: the doc comment of %s does not start with its name", s.at(d.name.Pos()), d.name.Name)
			}
		}
	}
}

// forbiddenWords are project-specific words, used in earlier versions, for concepts that have an established technical
// term. docs/glossary.md lists the terms.
var forbiddenWords = strings.Fields(`told tell tells sick ill thrown beat beats duty duties keeper mates mate fellows fellow kin
	errand letters book ballot mend mends mishap shed ramp aim aims worth chill pipe pipes exchange shelf lot lots
	hears hear heard hearsay roster owed gate gates hub canon stands standing obstacle scarce tally beaten ended ender
	outlook silences errands shelf news`)

// identifierWords splits an identifier before each upper-case letter and returns the parts in lower case.
func identifierWords(name string) []string {
	var words []string
	start := 0
	for i, r := range name {
		if i > 0 && unicode.IsUpper(r) {
			words = append(words, strings.ToLower(name[start:i]))
			start = i
		}
	}
	return append(words, strings.ToLower(name[start:]))
}

// forbiddenWord returns the first forbidden word in an identifier, or "" if it has none.
func forbiddenWord(name string) string {
	for _, w := range identifierWords(name) {
		if slices.Contains(forbiddenWords, w) {
			return w
		}
	}
	return ""
}

// declaredNames returns the identifiers that a file declares at top level and the fields of its struct types.
func declaredNames(file *ast.File) []*ast.Ident {
	var all []*ast.Ident
	for _, d := range file.Decls {
		switch d := d.(type) {
		case *ast.FuncDecl:
			all = append(all, d.Name)
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				switch s := spec.(type) {
				case *ast.ValueSpec:
					all = append(all, s.Names...)
				case *ast.TypeSpec:
					all = append(all, s.Name)
					if fields, ok := s.Type.(*ast.StructType); ok {
						for _, f := range fields.Fields.List {
							all = append(all, f.Names...)
						}
					}
				}
			}
		}
	}
	return all
}

// Identifiers contain no forbidden words.
func TestIdentifiersUseEstablishedTerms(t *testing.T) {
	for _, s := range sources(t) {
		for _, id := range declaredNames(s.file) {
			if w := forbiddenWord(id.Name); w != "" {
				t.Errorf("%s: %s contains the forbidden word %q; see docs/glossary.md for the established term", s.at(id.Pos()), id.Name, w)
			}
		}
	}
}

// errorTextComparison reports whether n compares the text of an error with a literal, or passes it to a function of
// package strings; errors.Is and errors.As must be used instead. Comparing the texts of two errors with each other, for
// example to avoid logging the same line again, is allowed.
func errorTextComparison(n ast.Node) bool {
	isText := func(x ast.Expr) bool {
		call, ok := x.(*ast.CallExpr)
		if !ok || len(call.Args) > 0 {
			return false
		}
		selector, ok := call.Fun.(*ast.SelectorExpr)
		return ok && selector.Sel.Name == "Error"
	}
	isLiteral := func(x ast.Expr) bool {
		_, ok := x.(*ast.BasicLit)
		return ok
	}
	switch n := n.(type) {
	case *ast.BinaryExpr:
		return (n.Op == token.EQL || n.Op == token.NEQ) && (isText(n.X) && isLiteral(n.Y) || isText(n.Y) && isLiteral(n.X))
	case *ast.CallExpr:
		selector, ok := n.Fun.(*ast.SelectorExpr)
		if !ok {
			return false
		}
		from, ok := selector.X.(*ast.Ident)
		return ok && from.Name == "strings" && slices.ContainsFunc(n.Args, isText)
	}
	return false
}

// Errors are distinguished by value or type, not by their text.
func TestErrorsAreNotDistinguishedByText(t *testing.T) {
	for _, s := range sources(t) {
		ast.Inspect(s.file, func(n ast.Node) bool {
			if n != nil && errorTextComparison(n) {
				t.Errorf("%s: compares the text of an error; use errors.Is or errors.As", s.at(n.Pos()))
			}
			return true
		})
	}
}

// Each check detects the violations in a sample file.
func TestChecksDetectViolations(t *testing.T) {
	const text = `package p

// former is what it was called.
func present() {}

// present2 has a gate.
type present2 struct{ gateOf int }

func compare(err error) bool { return err.Error() == "x" || strings.Contains(err.Error(), "y") }
`
	file, err := parser.ParseFile(token.NewFileSet(), "p.go", text, parser.ParseComments)
	if err != nil {
		t.Fatal(err)
	}
	var docs, names, texts int
	for _, d := range declarations(file) {
		if misnamed(d) {
			docs++
		}
	}
	for _, id := range declaredNames(file) {
		if forbiddenWord(id.Name) != "" {
			names++
		}
	}
	ast.Inspect(file, func(n ast.Node) bool {
		if n != nil && errorTextComparison(n) {
			texts++
		}
		return true
	})
	if docs != 1 || names != 1 || texts != 2 {
		t.Errorf("found %d misnamed doc comments, %d forbidden names and %d error text comparisons, want 1, 1 and 2", docs, names, texts)
	}
}
