package docs

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

	"gotest.tools/v3/assert"
)

// withdrawnWords are earlier words of this project. docs/glossary.md names the term that replaces
// each.
var withdrawnWords = []string{
	"visitor", "visitors", "fellow", "fellows", "licence", "licences", "licensed", "pulse", "pulses", "holder",
	"steward", "heir", "heirs", "desk", "reign", "reigns", "astray", "vow", "vows", "vowed", "blow", "blows", "guest",
	"guests", "parcel", "parcels", "nobody", "house", "story", "told", "alike", "doubt", "doubtful", "ripe",
	"porch", "hush", "meddle", "meddling", "roster", "rosters", "mender", "duty", "mates", "kin",
	"errand", "mishap",
}

// unfinishedPackages still use withdrawn words in identifiers, each for the reason given. The map
// is empty when all packages are finished. A package that is finished must stay clean.
var unfinishedPackages = map[string]string{}

// Identifiers of finished packages use the terms of the glossary: a withdrawn word must not come
// back.
func TestIdentifiers_UseNoWithdrawnWords(t *testing.T) {
	found := map[string][]string{}
	walkSources(t, func(path string, file *ast.File, set *token.FileSet) {
		directory := filepath.ToSlash(filepath.Dir(strings.TrimPrefix(path, "../../")))
		for _, name := range declaredNames(file) {
			for _, word := range splitWords(name.Name) {
				if slices.Contains(withdrawnWords, word) {
					found[directory] = append(found[directory], set.Position(name.Pos()).String()+": "+name.Name)
				}
			}
		}
	})
	for directory, names := range found {
		if _, unfinished := unfinishedPackages[directory]; !unfinished {
			t.Errorf(
				"%s has %d identifiers with withdrawn words:\n%s", directory, len(names),
				strings.Join(names, "\n"),
			)
		}
	}
	for directory := range unfinishedPackages {
		assert.Check(t, len(found[directory]) > 0, "%s is clean: take it off the list", directory)
	}
}

func walkSources(t *testing.T, visit func(path string, file *ast.File, set *token.FileSet)) {
	t.Helper()
	err := filepath.WalkDir("../..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_easyjson.go") {
			return err
		}
		set := token.NewFileSet()
		file, err := parser.ParseFile(set, path, nil, parser.SkipObjectResolution)
		if err == nil {
			visit(path, file, set)
		}
		return err
	})
	assert.NilError(t, err)
}

// declaredNames returns the identifiers that a file declares, at any depth.
func declaredNames(file *ast.File) []*ast.Ident {
	var names []*ast.Ident
	add := func(expressions ...ast.Expr) {
		for _, expression := range expressions {
			if name, ok := expression.(*ast.Ident); ok && name.Name != "_" {
				names = append(names, name)
			}
		}
	}
	ast.Inspect(file, func(node ast.Node) bool {
		switch declaration := node.(type) {
		case *ast.FuncDecl:
			names = append(names, declaration.Name)
		case *ast.TypeSpec:
			names = append(names, declaration.Name)
		case *ast.ValueSpec:
			names = append(names, declaration.Names...)
		case *ast.Field:
			names = append(names, declaration.Names...)
		case *ast.AssignStmt:
			if declaration.Tok == token.DEFINE {
				add(declaration.Lhs...)
			}
		case *ast.RangeStmt:
			if declaration.Tok == token.DEFINE {
				add(declaration.Key, declaration.Value)
			}
		}
		return true
	})
	return names
}

// splitWords returns the words of a name in camel case, in lower case.
func splitWords(name string) []string {
	var words []string
	start := 0
	runes := []rune(name)
	for i := 1; i <= len(runes); i++ {
		if i == len(runes) || unicode.IsUpper(runes[i]) && !unicode.IsUpper(runes[i-1]) {
			words = append(words, strings.ToLower(string(runes[start:i])))
			start = i
		}
	}
	return words
}
