package golden

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"postjunction/internal/apierror"
	"postjunction/internal/client"
	"postjunction/internal/client/session"
	"postjunction/internal/control/acceptor"
	"postjunction/internal/disk/journal"
	"postjunction/internal/httpapi"
	"postjunction/internal/lineserver"
	"postjunction/internal/lineserver/jsoncodec"
	"postjunction/internal/operator"
	"postjunction/internal/placement/decommission"
	"postjunction/internal/replay/recording"
	"postjunction/internal/settings"
	"postjunction/internal/usage"
	"postjunction/platform"
)

// answers are the types whose JSON callers and operators are given, or write.
var answers = []struct {
	name string
	form reflect.Type
}{
	{"status", reflect.TypeFor[operator.Status]()},
	{"partition", reflect.TypeFor[operator.PartitionDetail]()},
	{"description accepted", reflect.TypeFor[operator.Acceptance]()},
	{"why", reflect.TypeFor[operator.Explanation]()},
	{"drains", reflect.TypeFor[decommission.Order]()},
	{"usage", reflect.TypeFor[usage.Row]()},
	{"usage schema", reflect.TypeFor[usage.Field]()},
	{"counters journal", reflect.TypeFor[journal.Counters]()},
	{"attach", reflect.TypeFor[client.Attachment]()},
	{"send", reflect.TypeFor[client.Receipt]()},
	{"withdraw", reflect.TypeFor[client.Withdrawal]()},
	{"count", reflect.TypeFor[client.PresenceCount]()},
	{"ack", reflect.TypeFor[client.CursorSaved]()},
	{"stream", reflect.TypeFor[client.Event]()},
	{"recording header", reflect.TypeFor[recording.Header]()},
	{"recording message", reflect.TypeFor[recording.Message]()},
	{"platform configuration", reflect.TypeFor[platform.Configuration]()},
}

// The JSON that callers and operators are given.
func TestAnswersToCallers(t *testing.T) {
	var out strings.Builder
	for _, a := range answers {
		b, err := json.Marshal(filled(t, a.form))
		assert.NilError(t, err)
		fmt.Fprintf(&out, "%s %s\n", a.name, b)
	}
	golden.Assert(t, out.String(), "answers.golden")
}

// Answers to callers have tags throughout.
func TestFieldsOfAnswersHaveTags(t *testing.T) {
	found, seen := map[string]bool{}, map[reflect.Type]bool{}
	for _, a := range answers {
		untagged(a.form, seen, found)
	}
	assert.Equal(t, len(found), 0, "%v need a tag", found)
}

// The paths that callers may use, the methods of each, and how a faulty call of it is turned away.
func TestPathsOfCallers(t *testing.T) {
	ready := func() error { return apierror.New(apierror.NotReady, "not yet") }
	h := (&httpapi.API{Timing: settings.DefaultTiming, Ready: ready}).Handler()
	var out strings.Builder
	ask := func(method, path, token, doc string) {
		r := httptest.NewRequest(method, path, strings.NewReader(doc))
		if token != "" {
			r.Header.Set("Authorization", token)
		}
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		allow := slices.Clone(w.Header()["Allow"])
		fmt.Fprintf(&out, "%s %s %s %s: %d allow %s retry %q type %q\n  %s",
			method, path, token, doc, w.Code, sorted(allow),
			w.Header().Get("Retry-After"), w.Header().Get("Content-Type"), w.Body)
	}
	for _, p := range []string{
		"/ready", "/live", "/v1/attach", "/v1/send", "/v1/withdraw", "/v1/stream", "/v1/ack",
		"/v1/count", "/v1/description", "/v1/status", "/v1/counters", "/v1/usage", "/v1/drain",
		"/v1/partition", "/v1/why", "/v1/nowhere",
	} {
		ask("DELETE", p, "", "")
	}
	ask("GET", "/ready", "", "")
	ask("GET", "/live", "", "")
	const bearer = "Bearer pj1.cGlja2VyLTd8MnxzZWNyZXQ"
	for _, p := range []string{"/v1/attach", "/v1/send", "/v1/withdraw", "/v1/ack", "/v1/drain"} {
		ask("POST", p, "", "{}")
		ask("POST", p, bearer, "{}")
		ask("POST", p, bearer, `{"surplus":1}`)
		ask("POST", p, bearer, "no json")
	}
	for _, p := range []string{
		"/v1/stream?x=1", "/v1/count?x=1", "/v1/partition?x=1", "/v1/why?x=1", "/v1/why?call_seq=x",
	} {
		ask("GET", p, "", "")
		ask("GET", p, "Bearer foreign", "")
		ask("GET", p, bearer, "")
	}
	golden.Assert(t, out.String(), "paths.golden")
}

// platformRequests returns requests in the platform's words, which no Go file outside it holds.
func platformRequests(t *testing.T) []string {
	t.Helper()
	content, err := os.ReadFile("testdata/platform_requests.txt")
	assert.NilError(t, err)
	lines := strings.Split(strings.TrimSuffix(string(content), "\n"), "\n")
	for i, line := range lines {
		lines[i] = strings.ReplaceAll(line, `\r\n`, "\r\n")
	}
	return lines
}

// The words of a connection's lines: what tasks are read as, field by field, and how each answer
// and each problem is told.
func TestLines(t *testing.T) {
	var out strings.Builder
	asked := map[lineserver.Codec][]string{
		jsoncodec.Codec{}: {
			`{"verb":"attach","visitor":"v"}`, `{"verb":"join","topic":"t","cursor":"c"}`,
			`{"verb":"leave","topic":"t"}`,
			`{"verb":"send","topic":"t","call_seq":7,"body":{"x":1},"key":"k"}`,
			`{"verb":"count","topic":"t"}`, `{"verb":"pulse"}`,
			`{"verb":"withdraw","topic":"t","key":"k","call_seq":8,"of":"w","upto":5}`,
			`{"verb":"dance"}`, `{"verb":"join","x":1}`,
		},
		platform.Codec{}: platformRequests(t),
	}
	whats := []string{
		"attached", "joined", "left", "taken", "counted", "alive", "message", "turned", "moved",
		"withdrawn", "forgotten", "nothing",
	}
	for _, c := range []lineserver.Codec{jsoncodec.Codec{}, platform.Codec{}} {
		for _, s := range asked[c] {
			q, err := c.ReadRequest(bufio.NewReader(strings.NewReader(s+"\r\n")), 64)
			fmt.Fprintf(&out, "read %q as %q failure %v\n", s, fmt.Sprintf("%v", q), err)
		}
		for _, w := range whats {
			a := session.Response{
				Type: session.ResponseType(w), InReplyTo: "send", Topic: "t", Cursor: "c", From: "f", CallSeq: 7, Count: 8,
				Body: []byte(`{"x":1}`), Address: "127.0.0.1:7400", Key: "k", AlreadyWithdrawn: true,
				GivenUp: []string{"n"},
			}
			fmt.Fprintf(&out, "tell %s %q\n", w, c.AppendResponse(nil, a))
		}
		var turned []string
		for k := range apierror.Codes() {
			n := uint64(9)
			p := apierror.New(k, "why").WithCurrent(n)
			a := session.Response{Type: "turned", InReplyTo: "join", Topic: "t", Err: p}
			turned = append(turned, fmt.Sprintf("turn %s %q\n", k, c.AppendResponse(nil, a)))
		}
		out.WriteString(strings.Join(sorted(turned), ""))
	}
	golden.Assert(t, out.String(), "lines.golden")
}

// peer hears a call between nodes as it goes out, and lets a handler answer.
type peer struct {
	h    http.Handler
	said strings.Builder
}

// Do makes the call.
func (p *peer) Do(r *http.Request) (*http.Response, error) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	fmt.Fprintf(&p.said, "%s %s %s\n  body %x\n", r.Method, r.URL, heads(r.Header), b)
	r.Body = io.NopCloser(strings.NewReader(string(b)))
	w := httptest.NewRecorder()
	p.h.ServeHTTP(w, r)
	a := w.Result()
	fmt.Fprintf(&p.said, "  answer %d %s\n  body %x\n", a.StatusCode, heads(a.Header), w.Body.Bytes())
	return a, nil
}

func heads(h http.Header) string {
	var out []string
	for k, v := range h {
		if k != "User-Agent" && k != "Date" {
			out = append(out, fmt.Sprintf("%s=%q", k, v))
		}
	}
	return strings.Join(sorted(out), " ")
}

// A whole call between nodes: path, headers and bodies, and what a caller of a newer format is
// told.
func TestCallBetweenNodes(t *testing.T) {
	m := http.NewServeMux()
	v := acceptor.New()
	v.Start(disk, nil, nil, nil)
	v.Serve(m)
	p := &peer{h: m}
	for _, inc := range []string{disk, "other"} {
		q := &acceptor.PeekRequest{VoterSet: 1, Incarnation: inc, Keys: []string{"k"}}
		_, err := acceptor.Peek.Call(t.Context(), p, "machine-1", "127.0.0.1:7500", q)
		fmt.Fprintf(&p.said, "  problem %v\n", err)
	}
	r := httptest.NewRequest("POST", "/postjunction.Control/Peek", strings.NewReader("\xa0"))
	for k, v := range map[string]string{
		"Content-Type": "application/cbor", "Connect-Protocol-Version": "1",
		"Postjunction-Wire": "99", "Postjunction-From": "x",
	} {
		r.Header.Set(k, v)
	}
	_, err := p.Do(r)
	assert.NilError(t, err)
	golden.Assert(t, p.said.String(), "call.golden")
}
