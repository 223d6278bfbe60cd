// Package transcript compares whole exchanges with a fleet with approved transcripts.
package transcript

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"postjunction/internal/testing/sim"
)

type exchange struct {
	t      *testing.T
	world  *sim.World
	output bytes.Buffer
}

func (e *exchange) handler(node string) http.Handler {
	return e.world.Machines[node].Node().API().Handler()
}

var masks = []struct {
	re *regexp.Regexp
	to string
}{
	{regexp.MustCompile(`pj1\.[A-Za-z0-9_-]+`), "TOKEN"},
	{regexp.MustCompile(`c1\.[A-Za-z0-9_-]+`), "CURSOR"},
	{regexp.MustCompile(`"retry_after_ms":\d+`), `"retry_after_ms":N`},
}

func mask(text string) string {
	for _, mask := range masks {
		text = mask.re.ReplaceAllString(text, mask.to)
	}
	return text
}

func (e *exchange) do(node, method, path, token, document string) map[string]any {
	request := httptest.NewRequest(method, path, strings.NewReader(document))
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	recorder := httptest.NewRecorder()
	e.handler(node).ServeHTTP(recorder, request)
	if len(document) > 200 {
		document = document[:60] + fmt.Sprintf("... (%d bytes)", len(document))
	}
	fmt.Fprintf(&e.output, "%s %s %s %s\n  %d %s\n", node, method, mask(path), mask(document), recorder.Code,
		mask(strings.TrimSpace(recorder.Body.String())))
	assert.Assert(e.t, recorder.Code < 500 || strings.Contains(recorder.Body.String(), "retry_after_ms"),
		"%s %s: %d %s", method, path, recorder.Code, recorder.Body)
	var body map[string]any
	_ = json.Unmarshal(recorder.Body.Bytes(), &body)
	return body
}

func (e *exchange) stream(node, path, token string, during func(), duration time.Duration) []string {
	ctx, cancel := context.WithCancel(context.Background())
	request := httptest.NewRequestWithContext(ctx, http.MethodGet, path, nil)
	request.Header.Set("Authorization", "Bearer "+token)
	recorder := httptest.NewRecorder()
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.handler(node).ServeHTTP(recorder, request)
	}()
	time.Sleep(100 * time.Millisecond)
	during()
	time.Sleep(duration)
	cancel()
	<-done
	fmt.Fprintf(&e.output, "%s GET %s\n  %d\n", node, mask(path), recorder.Code)
	lines := strings.Split(strings.TrimSpace(recorder.Body.String()), "\n")
	for _, line := range lines {
		fmt.Fprintf(&e.output, "  %s\n", mask(line))
	}
	return lines
}

func run(t *testing.T, file string, script func(exchange *exchange)) {
	synctest.Test(t, func(t *testing.T) {
		world := sim.New(sim.Armor, 1, sim.Logger())
		defer world.Close()
		assert.NilError(t, world.Start(world.Names...))
		assert.NilError(t, world.WaitReady(20*time.Second))
		time.Sleep(5 * time.Second)
		e := &exchange{t: t, world: world}
		script(e)
		golden.Assert(t, e.output.String(), file)
	})
}

const spaces = `"spaces":[{"name":"aisles","kind":"kept","topics":["a1","a2"]},{"name":"stop-line",` +
	`"kind":"kept","urgent":true,"topics":["line"]},{"name":"pings","kind":"live","topics":["floor"]}]`

func TestDayOfAPicker(t *testing.T) {
	run(t, "picker.txt", func(e *exchange) {
		e.do("a1", "GET", "/ready", "", "")
		e.do("a1", "GET", "/v1/description", "", "")
		e.do("a1", "PUT", "/v1/description", "", `{"base":0,`+spaces+`}`)
		time.Sleep(3 * time.Second)
		e.do("c2", "GET", "/v1/description", "", "")
		token := e.do("a1", "POST", "/v1/attach", "", `{"visitor":"picker-7"}`)["token"].(string)
		lead := e.do("c1", "POST", "/v1/attach", "", `{"visitor":"lead-1"}`)["token"].(string)
		send := func(topic string, call int, body string) {
			e.do("c3", "POST", "/v1/send", token, fmt.Sprintf(`{"topic":%q,"call_seq":%d,"body":%s}`, topic, call,
				body))
		}
		lines := e.stream("c2", "/v1/stream?topic=aisles/a1&topic=stop-line/line&topic=pings/floor", lead, func() {
			send("aisles/a1", 1, `{"pick": 12}`)
			send("aisles/a1", 2, `{"pick": "<13> & more"}`)
			send("pings/floor", 1, `"here"`)
			send("stop-line/line", 1, `"stop"`)
			e.do("a1", "GET", "/v1/count?topic=aisles/a1", token, "")
		}, time.Second)
		send("aisles/a1", 3, `"while away"`)
		send("pings/floor", 2, `"not offered on resume"`)
		var last struct{ Cursor string }
		assert.NilError(t, json.Unmarshal([]byte(lines[len(lines)-1]), &last))
		e.do("s1", "POST", "/v1/ack", lead, `{"cursor":"`+last.Cursor+`"}`)
		e.stream("a1", "/v1/stream?topic=aisles/a1&topic=stop-line/line&topic=pings/floor&cursor="+last.Cursor, lead,
			func() {}, time.Second)
		fmt.Fprintf(&e.output, "-- a newer attachment fences the older, stream and all\n")
		e.stream("a1", "/v1/stream?topic=aisles/a1", lead, func() {
			e.do("c3", "POST", "/v1/attach", "", `{"visitor":"lead-1"}`)
		}, time.Second)
		e.do("c1", "POST", "/v1/send", lead, `{"topic":"aisles/a1","call_seq":1,"body":1}`)
	})
}

func TestWithdrawals(t *testing.T) {
	run(t, "withdrawn.txt", func(e *exchange) {
		e.do("a1", "PUT", "/v1/description", "", `{"base":0,`+spaces+`}`)
		time.Sleep(3 * time.Second)
		token := e.do("a1", "POST", "/v1/attach", "", `{"visitor":"picker-7"}`)["token"].(string)
		lead := e.do("c1", "POST", "/v1/attach", "", `{"visitor":"lead-1"}`)["token"].(string)
		send := func(document string) { e.do("c3", "POST", "/v1/send", token, document) }
		withdraw := func(token, doc string) { e.do("a1", "POST", "/v1/withdraw", token, doc) }
		fmt.Fprintf(&e.output, "-- nobody listens\n")
		send(`{"topic":"aisles/a1","call_seq":1,"key":"turn/12","body":"may I turn"}`)
		withdraw(token, `{"topic":"aisles/a1","key":"turn/12","call_seq":2}`)
		withdraw(token, `{"topic":"aisles/a1","key":"turn/12","call_seq":2}`)
		withdraw(token, `{"topic":"aisles/a1","key":"turn/12","call_seq":3}`)
		send(`{"topic":"aisles/a1","call_seq":1,"key":"turn/12","body":"may I turn"}`)
		fmt.Fprintf(&e.output, "-- a stream that is open, one that comes back with its cursor, and the same key anew\n")
		path := "/v1/stream?topic=aisles/a1&topic=stop-line/line&topic=pings/floor"
		lines := e.stream("c2", path, lead, func() {
			send(`{"topic":"aisles/a1","call_seq":4,"key":"turn/12","body":"may I now"}`)
			send(`{"topic":"aisles/a1","call_seq":5,"key":"turn/13","body":"and there"}`)
			send(`{"topic":"stop-line/line","call_seq":1,"key":"k","body":"stop"}`)
			send(`{"topic":"pings/floor","call_seq":1,"key":"k","body":"here"}`)
		}, time.Second)
		withdraw(token, `{"topic":"aisles/a1","key":"turn/12","call_seq":6}`)
		withdraw(token, `{"topic":"stop-line/line","key":"k","call_seq":2}`)
		var first struct{ Cursor string }
		assert.NilError(t, json.Unmarshal([]byte(lines[0]), &first))
		e.stream("a1", path+"&cursor="+first.Cursor, lead, func() {
			withdraw(lead, `{"topic":"aisles/a1","key":"turn/13","call_seq":1}`)
			withdraw(token, `{"topic":"pings/floor","key":"k","call_seq":2}`)
			send(`{"topic":"aisles/a1","call_seq":7,"key":"turn/13","body":"new under its key"}`)
		}, time.Second)
		fmt.Fprintf(&e.output, "-- a sender is named whose message comes only after its withdrawal\n")
		withdraw(lead, `{"topic":"aisles/a1","key":"turn/14","call_seq":2}`)
		withdraw(lead, `{"topic":"aisles/a1","key":"turn/14","call_seq":2,"of":"picker-7","upto":8}`)
		send(`{"topic":"aisles/a1","call_seq":8,"key":"turn/14","body":"late"}`)
		send(`{"topic":"aisles/a1","call_seq":9,"key":"turn/14","body":"behind it"}`)
		fmt.Fprintf(&e.output, "-- altered, passed, unknown, faulty\n")
		withdraw(token, `{"topic":"aisles/a1","key":"turn/13","call_seq":6}`)
		withdraw(token, `{"topic":"aisles/a1","key":"turn/99","call_seq":10}`)
		withdraw(token, `{"topic":"aisles/a9","key":"k","call_seq":10}`)
		withdraw(token, `{"topic":"aisles/a1","key":"turn/14","call_seq":0}`)
		withdraw("", `{"topic":"aisles/a1","key":"turn/14","call_seq":10}`)
		for _, document := range []string{
			`{"topic":"aisles/a1","call_seq":10}`, `{"topic":"aisles/a1","key":7,"call_seq":10}`,
			`{"topic":"aisles/a1","key":"","call_seq":10}`, `{"topic":"aisles/a1","key":"a b","call_seq":10}`,
			`{"topic":"aisles/a1","key":"k","call_seq":10,"body":1}`,
			`{"topic":"aisles/a1","key":"k","call_seq":10,"of":"v"}`,
			`{"topic":"aisles/a1","key":"k","call_seq":10,"upto":3}`,
			`{"topic":"aisles/a1","key":"k","call_seq":10,"of":"v","upto":0}`,
			`{"topic":"aisles/a1","key":"k","call_seq":10,"of":"v w","upto":1}`,
		} {
			withdraw(token, document)
		}
		send(`{"topic":"aisles/a1","call_seq":10,"key":"","body":1}`)
		send(`{"topic":"aisles/a1","call_seq":10,"key":"` + strings.Repeat("k", 129) + `","body":1}`)
		send(`{"topic":"aisles/a1","call_seq":10,"key":"turn\u00a014","body":1}`)
	})
}

func TestBadInput(t *testing.T) {
	run(t, "bad.txt", func(e *exchange) {
		e.do("a1", "PUT", "/v1/description", "", `{"base":0,`+spaces+`}`)
		time.Sleep(3 * time.Second)
		token := e.do("a1", "POST", "/v1/attach", "", `{"visitor":"v"}`)["token"].(string)
		send := func(document string) { e.do("a1", "POST", "/v1/send", token, document) }
		e.do("a1", "GET", "/nowhere", "", "")
		e.do("a1", "DELETE", "/v1/send", "", "")
		for _, document := range []string{``, `{`, `[]`, `{"visitor":7}`, `{"visitor":"a b"}`,
			`{"visitor":"v","visitor":"w"}`, `{"visitor":"v","more":1}`, `{"visitor":"v"} 1`} {
			e.do("a1", "POST", "/v1/attach", "", document)
		}
		e.do("a1", "POST", "/v1/send", "", `{"topic":"aisles/a1","call_seq":1,"body":1}`)
		e.do("a1", "POST", "/v1/send", "nonsense", `{"topic":"aisles/a1","call_seq":1,"body":1}`)
		e.do("a1", "POST", "/v1/send", "pj1.dnwxfGFhYQ", `{"topic":"aisles/a1","call_seq":1,"body":1}`)
		send(`{"topic":"aisles/a1","call_seq":1}`)
		send(`{"topic":"aisles/a1","call_seq":-1,"body":1}`)
		send(`{"topic":"aisles/a1","call_seq":1.5,"body":1}`)
		send(`{"topic":"aisles/a1","call_seq":0,"body":1}`)
		send(`{"topic":"nowhere/a1","call_seq":1,"body":1}`)
		send(`{"topic":"aisles/a9","call_seq":1,"body":1}`)
		send(`{"topic":"aisles","call_seq":1,"body":1}`)
		send(`{"topic":"aisles/a1","call_seq":1,"body":"` + strings.Repeat("x", 70000) + `"}`)
		send(`{"topic":"aisles/a1","call_seq":1,"body":"first"}`)
		send(`{"topic":"aisles/a1","call_seq":1,"body":"first"}`)
		send(`{"topic":"aisles/a1","call_seq":1,"body":"altered"}`)
		send(`{"topic":"aisles/a1","call_seq":5,"body":"after a gap"}`)
		send(`{"topic":"aisles/a1","call_seq":5,"body":"after a gap"}`)
		send(`{"topic":"aisles/a1","call_seq":3,"body":"passed"}`)
		send(`{"topic":"aisles/a1","call_seq":1,"body":"first"}`)
		for call := 6; call <= 40; call++ {
			length := e.output.Len()
			send(fmt.Sprintf(`{"topic":"aisles/a1","call_seq":%d,"body":%d}`, call, call))
			e.output.Truncate(length)
		}
		send(`{"topic":"aisles/a1","call_seq":3,"body":3}`)
		send(`{"topic":"aisles/a1","call_seq":39,"body":39}`)
		time.Sleep(2 * 35 * time.Second)
		send(`{"topic":"aisles/a1","call_seq":3,"body":3}`)
		send(`{"topic":"aisles/a1","call_seq":39,"body":39}`)
		send(`{"topic":"aisles/a1","call_seq":50,"body":50}`)
		send(`{"topic":"aisles/a1","call_seq":45,"body":45}`)
		for _, query := range []string{"", "?topic=nowhere/x", "?topic=aisles/a1&since=3", "?topic=aisles/a1&cursor=x",
			"?topic=aisles/a1&cursor=c1.AAAAAAA", "?topic=aisles/a1&cursor=c1.%21%21"} {
			e.do("a1", "GET", "/v1/stream"+query, token, "")
		}
		e.do("a1", "POST", "/v1/ack", token, `{"cursor":"x"}`)
		e.do("a1", "GET", "/v1/count", token, "")
		e.do("a1", "GET", "/v1/partition?n=99", "", "")
		e.do("a1", "GET", "/v1/partition?n=x", "", "")
		e.do("a1", "POST", "/v1/drain", "", `{"node":"nobody"}`)
		e.do("a1", "POST", "/v1/drain", "", `{"node":"a1"}`)
		e.do("a1", "PUT", "/v1/description", "",
			`{"base":1,"spaces":[{"name":"aisles","kind":"kept","topics":["a1","a1","?"],"colour":1},`+
				`{"name":"Aisles","kind":"lost","topics":[]}]}`)
		e.do("a1", "PUT", "/v1/description", "",
			`{"base":1,"spaces":[{"name":"stop-line","kind":"kept","topics":["line"]},{"name":"x","kind":"lost",`+
				`"topics":["a","a"]}]}`)
		e.do("a1", "PUT", "/v1/description", "",
			`{"base":1,"spaces":[{"name":"stop-line","kind":"kept","topics":["line"]}]}`)
		e.do("a1", "PUT", "/v1/description", "", `{"base":0,`+spaces+`}`)
		e.do("c2", "PUT", "/v1/description", "", `{"base":0,"sequence":1,`+spaces+`}`)
		e.do("a1", "PUT", "/v1/description", "", `{"base":0,"sequence":2,`+spaces+`}`)
		e.do("a1", "PUT", "/v1/description", "", `{"base":0,"spaces":[]}`)
		e.do("a1", "PUT", "/v1/description", "", `{"base":4,"sequence":9,`+spaces+`}`)
		e.do("a1", "PUT", "/v1/description", "", `{"base":1,"sequence":1,`+spaces+`}`)
		e.do("a1", "PUT", "/v1/description", "",
			`{"base":1,"spaces":[{"name":"a","kind":"kept","prefix":"ka.","keep_ms":350001},{"name":"b",`+
				`"kind":"kept","prefix":"ka.","deadline_ms":0}]}`)
		e.do("a1", "PUT", "/v1/description", "",
			`{"base":1,"spaces":[{"name":"a","kind":"kept","prefix":"ka.","keep_ms":350001}]}`)
		e.do("a1", "PUT", "/v1/description", "",
			`{"base":1,"spaces":[{"name":"a","kind":"kept","urgent":true,"prefix":"ka."},{"name":"b",`+
				`"kind":"live","prefix":"ka.b"}]}`)
		e.do("a1", "PUT", "/v1/description", "", `{"base":1,"spaces":[{"name":"a","kind":"kept","all":true}]}`)
		e.do("a1", "GET", "/v1/description", "", "")
	})
}
