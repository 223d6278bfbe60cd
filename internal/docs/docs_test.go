// Package docs keeps the pages equal to the code.
package docs

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"sort"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"postjunction/internal/apierror"
	"postjunction/internal/event"
	_ "postjunction/internal/node" // names all calls
	"postjunction/internal/settings"
	"postjunction/internal/wire"
)

func update(t *testing.T, file, begin, end, want string) {
	t.Helper()
	path := "../../docs/" + file
	b, err := os.ReadFile(path)
	assert.NilError(t, err)
	s := string(b)
	i, k := strings.Index(s, begin), strings.Index(s, end)
	assert.Assert(t, i >= 0 && k > i, "%s has no table between %q and %q", file, begin, end)
	got := s[i+len(begin) : k]
	if golden.FlagUpdate() {
		assert.NilError(t, os.WriteFile(path, []byte(s[:i+len(begin)]+want+s[k:]), 0o644))
		return
	}
	assert.Equal(t, got, want, "run go test ./internal/docs -update and read the difference")
}

func TestEventCatalogue(t *testing.T) {
	es := event.All()
	sort.Slice(es, func(i, k int) bool { return es[i].Number < es[k].Number })
	var b strings.Builder
	b.WriteString("\n| event | level | text |\n|---|---|---|\n")
	last := 0
	for _, e := range es {
		assert.Assert(t, e.Number > last, "event %d stands twice", e.Number)
		last = e.Number
		fmt.Fprintf(&b, "| %d | %s | %s |\n", e.Number, e.Level, e.Text)
	}
	b.WriteString("\n")
	update(t, "events.md", "<!-- events -->", "<!-- end -->", b.String())
}

// The table of calls between nodes says of each why it may be made again.
func TestCallsTable(t *testing.T) {
	calls := wire.Procedures()
	sort.Slice(calls, func(i, k int) bool { return calls[i].Path < calls[k].Path })
	var b strings.Builder
	b.WriteString("\n| call | repeated | because |\n|---|---|---|\n")
	for _, c := range calls {
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", strings.TrimPrefix(c.Path, "/postjunction."), c.Idempotency, c.Reason)
	}
	b.WriteString("\n")
	update(t, "design/wire.md", "<!-- calls -->", "<!-- end -->", b.String())
}

func TestProblemCatalogue(t *testing.T) {
	m := apierror.Codes()
	var ks []string
	for k := range m {
		ks = append(ks, string(k))
	}
	sort.Strings(ks)
	var b strings.Builder
	b.WriteString("\n| code | status | what to do |\n|---|---|---|\n")
	for _, k := range ks {
		status, advice, _ := strings.Cut(m[apierror.Code(k)], " ")
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", k, status, advice)
	}
	b.WriteString("\n")
	update(t, "callers.md", "<!-- problems -->", "<!-- end -->", b.String())
}

func read(t *testing.T, path string) string {
	t.Helper()
	b, err := os.ReadFile("../../" + path)
	assert.NilError(t, err)
	return string(b)
}

// Every test and mutant that the map of the brief, the never-list, the incidents and the note on
// hardening name must be there.
func TestChecksNamedInTheMapExist(t *testing.T) {
	var code strings.Builder
	assert.NilError(t, filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, "_test.go") {
			code.WriteString(read(t, strings.TrimPrefix(path, "../../")))
		}
		return err
	}))
	mutations, err := filepath.Glob("../../tools/mutations/*.sh")
	assert.NilError(t, err)
	var mutants strings.Builder
	for _, path := range mutations {
		mutants.WriteString(read(t, strings.TrimPrefix(path, "../../")))
	}
	tests, names := regexp.MustCompile("`(Test[A-Za-z0-9_]+)`"), regexp.MustCompile("mutants?:? ((?:`[a-z-]+`(?:, )?)+)")
	atLeast := map[string]int{
		"docs/brief.md": 11, "docs/never.md": 11, "docs/incidents.md": 11, "docs/design/hardening.md": 11,
	}
	for _, page := range pagesOfIncidents(t) {
		atLeast[page] = 1
	}
	for page, least := range atLeast {
		s := read(t, page)
		found := tests.FindAllStringSubmatch(s, -1)
		assert.Assert(t, len(found) >= least, "%s names %d tests", page, len(found))
		for _, m := range found {
			assert.Assert(
				t, strings.Contains(code.String(), "func "+m[1]+"("), "%s names %s, which is not there", page,
				m[1],
			)
		}
		for _, m := range names.FindAllStringSubmatch(s, -1) {
			for _, g := range strings.Split(m[1], ", ") {
				assert.Assert(t, strings.Contains(mutants.String(), "mutant "+strings.Trim(g, "`")+" "), "%s names mutant %s, which is not there", page, g)
			}
		}
	}
}

// pagesOfIncidents returns the pages of docs/incidents, each of which docs/incidents.md links to.
func pagesOfIncidents(t *testing.T) []string {
	t.Helper()
	paths, err := filepath.Glob("../../docs/incidents/*.md")
	assert.NilError(t, err)
	assert.Assert(t, len(paths) > 0)
	var pages []string
	for _, path := range paths {
		name := filepath.Base(path)
		assert.Assert(t, strings.Contains(read(t, "docs/incidents.md"), "incidents/"+name), "no link to %s", name)
		pages = append(pages, "docs/incidents/"+name)
	}
	return pages
}

// The operators' page names every field of the settings file.
func TestOperatorsPageNamesEverySetting(t *testing.T) {
	page := read(t, "docs/operating.md")
	page = page[:strings.Index(page, "## Starting and stopping")]
	d := reflect.ValueOf(settings.Default())
	for i := range d.NumField() {
		n, _, _ := strings.Cut(d.Type().Field(i).Tag.Get("json"), ",")
		assert.Assert(t, n != "" && strings.Contains(page, "`"+n+"`"), "the page lacks %s", n)
	}
}

// Journal entries that pages name by id must be there.
func TestJournalEntriesNamedOnPagesExist(t *testing.T) {
	es, err := filepath.Glob("../../journal/*.json")
	assert.NilError(t, err)
	known := map[string]bool{}
	for _, e := range es {
		_, id, _ := strings.Cut(strings.TrimSuffix(filepath.Base(e), ".json"), "-")
		known[id] = true
	}
	ids := regexp.MustCompile("[^`0-9a-f]([0-9a-f]{8})[^`0-9a-z]")
	for _, page := range []string{"docs/incidents.md", "docs/measurements.md"} {
		found := ids.FindAllStringSubmatch(read(t, page), -1)
		assert.Assert(t, len(found) > 10, "%s names %d entries", page, len(found))
		for _, m := range found {
			assert.Assert(t, known[m[1]], "%s names %s, which is not in the journal", page, m[1])
		}
	}
}
