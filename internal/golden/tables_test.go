package golden

import (
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"postjunction/internal/apierror"
	"postjunction/internal/event"
	"postjunction/internal/settings"
)

func sorted(lines []string) []string {
	slices.Sort(lines)
	return lines
}

// Compares the error codes with the status and the advice of each.
func TestErrorCodes(t *testing.T) {
	var out []string
	for code, text := range apierror.Codes() {
		problem := apierror.New(code, "")
		out = append(out, fmt.Sprintf("%s %d retry %d: %s\n", code, problem.Status(), problem.RetryAfterMS, text))
	}
	golden.Assert(t, strings.Join(sorted(out), ""), "errors.golden")
}

// Compares the numbers, levels and texts of log events.
func TestEventNumbers(t *testing.T) {
	var out []string
	for _, event := range event.All() {
		out = append(out, fmt.Sprintf("%04d %s %s\n", event.Number, event.Level, event.Text))
	}
	golden.Assert(t, strings.Join(sorted(out), ""), "events.golden")
}

// Compares the fields of the settings file in their order, with defaults, and those that may change
// in a running node.
func TestSettings(t *testing.T) {
	var out strings.Builder
	defaults := reflect.ValueOf(settings.Default())
	for i := range defaults.NumField() {
		b, err := json.Marshal(defaults.Field(i).Interface())
		assert.NilError(t, err)
		fmt.Fprintf(&out, "%s %s default %s\n", defaults.Type().Field(i).Tag, defaults.Field(i).Kind(), b)
	}
	var live []string
	for field := range settings.Reloadable {
		live = append(live, field)
	}
	fmt.Fprintf(&out, "live %s\n", sorted(live))
	b, err := json.MarshalIndent(filled(t, defaults.Type()), "", "  ")
	assert.NilError(t, err)
	fmt.Fprintf(&out, "all %s\n", b)
	for _, fault := range (settings.Options{}).Check() {
		fmt.Fprintf(&out, "faulty %s\n", reflect.ValueOf(fault).Field(0))
	}
	golden.Assert(t, out.String(), "settings.golden")
}

// shape returns the tags of a struct's fields in their order, and the names of fields without a
// tag. Names of types and packages are left out, so that they may change.
func shape(structType *ast.StructType) (tags string, bare []string) {
	var out []string
	for _, field := range structType.Fields.List {
		if field.Tag == nil {
			for _, name := range field.Names {
				if name.IsExported() {
					bare = append(bare, name.Name)
				}
			}
			if len(field.Names) == 0 {
				out = append(out, "embedded")
			}
			continue
		}
		value, err := strconv.Unquote(field.Tag.Value)
		if err != nil {
			value = err.Error()
		}
		out = append(out, value)
	}
	return strings.Join(out, " | "), bare
}

// Compares the tags of every struct with tags in the whole program, and checks that none of its
// exported fields is encoded under its Go name. This includes types that this package can't name,
// such as those declared within a function.
func TestTagsOfAllStructs(t *testing.T) {
	var all, faults []string
	assert.NilError(t, filepath.WalkDir("../..", func(path string, entry fs.DirEntry, err error) error {
		code := strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go")
		if err != nil || entry.IsDir() || !code {
			return err
		}
		set := token.NewFileSet()
		file, err := parser.ParseFile(set, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(node ast.Node) bool {
			structType, ok := node.(*ast.StructType)
			if !ok {
				return true
			}
			tags, bare := shape(structType)
			if !strings.Contains(tags, `:"`) {
				return true
			}
			all = append(all, tags)
			if len(bare) > 0 {
				faults = append(faults, fmt.Sprintf("%s: %v", set.Position(node.Pos()), bare))
			}
			return true
		})
		return nil
	}))
	assert.Assert(t, len(all) > 100, "only %d structs with tags", len(all))
	assert.Equal(t, strings.Join(sorted(faults), "\n"), "", "fields without a tag beside others")
	golden.Assert(t, strings.Join(sorted(all), "\n")+"\n", "tags.golden")
}
