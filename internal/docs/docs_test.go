// Package docs checks that the documentation and the code agree.
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
	_ "postjunction/internal/node" // registers all procedures
	"postjunction/internal/settings"
	"postjunction/internal/wire"
)

// update compares the part of a page between two marks with what it must contain, or replaces it if
// the flag -update is given.
func update(t *testing.T, file, begin, end, want string) {
	t.Helper()
	path := "../../docs/" + file
	b, err := os.ReadFile(path)
	assert.NilError(t, err)
	page := string(b)
	start, stop := strings.Index(page, begin), strings.Index(page, end)
	assert.Assert(t, start >= 0 && stop > start, "%s has no table between %q and %q", file, begin, end)
	got := page[start+len(begin) : stop]
	if golden.FlagUpdate() {
		assert.NilError(t, os.WriteFile(path, []byte(page[:start+len(begin)]+want+page[stop:]), 0o644))
		return
	}
	assert.Equal(t, got, want, "run go test ./internal/docs -update and read the difference")
}

func TestEventCatalogue(t *testing.T) {
	events := event.All()
	sort.Slice(events, func(i, k int) bool { return events[i].Number < events[k].Number })
	var b strings.Builder
	b.WriteString("\n| event | level | text |\n|---|---|---|\n")
	last := 0
	for _, event := range events {
		assert.Assert(t, event.Number > last, "event %d is listed twice", event.Number)
		last = event.Number
		fmt.Fprintf(&b, "| %d | %s | %s |\n", event.Number, event.Level, event.Text)
	}
	b.WriteString("\n")
	update(t, "events.md", "<!-- events -->", "<!-- end -->", b.String())
}

// The table of calls between nodes says for each why it may be retried.
func TestCallsTable(t *testing.T) {
	calls := wire.Procedures()
	sort.Slice(calls, func(i, k int) bool { return calls[i].Path < calls[k].Path })
	var b strings.Builder
	b.WriteString("\n| call | repeated | because |\n|---|---|---|\n")
	for _, call := range calls {
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", strings.TrimPrefix(call.Path, "/postjunction."), call.Idempotency,
			call.Reason)
	}
	b.WriteString("\n")
	update(t, "design/wire.md", "<!-- calls -->", "<!-- end -->", b.String())
}

func TestProblemCatalogue(t *testing.T) {
	codes := apierror.Codes()
	var sorted []string
	for code := range codes {
		sorted = append(sorted, string(code))
	}
	sort.Strings(sorted)
	var b strings.Builder
	b.WriteString("\n| code | status | what to do |\n|---|---|---|\n")
	for _, code := range sorted {
		status, advice, _ := strings.Cut(codes[apierror.Code(code)], " ")
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", code, status, advice)
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

// Every test and mutant that the pages on the brief, the rules, the incidents and hardening name
// must exist.
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
	tests, names := regexp.MustCompile("`(Test[A-Za-z0-9_]+)`"),
		regexp.MustCompile("mutants?:? ((?:`[a-z-]+`(?:, )?)+)")
	atLeast := map[string]int{
		"docs/brief.md": 11, "docs/never.md": 11, "docs/incidents.md": 11, "docs/design/hardening.md": 11,
	}
	for _, page := range pagesOfIncidents(t) {
		atLeast[page] = 1
	}
	for page, least := range atLeast {
		content := read(t, page)
		found := tests.FindAllStringSubmatch(content, -1)
		assert.Assert(t, len(found) >= least, "%s names %d tests", page, len(found))
		for _, match := range found {
			assert.Assert(
				t, strings.Contains(code.String(), "func "+match[1]+"("), "%s names %s, which does not exist", page,
				match[1],
			)
		}
		for _, match := range names.FindAllStringSubmatch(content, -1) {
			for _, mutant := range strings.Split(match[1], ", ") {
				assert.Assert(t, strings.Contains(mutants.String(), "mutant "+strings.Trim(mutant, "`")+" "),
					"%s names mutant %s, which does not exist", page, mutant)
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
	defaults := reflect.ValueOf(settings.Default())
	for i := range defaults.NumField() {
		name, _, _ := strings.Cut(defaults.Type().Field(i).Tag.Get("json"), ",")
		assert.Assert(t, name != "" && strings.Contains(page, "`"+name+"`"), "the page lacks %s", name)
	}
}

// Journal entries that pages name by id must exist.
func TestJournalEntriesNamedOnPagesExist(t *testing.T) {
	entries, err := filepath.Glob("../../journal/*.json")
	assert.NilError(t, err)
	known := map[string]bool{}
	for _, entry := range entries {
		_, id, _ := strings.Cut(strings.TrimSuffix(filepath.Base(entry), ".json"), "-")
		known[id] = true
	}
	ids := regexp.MustCompile("[^`0-9a-f]([0-9a-f]{8})[^`0-9a-z]")
	for _, page := range []string{"docs/incidents.md", "docs/measurements.md"} {
		found := ids.FindAllStringSubmatch(read(t, page), -1)
		assert.Assert(t, len(found) > 10, "%s names %d entries", page, len(found))
		for _, match := range found {
			assert.Assert(t, known[match[1]], "%s names %s, which is not in the journal", page, match[1])
		}
	}
}
