// Package httpapi is the HTTP side towards callers and operators: JSON in, JSON or lines out, every failure typed.
package httpapi

import (
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"

	"postjunction/internal/apierror"
	"postjunction/internal/client"
	"postjunction/internal/client/token"
	"postjunction/internal/configuration"
	"postjunction/internal/configuration/strictjson"
	"postjunction/internal/operator"
	"postjunction/internal/rawjson"
	"postjunction/internal/settings"
)

// API serves one node's callers and operators.
type API struct {
	Clients   *client.Service
	Operators *operator.Service
	Timing    settings.Timing
	Ready     func() error
	mux       *http.ServeMux
}

const (
	callBytes  = 2 << 20
	readShare  = 4
	writeShare = 4
)

type call func(w http.ResponseWriter, r *http.Request) (any, error)

// Handler gives the HTTP handler.
func (d *API) Handler() http.Handler {
	d.mux = http.NewServeMux()
	d.add("/ready", map[string]call{"GET": d.ready})
	d.add("/live", map[string]call{"GET": func(http.ResponseWriter, *http.Request) (any, error) { return map[string]bool{"live": true}, nil }})
	d.add("/v1/attach", map[string]call{"POST": d.attach})
	d.add("/v1/send", map[string]call{"POST": d.send})
	d.add("/v1/withdraw", map[string]call{"POST": d.withdraw})
	d.add("/v1/stream", map[string]call{"GET": d.stream})
	d.add("/v1/ack", map[string]call{"POST": d.ack})
	d.add("/v1/count", map[string]call{"GET": d.count})
	d.add("/v1/description", map[string]call{"GET": d.readDescription, "PUT": d.putDescription})
	d.add("/v1/status", map[string]call{"GET": func(_ http.ResponseWriter, r *http.Request) (any, error) { return d.Operators.Status(r.Context()) }})
	d.add("/v1/counters", map[string]call{"GET": func(_ http.ResponseWriter, r *http.Request) (any, error) { return d.Operators.Counters(), nil }})
	d.add("/v1/usage", map[string]call{"GET": func(_ http.ResponseWriter, r *http.Request) (any, error) { return d.Operators.Usage(r.Context()) }})
	d.add("/v1/drain", map[string]call{"GET": func(_ http.ResponseWriter, r *http.Request) (any, error) {
		return d.Operators.ListDecommissions(r.Context())
	}, "POST": d.drain})
	d.add("/v1/partition", map[string]call{"GET": d.partition})
	d.add("/v1/why", map[string]call{"GET": d.why})
	d.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		WriteError(w, apierror.New(apierror.UnknownPath, "there is no %s", r.URL.Path))
	})
	return d.mux
}

func (d *API) add(path string, m map[string]call) {
	d.mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		f, ok := m[r.Method]
		if !ok {
			for k := range m {
				w.Header().Add("Allow", k)
			}
			WriteError(w, apierror.New(apierror.WrongMethod, "%s is not a method of %s", r.Method, path))
			return
		}
		a, err := f(w, r)
		if err != nil {
			WriteError(w, err)
			return
		}
		if a != nil {
			answer(w, http.StatusOK, a)
		}
	})
}

func answer(w http.ResponseWriter, code int, a any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	b, _ := rawjson.Marshal(a)
	_, _ = w.Write(append(b, '\n'))
}

type turned struct {
	Code    apierror.Code    `json:"code"`
	Say     string           `json:"say"`
	Advice  string           `json:"advice"`
	Faults  []apierror.Fault `json:"faults,omitempty"`
	Current *uint64          `json:"current,omitempty"`
	RetryMS int64            `json:"retry_after_ms,omitempty"`
}

// WriteError writes a problem as the answer.
func WriteError(w http.ResponseWriter, err error) {
	p := apierror.From(err)
	if p.RetryAfterMS > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(float64(p.RetryAfterMS)/1000))))
	}
	answer(w, p.Status(), turned{p.Code, p.Message, p.Advice(), p.Faults, p.Current, p.RetryAfterMS})
}

func body(w http.ResponseWriter, r *http.Request, most int64) ([]byte, error) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	var big *http.MaxBytesError
	if errors.As(err, &big) {
		return nil, apierror.New(apierror.Oversize, "the document is larger than %d bytes", most)
	}
	return b, apierror.Wrap(apierror.Malformed, err, "the document could not be read whole")
}

func document(w http.ResponseWriter, r *http.Request, s strictjson.Shape, v any) error {
	b, err := body(w, r, callBytes)
	if err != nil {
		return err
	}
	f, err := strictjson.Check(b, s)
	if err != nil {
		return err
	}
	if len(f) > 0 {
		return apierror.New(apierror.DocumentFaulty, "the first fault is at %s: %s", f[0].Path, f[0].Message).WithFaults(f)
	}
	return apierror.Wrap(apierror.Malformed, json.Unmarshal(b, v), "the document could not be read")
}

func object(needed []string, fields map[string]string) strictjson.Shape {
	s := strictjson.Shape{Kind: strictjson.Object, Needed: needed, Fields: map[string]strictjson.Shape{}}
	for n, k := range fields {
		s.Fields[n] = strictjson.Shape{Kind: k}
	}
	return s
}

var (
	attachShape   = object([]string{"visitor"}, map[string]string{"visitor": strictjson.Text})
	sendShape     = object([]string{"topic", "call_seq", "body"}, map[string]string{"topic": strictjson.Text, "call_seq": strictjson.Count, "key": strictjson.Text, "body": strictjson.Any})
	ackShape      = object([]string{"cursor"}, map[string]string{"cursor": strictjson.Text})
	withdrawShape = object([]string{"topic", "key", "call_seq"}, map[string]string{"topic": strictjson.Text, "key": strictjson.Text, "call_seq": strictjson.Count, "of": strictjson.Text, "upto": strictjson.Above})
	drainShape    = object([]string{"node"}, map[string]string{"node": strictjson.Text})
)

func (d *API) ready(http.ResponseWriter, *http.Request) (any, error) {
	if err := d.Ready(); err != nil {
		return nil, err
	}
	return map[string]bool{"ready": true}, nil
}

func (d *API) attach(w http.ResponseWriter, r *http.Request) (any, error) {
	var q struct {
		Visitor string `json:"visitor"`
	}
	if err := document(w, r, attachShape, &q); err != nil {
		return nil, err
	}
	return d.Clients.Do(r.Context(), &client.Request{Verb: client.VerbAttach, Client: q.Visitor})
}

func bearer(r *http.Request) (string, error) {
	t, err := token.ParseBearer(r.Header.Get("Authorization"))
	return t.Encode(), err
}

func (d *API) send(w http.ResponseWriter, r *http.Request) (any, error) {
	var q struct {
		Topic string          `json:"topic"`
		Call  uint64          `json:"call_seq"`
		Key   *string         `json:"key"`
		Body  json.RawMessage `json:"body"`
	}
	t, err := bearer(r)
	if err != nil {
		return nil, err
	}
	if err := document(w, r, sendShape, &q); err != nil {
		return nil, err
	}
	return d.Clients.Do(r.Context(), &client.Request{Verb: client.VerbSend, Token: t, Topics: []string{q.Topic}, CallSeq: q.Call, Key: q.Key, Body: q.Body})
}

func (d *API) withdraw(w http.ResponseWriter, r *http.Request) (any, error) {
	var q struct {
		Topic string  `json:"topic"`
		Key   *string `json:"key"`
		Call  uint64  `json:"call_seq"`
		Of    string  `json:"of"`
		Upto  uint64  `json:"upto"`
	}
	t, err := bearer(r)
	if err != nil {
		return nil, err
	}
	if err := document(w, r, withdrawShape, &q); err != nil {
		return nil, err
	}
	return d.Clients.Do(r.Context(), &client.Request{Verb: client.VerbWithdraw, Token: t, Topics: []string{q.Topic}, CallSeq: q.Call, Key: q.Key, WithdrawSender: q.Of, WithdrawUpTo: q.Upto})
}

func (d *API) ack(w http.ResponseWriter, r *http.Request) (any, error) {
	var q struct {
		Cursor string `json:"cursor"`
	}
	t, err := bearer(r)
	if err != nil {
		return nil, err
	}
	if err := document(w, r, ackShape, &q); err != nil {
		return nil, err
	}
	return d.Clients.Do(r.Context(), &client.Request{Verb: client.VerbAck, Token: t, Cursor: q.Cursor})
}

func query(r *http.Request, known ...string) error {
	ok := map[string]bool{}
	for _, k := range known {
		ok[k] = true
	}
	for k := range r.URL.Query() {
		if !ok[k] {
			return apierror.New(apierror.DocumentFaulty, "%q is not a parameter of %s", k, r.URL.Path)
		}
	}
	return nil
}

func (d *API) count(_ http.ResponseWriter, r *http.Request) (any, error) {
	t, err := bearer(r)
	if err != nil {
		return nil, err
	}
	if err := query(r, "topic"); err != nil {
		return nil, err
	}
	return d.Clients.Do(r.Context(), &client.Request{Verb: client.VerbCount, Token: t, Topics: r.URL.Query()["topic"]})
}

func (d *API) stream(w http.ResponseWriter, r *http.Request) (any, error) {
	t, err := bearer(r)
	if err != nil {
		return nil, err
	}
	if err := query(r, "topic", "cursor"); err != nil {
		return nil, err
	}
	p := &paper{w: w, c: http.NewResponseController(w), most: d.Timing.Recovery / writeShare}
	_, err = d.Clients.Do(r.Context(), &client.Request{Verb: client.VerbFollow, Token: t, Topics: r.URL.Query()["topic"], Cursor: r.URL.Query().Get("cursor"), Emit: p.emit, Abort: p.cut})
	if p.begun {
		return nil, nil
	}
	return nil, err
}

func (d *API) readDescription(_ http.ResponseWriter, r *http.Request) (any, error) {
	return d.Operators.ReadConfiguration(r.Context())
}

func (d *API) putDescription(w http.ResponseWriter, r *http.Request) (any, error) {
	b, err := body(w, r, configuration.MaxBytes)
	if err != nil {
		return nil, err
	}
	return d.Operators.Put(r.Context(), b)
}

func (d *API) drain(w http.ResponseWriter, r *http.Request) (any, error) {
	var q struct {
		Node string `json:"node"`
	}
	if err := document(w, r, drainShape, &q); err != nil {
		return nil, err
	}
	return d.Operators.Decommission(r.Context(), q.Node)
}

func (d *API) partition(_ http.ResponseWriter, r *http.Request) (any, error) {
	if err := query(r, "n", "topic"); err != nil {
		return nil, err
	}
	return d.Operators.Partition(r.Context(), r.URL.Query().Get("n"), r.URL.Query().Get("topic"))
}

func (d *API) why(_ http.ResponseWriter, r *http.Request) (any, error) {
	if err := query(r, "visitor", "topic", "call_seq"); err != nil {
		return nil, err
	}
	q := r.URL.Query()
	n, err := strconv.ParseUint(q.Get("call_seq"), 10, 64)
	if err != nil {
		return nil, apierror.New(apierror.Malformed, "call_seq must be a number from 1, is %q", q.Get("call_seq"))
	}
	return d.Operators.Explain(r.Context(), q.Get("visitor"), q.Get("topic"), n)
}

// NewHTTPServer makes the HTTP server of a door.
func NewHTTPServer(h http.Handler, b settings.Timing) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: b.Recovery / readShare,
		IdleTimeout:       b.Keeping,
	}
}
