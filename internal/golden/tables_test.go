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

func sorted(s []string) []string {
	slices.Sort(s)
	return s
}

// Error codes, with the status of each and what it advises.
func TestErrorCodes(t *testing.T) {
	var out []string
	for k, s := range apierror.Codes() {
		p := apierror.New(k, "")
		out = append(out, fmt.Sprintf("%s %d retry %d: %s\n", k, p.Status(), p.RetryAfterMS, s))
	}
	golden.Assert(t, strings.Join(sorted(out), ""), "errors.golden")
}

// Numbers, levels and texts of what is logged.
func TestEventNumbers(t *testing.T) {
	var out []string
	for _, e := range event.All() {
		out = append(out, fmt.Sprintf("%04d %s %s\n", e.Number, e.Level, e.Text))
	}
	golden.Assert(t, strings.Join(sorted(out), ""), "events.golden")
}

// Fields of the settings file, in their order, with defaults, and those that may change under a
// running node.
func TestSettings(t *testing.T) {
	var out strings.Builder
	d := reflect.ValueOf(settings.Default())
	for i := range d.NumField() {
		b, err := json.Marshal(d.Field(i).Interface())
		assert.NilError(t, err)
		fmt.Fprintf(&out, "%s %s default %s\n", d.Type().Field(i).Tag, d.Field(i).Kind(), b)
	}
	var live []string
	for k := range settings.Reloadable {
		live = append(live, k)
	}
	fmt.Fprintf(&out, "live %s\n", sorted(live))
	b, err := json.MarshalIndent(filled(t, d.Type()), "", "  ")
	assert.NilError(t, err)
	fmt.Fprintf(&out, "all %s\n", b)
	for _, f := range (settings.Options{}).Check() {
		fmt.Fprintf(&out, "faulty %s\n", reflect.ValueOf(f).Field(0))
	}
	golden.Assert(t, out.String(), "settings.golden")
}

// shape gives the tags of a struct's fields in their order, and the names of fields that have
// none though others have. Names of types and packages are left out, so that what they are
// called now may change.
func shape(s *ast.StructType) (tags string, bare []string) {
	var out []string
	for _, f := range s.Fields.List {
		if f.Tag == nil {
			for _, n := range f.Names {
				if n.IsExported() {
					bare = append(bare, n.Name)
				}
			}
			if len(f.Names) == 0 {
				out = append(out, "embedded")
			}
			continue
		}
		v, err := strconv.Unquote(f.Tag.Value)
		if err != nil {
			v = err.Error()
		}
		out = append(out, v)
	}
	return strings.Join(out, " | "), bare
}

// Every struct with tags in the whole program: its tags stay, and no exported field of it is
// written under its Go name. So types that this package can't name, as those that a function
// declares for itself, are held too.
func TestTagsOfAllStructs(t *testing.T) {
	var all, faults []string
	assert.NilError(t, filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		code := strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go")
		if err != nil || d.IsDir() || !code {
			return err
		}
		set := token.NewFileSet()
		f, err := parser.ParseFile(set, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(f, func(n ast.Node) bool {
			s, ok := n.(*ast.StructType)
			if !ok {
				return true
			}
			tags, bare := shape(s)
			if !strings.Contains(tags, `:"`) {
				return true
			}
			all = append(all, tags)
			if len(bare) > 0 {
				faults = append(faults, fmt.Sprintf("%s: %v", set.Position(n.Pos()), bare))
			}
			return true
		})
		return nil
	}))
	assert.Assert(t, len(all) > 100, "only %d structs with tags", len(all))
	assert.Equal(t, strings.Join(sorted(faults), "\n"), "", "fields without a tag beside others")
	golden.Assert(t, strings.Join(sorted(all), "\n")+"\n", "tags.golden")
}
