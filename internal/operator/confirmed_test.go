package operator

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// finalCodes are the error codes, by their names in package apierror, that end an operator's call
// for good.
var finalCodes = map[string]bool{
	"ConfigurationConflict": true, "ConfigurationMissing": true, "UnknownNode": true,
	"DecommissionUnsafe": true, "AlreadyEmpty": true,
}

// Final refusals are made from confirmed values only, and confirmed values only where a majority
// has answered.
func TestFinalAnswersRestOnAMajority(t *testing.T) {
	paths, err := filepath.Glob("*.go")
	assert.NilError(t, err)
	constructors := map[string]bool{"readAs": true, "derive": true, "askMajority": true}
	refusals := 0
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		assert.NilError(t, err)
		for _, declaration := range file.Decls {
			function, ok := declaration.(*ast.FuncDecl)
			if !ok {
				continue
			}
			ast.Inspect(function, func(n ast.Node) bool {
				switch x := n.(type) {
				case *ast.CallExpr:
					name := calledName(x)
					if code := firstCode(x); finalCodes[code] && name != "HasCode" {
						assert.Equal(t, name, "refuse", "%s: %s makes %s", path, function.Name.Name, code)
						refusals++
					}
				case *ast.CompositeLit:
					if ix, ok := x.Type.(*ast.IndexExpr); ok {
						if id, ok := ix.X.(*ast.Ident); ok && id.Name == "confirmed" {
							assert.Assert(t, constructors[function.Name.Name], "%s: %s makes a confirmed value",
								path, function.Name.Name)
						}
					}
				}
				return true
			})
		}
	}
	assert.Assert(t, refusals >= 6, "%d refusals were seen", refusals)
}

// calledName returns the name of the function or method that is called, "" for any other
// expression.
func calledName(x *ast.CallExpr) string {
	switch f := x.Fun.(type) {
	case *ast.SelectorExpr:
		return f.Sel.Name
	case *ast.Ident:
		return f.Name
	}
	return ""
}

// firstCode returns the first argument of a call that is a code of package apierror, "" for none.
func firstCode(x *ast.CallExpr) string {
	for _, a := range x.Args {
		if s, ok := a.(*ast.SelectorExpr); ok {
			if p, ok := s.X.(*ast.Ident); ok && p.Name == "apierror" {
				return s.Sel.Name
			}
		}
	}
	return ""
}
