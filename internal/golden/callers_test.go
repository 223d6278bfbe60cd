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

// answers are the types whose JSON clients and operators receive or write.
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

// Compares the JSON that clients and operators receive.
func TestAnswersToCallers(t *testing.T) {
	var out strings.Builder
	for _, answer := range answers {
		b, err := json.Marshal(filled(t, answer.form))
		assert.NilError(t, err)
		fmt.Fprintf(&out, "%s %s\n", answer.name, b)
	}
	golden.Assert(t, out.String(), "answers.golden")
}

// All fields of answers to clients and operators need tags.
func TestFieldsOfAnswersHaveTags(t *testing.T) {
	found, seen := map[string]bool{}, map[reflect.Type]bool{}
	for _, answer := range answers {
		untagged(answer.form, seen, found)
	}
	assert.Equal(t, len(found), 0, "%v need a tag", found)
}

// Compares the paths of the HTTP API, the methods of each, and the rejections of invalid calls.
func TestPathsOfCallers(t *testing.T) {
	ready := func() error { return apierror.New(apierror.NotReady, "not yet") }
	handler := (&httpapi.API{Timing: settings.DefaultTiming, Ready: ready}).Handler()
	var out strings.Builder
	request := func(method, path, token, doc string) {
		r := httptest.NewRequest(method, path, strings.NewReader(doc))
		if token != "" {
			r.Header.Set("Authorization", token)
		}
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		allow := slices.Clone(w.Header()["Allow"])
		fmt.Fprintf(&out, "%s %s %s %s: %d allow %s retry %q type %q\n  %s",
			method, path, token, doc, w.Code, sorted(allow),
			w.Header().Get("Retry-After"), w.Header().Get("Content-Type"), w.Body)
	}
	for _, path := range []string{
		"/ready", "/live", "/v1/attach", "/v1/send", "/v1/withdraw", "/v1/stream", "/v1/ack",
		"/v1/count", "/v1/description", "/v1/status", "/v1/counters", "/v1/usage", "/v1/drain",
		"/v1/partition", "/v1/why", "/v1/nowhere",
	} {
		request("DELETE", path, "", "")
	}
	request("GET", "/ready", "", "")
	request("GET", "/live", "", "")
	const bearer = "Bearer pj1.cGlja2VyLTd8MnxzZWNyZXQ"
	for _, path := range []string{"/v1/attach", "/v1/send", "/v1/withdraw", "/v1/ack", "/v1/drain"} {
		request("POST", path, "", "{}")
		request("POST", path, bearer, "{}")
		request("POST", path, bearer, `{"surplus":1}`)
		request("POST", path, bearer, "no json")
	}
	for _, path := range []string{
		"/v1/stream?x=1", "/v1/count?x=1", "/v1/partition?x=1", "/v1/why?x=1", "/v1/why?call_seq=x",
	} {
		request("GET", path, "", "")
		request("GET", path, "Bearer foreign", "")
		request("GET", path, bearer, "")
	}
	golden.Assert(t, out.String(), "paths.golden")
}

// platformRequests returns requests in the platform's protocol, whose words no Go file outside
// package platform contains.
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

// Compares the line protocols: the requests as read, field by field, and how each response and each
// error is written.
func TestLines(t *testing.T) {
	var out strings.Builder
	requests := map[lineserver.Codec][]string{
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
	responseTypes := []string{
		"attached", "joined", "left", "taken", "counted", "alive", "message", "turned", "moved",
		"withdrawn", "forgotten", "nothing",
	}
	for _, codec := range []lineserver.Codec{jsoncodec.Codec{}, platform.Codec{}} {
		for _, text := range requests[codec] {
			request, err := codec.ReadRequest(bufio.NewReader(strings.NewReader(text+"\r\n")), 64)
			fmt.Fprintf(&out, "read %q as %q failure %v\n", text, fmt.Sprintf("%v", request), err)
		}
		for _, responseType := range responseTypes {
			response := session.Response{
				Type: session.ResponseType(responseType), InReplyTo: "send", Topic: "t", Cursor: "c", From: "f",
				CallSeq: 7, Count: 8,
				Body: []byte(`{"x":1}`), Address: "127.0.0.1:7400", Key: "k", AlreadyWithdrawn: true,
				GivenUp: []string{"n"},
			}
			fmt.Fprintf(&out, "tell %s %q\n", responseType, codec.AppendResponse(nil, response))
		}
		var rejections []string
		for code := range apierror.Codes() {
			current := uint64(9)
			problem := apierror.New(code, "why").WithCurrent(current)
			response := session.Response{Type: "turned", InReplyTo: "join", Topic: "t", Err: problem}
			rejections = append(rejections, fmt.Sprintf("turn %s %q\n", code, codec.AppendResponse(nil, response)))
		}
		out.WriteString(strings.Join(sorted(rejections), ""))
	}
	golden.Assert(t, out.String(), "lines.golden")
}

// peer records calls between nodes as they are sent, and passes them to a handler.
type peer struct {
	handler  http.Handler
	exchange strings.Builder
}

// Do records the call and its answer.
func (p *peer) Do(r *http.Request) (*http.Response, error) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	fmt.Fprintf(&p.exchange, "%s %s %s\n  body %x\n", r.Method, r.URL, headerText(r.Header), b)
	r.Body = io.NopCloser(strings.NewReader(string(b)))
	w := httptest.NewRecorder()
	p.handler.ServeHTTP(w, r)
	response := w.Result()
	fmt.Fprintf(&p.exchange, "  answer %d %s\n  body %x\n", response.StatusCode, headerText(response.Header),
		w.Body.Bytes())
	return response, nil
}

func headerText(header http.Header) string {
	var out []string
	for key, values := range header {
		if key != "User-Agent" && key != "Date" {
			out = append(out, fmt.Sprintf("%s=%q", key, values))
		}
	}
	return strings.Join(sorted(out), " ")
}

// Compares a whole call between nodes: path, headers and bodies, and the answer to a caller with a
// newer format.
func TestCallBetweenNodes(t *testing.T) {
	mux := http.NewServeMux()
	voter := acceptor.New()
	voter.Start(diskIncarnation, nil, nil, nil)
	voter.Serve(mux)
	recorder := &peer{handler: mux}
	for _, incarnation := range []string{diskIncarnation, "other"} {
		request := &acceptor.PeekRequest{VoterSet: 1, Incarnation: incarnation, Keys: []string{"k"}}
		_, err := acceptor.Peek.Call(t.Context(), recorder, "machine-1", "127.0.0.1:7500", request)
		fmt.Fprintf(&recorder.exchange, "  problem %v\n", err)
	}
	r := httptest.NewRequest("POST", "/postjunction.Control/Peek", strings.NewReader("\xa0"))
	for key, value := range map[string]string{
		"Content-Type": "application/cbor", "Connect-Protocol-Version": "1",
		"Postjunction-Wire": "99", "Postjunction-From": "x",
	} {
		r.Header.Set(key, value)
	}
	_, err := recorder.Do(r)
	assert.NilError(t, err)
	golden.Assert(t, recorder.exchange.String(), "call.golden")
}
