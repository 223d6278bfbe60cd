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

// finalCodes are the error codes of final answers to an operator, by their names in package
// apierror.
var finalCodes = map[string]bool{
	"ConfigurationConflict": true, "ConfigurationMissing": true, "UnknownNode": true,
	"DecommissionUnsafe": true, "AlreadyEmpty": true,
}

// Final refusals must be made from confirmed values only, and confirmed values only by functions
// that wait for a majority.
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
			ast.Inspect(function, func(node ast.Node) bool {
				switch expression := node.(type) {
				case *ast.CallExpr:
					name := calledName(expression)
					if code := firstCode(expression); finalCodes[code] && name != "HasCode" {
						assert.Equal(t, name, "refuse", "%s: %s makes %s", path, function.Name.Name, code)
						refusals++
					}
				case *ast.CompositeLit:
					if generic, ok := expression.Type.(*ast.IndexExpr); ok {
						if name, ok := generic.X.(*ast.Ident); ok && name.Name == "confirmed" {
							assert.Assert(t, constructors[function.Name.Name], "%s: %s makes a confirmed value",
								path, function.Name.Name)
						}
					}
				}
				return true
			})
		}
	}
	assert.Assert(t, refusals >= 6, "%d refusals were found", refusals)
}

// calledName returns the name of the called function or method, "" for any other expression.
func calledName(call *ast.CallExpr) string {
	switch function := call.Fun.(type) {
	case *ast.SelectorExpr:
		return function.Sel.Name
	case *ast.Ident:
		return function.Name
	}
	return ""
}

// firstCode returns the first argument of a call that is a code of package apierror, "" if none is.
func firstCode(call *ast.CallExpr) string {
	for _, argument := range call.Args {
		if selector, ok := argument.(*ast.SelectorExpr); ok {
			if pkg, ok := selector.X.(*ast.Ident); ok && pkg.Name == "apierror" {
				return selector.Sel.Name
			}
		}
	}
	return ""
}
