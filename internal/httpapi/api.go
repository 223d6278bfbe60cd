// Package httpapi serves clients and operators over HTTP: JSON in, JSON or lines out, every error
// typed.
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

// API serves the clients and operators of one node. It has no state of its own; requests run in the
// goroutines of net/http.
type API struct {
	Clients   *client.Service
	Operators *operator.Service
	Timing    settings.Timing
	Ready     func() error
	mux       *http.ServeMux
}

const (
	maxCallBytes        = 2 << 20
	readTimeoutDivisor  = 4
	writeTimeoutDivisor = 4
)

type handler func(w http.ResponseWriter, r *http.Request) (any, error)

// Handler returns the HTTP handler.
func (d *API) Handler() http.Handler {
	d.mux = http.NewServeMux()
	d.add("/ready", map[string]handler{"GET": d.ready})
	d.add("/live", map[string]handler{"GET": func(http.ResponseWriter, *http.Request) (any, error) {
		return map[string]bool{"live": true}, nil
	}})
	d.add("/v1/attach", map[string]handler{"POST": d.attach})
	d.add("/v1/send", map[string]handler{"POST": d.send})
	d.add("/v1/withdraw", map[string]handler{"POST": d.withdraw})
	d.add("/v1/stream", map[string]handler{"GET": d.stream})
	d.add("/v1/ack", map[string]handler{"POST": d.ack})
	d.add("/v1/count", map[string]handler{"GET": d.count})
	d.add("/v1/description", map[string]handler{"GET": d.readConfiguration, "PUT": d.putConfiguration})
	d.add("/v1/status", map[string]handler{"GET": func(_ http.ResponseWriter, r *http.Request) (any, error) {
		return d.Operators.Status(r.Context())
	}})
	d.add("/v1/counters", map[string]handler{"GET": func(_ http.ResponseWriter, r *http.Request) (any, error) {
		return d.Operators.Counters(), nil
	}})
	d.add("/v1/usage", map[string]handler{"GET": func(_ http.ResponseWriter, r *http.Request) (any, error) {
		return d.Operators.Usage(r.Context())
	}})
	d.add("/v1/drain", map[string]handler{"GET": func(_ http.ResponseWriter, r *http.Request) (any, error) {
		return d.Operators.ListDecommissions(r.Context())
	}, "POST": d.decommission})
	d.add("/v1/partition", map[string]handler{"GET": d.partition})
	d.add("/v1/why", map[string]handler{"GET": d.explain})
	d.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		WriteError(w, apierror.New(apierror.UnknownPath, "there is no %s", r.URL.Path))
	})
	return d.mux
}

func (d *API) add(path string, handlers map[string]handler) {
	d.mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		handle, ok := handlers[r.Method]
		if !ok {
			for method := range handlers {
				w.Header().Add("Allow", method)
			}
			WriteError(w, apierror.New(apierror.WrongMethod, "%s is not a method of %s", r.Method, path))
			return
		}
		response, err := handle(w, r)
		if err != nil {
			WriteError(w, err)
			return
		}
		if response != nil {
			writeJSON(w, http.StatusOK, response)
		}
	})
}

func writeJSON(w http.ResponseWriter, code int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	encoded, _ := rawjson.Marshal(value)
	_, _ = w.Write(append(encoded, '\n'))
}

type errorResponse struct {
	Code         apierror.Code    `json:"code"`
	Message      string           `json:"say"`
	Advice       string           `json:"advice"`
	Faults       []apierror.Fault `json:"faults,omitempty"`
	Current      *uint64          `json:"current,omitempty"`
	RetryAfterMS int64            `json:"retry_after_ms,omitempty"`
}

// WriteError writes an error as the response.
func WriteError(w http.ResponseWriter, err error) {
	problem := apierror.From(err)
	if problem.RetryAfterMS > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(float64(problem.RetryAfterMS)/1000))))
	}
	writeJSON(
		w, problem.Status(),
		errorResponse{
			problem.Code, problem.Message, problem.Advice(), problem.Faults, problem.Current,
			problem.RetryAfterMS,
		},
	)
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, apierror.New(apierror.Oversize, "the document is larger than %d bytes", limit)
	}
	return data, apierror.Wrap(apierror.Malformed, err, "the document could not be read whole")
}

func readDocument(w http.ResponseWriter, r *http.Request, shape strictjson.Shape, target any) error {
	data, err := readBody(w, r, maxCallBytes)
	if err != nil {
		return err
	}
	faults, err := strictjson.Check(data, shape)
	if err != nil {
		return err
	}
	if len(faults) > 0 {
		return apierror.New(
			apierror.DocumentFaulty, "the first fault is at %s: %s", faults[0].Path, faults[0].Message,
		).WithFaults(faults)
	}
	return apierror.Wrap(apierror.Malformed, json.Unmarshal(data, target), "the document could not be read")
}

func objectShape(needed []string, fields map[string]string) strictjson.Shape {
	shape := strictjson.Shape{Kind: strictjson.Object, Needed: needed, Fields: map[string]strictjson.Shape{}}
	for name, kind := range fields {
		shape.Fields[name] = strictjson.Shape{Kind: kind}
	}
	return shape
}

var (
	attachShape = objectShape([]string{"visitor"}, map[string]string{"visitor": strictjson.Text})
	sendShape   = objectShape(
		[]string{"topic", "call_seq", "body"},
		map[string]string{
			"topic": strictjson.Text, "call_seq": strictjson.Count, "key": strictjson.Text,
			"body": strictjson.Any,
		},
	)
	ackShape      = objectShape([]string{"cursor"}, map[string]string{"cursor": strictjson.Text})
	withdrawShape = objectShape(
		[]string{"topic", "key", "call_seq"},
		map[string]string{
			"topic": strictjson.Text, "key": strictjson.Text, "call_seq": strictjson.Count,
			"of": strictjson.Text, "upto": strictjson.Above,
		},
	)
	drainShape = objectShape([]string{"node"}, map[string]string{"node": strictjson.Text})
)

func (d *API) ready(http.ResponseWriter, *http.Request) (any, error) {
	if err := d.Ready(); err != nil {
		return nil, err
	}
	return map[string]bool{"ready": true}, nil
}

func (d *API) attach(w http.ResponseWriter, r *http.Request) (any, error) {
	var input struct {
		Visitor string `json:"visitor"`
	}
	if err := readDocument(w, r, attachShape, &input); err != nil {
		return nil, err
	}
	return d.Clients.Do(r.Context(), &client.Request{Verb: client.VerbAttach, Client: input.Visitor})
}

func bearerToken(r *http.Request) (string, error) {
	t, err := token.ParseBearer(r.Header.Get("Authorization"))
	return t.Encode(), err
}

func (d *API) send(w http.ResponseWriter, r *http.Request) (any, error) {
	var input struct {
		Topic string          `json:"topic"`
		Call  uint64          `json:"call_seq"`
		Key   *string         `json:"key"`
		Body  json.RawMessage `json:"body"`
	}
	bearer, err := bearerToken(r)
	if err != nil {
		return nil, err
	}
	if err := readDocument(w, r, sendShape, &input); err != nil {
		return nil, err
	}
	return d.Clients.Do(
		r.Context(),
		&client.Request{
			Verb:    client.VerbSend,
			Token:   bearer,
			Topics:  []string{input.Topic},
			CallSeq: input.Call,
			Key:     input.Key,
			Body:    input.Body,
		},
	)
}

func (d *API) withdraw(w http.ResponseWriter, r *http.Request) (any, error) {
	var input struct {
		Topic string  `json:"topic"`
		Key   *string `json:"key"`
		Call  uint64  `json:"call_seq"`
		Of    string  `json:"of"`
		Upto  uint64  `json:"upto"`
	}
	bearer, err := bearerToken(r)
	if err != nil {
		return nil, err
	}
	if err := readDocument(w, r, withdrawShape, &input); err != nil {
		return nil, err
	}
	return d.Clients.Do(
		r.Context(),
		&client.Request{
			Verb:           client.VerbWithdraw,
			Token:          bearer,
			Topics:         []string{input.Topic},
			CallSeq:        input.Call,
			Key:            input.Key,
			WithdrawSender: input.Of,
			WithdrawUpTo:   input.Upto,
		},
	)
}

func (d *API) ack(w http.ResponseWriter, r *http.Request) (any, error) {
	var input struct {
		Cursor string `json:"cursor"`
	}
	bearer, err := bearerToken(r)
	if err != nil {
		return nil, err
	}
	if err := readDocument(w, r, ackShape, &input); err != nil {
		return nil, err
	}
	return d.Clients.Do(r.Context(), &client.Request{Verb: client.VerbAck, Token: bearer, Cursor: input.Cursor})
}

func checkQuery(r *http.Request, known ...string) error {
	isKnown := map[string]bool{}
	for _, name := range known {
		isKnown[name] = true
	}
	for name := range r.URL.Query() {
		if !isKnown[name] {
			return apierror.New(apierror.DocumentFaulty, "%q is not a parameter of %s", name, r.URL.Path)
		}
	}
	return nil
}

func (d *API) count(_ http.ResponseWriter, r *http.Request) (any, error) {
	bearer, err := bearerToken(r)
	if err != nil {
		return nil, err
	}
	if err := checkQuery(r, "topic"); err != nil {
		return nil, err
	}
	return d.Clients.Do(
		r.Context(), &client.Request{Verb: client.VerbCount, Token: bearer, Topics: r.URL.Query()["topic"]},
	)
}

func (d *API) stream(w http.ResponseWriter, r *http.Request) (any, error) {
	bearer, err := bearerToken(r)
	if err != nil {
		return nil, err
	}
	if err := checkQuery(r, "topic", "cursor"); err != nil {
		return nil, err
	}
	writer := &streamWriter{
		response:     w,
		controller:   http.NewResponseController(w),
		writeTimeout: d.Timing.Recovery / writeTimeoutDivisor,
	}
	_, err = d.Clients.Do(
		r.Context(),
		&client.Request{
			Verb:   client.VerbFollow,
			Token:  bearer,
			Topics: r.URL.Query()["topic"],
			Cursor: r.URL.Query().Get("cursor"),
			Emit:   writer.emit,
			Abort:  writer.abort,
		},
	)
	if writer.started {
		return nil, nil
	}
	return nil, err
}

func (d *API) readConfiguration(_ http.ResponseWriter, r *http.Request) (any, error) {
	return d.Operators.ReadConfiguration(r.Context())
}

func (d *API) putConfiguration(w http.ResponseWriter, r *http.Request) (any, error) {
	document, err := readBody(w, r, configuration.MaxBytes)
	if err != nil {
		return nil, err
	}
	return d.Operators.Put(r.Context(), document)
}

func (d *API) decommission(w http.ResponseWriter, r *http.Request) (any, error) {
	var input struct {
		Node string `json:"node"`
	}
	if err := readDocument(w, r, drainShape, &input); err != nil {
		return nil, err
	}
	return d.Operators.Decommission(r.Context(), input.Node)
}

func (d *API) partition(_ http.ResponseWriter, r *http.Request) (any, error) {
	if err := checkQuery(r, "n", "topic"); err != nil {
		return nil, err
	}
	return d.Operators.Partition(r.Context(), r.URL.Query().Get("n"), r.URL.Query().Get("topic"))
}

func (d *API) explain(_ http.ResponseWriter, r *http.Request) (any, error) {
	if err := checkQuery(r, "visitor", "topic", "call_seq"); err != nil {
		return nil, err
	}
	query := r.URL.Query()
	callSeq, err := strconv.ParseUint(query.Get("call_seq"), 10, 64)
	if err != nil {
		return nil, apierror.New(apierror.Malformed, "call_seq must be a number from 1, is %q", query.Get("call_seq"))
	}
	return d.Operators.Explain(r.Context(), query.Get("visitor"), query.Get("topic"), callSeq)
}

// NewHTTPServer returns a server for a handler.
func NewHTTPServer(h http.Handler, timing settings.Timing) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: timing.Recovery / readTimeoutDivisor,
		IdleTimeout:       timing.Keeping,
	}
}
