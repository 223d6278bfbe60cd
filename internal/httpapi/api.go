// Package httpapi serves clients and operators over HTTP. Requests are JSON, responses are JSON or
// a stream of JSON lines, and every error has a code.
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
func (a *API) Handler() http.Handler {
	a.mux = http.NewServeMux()
	a.add("/ready", map[string]handler{"GET": a.ready})
	a.add("/live", map[string]handler{"GET": func(http.ResponseWriter, *http.Request) (any, error) {
		return map[string]bool{"live": true}, nil
	}})
	a.add("/v1/attach", map[string]handler{"POST": a.attach})
	a.add("/v1/send", map[string]handler{"POST": a.send})
	a.add("/v1/withdraw", map[string]handler{"POST": a.withdraw})
	a.add("/v1/stream", map[string]handler{"GET": a.stream})
	a.add("/v1/ack", map[string]handler{"POST": a.ack})
	a.add("/v1/count", map[string]handler{"GET": a.count})
	a.add("/v1/description", map[string]handler{"GET": a.readConfiguration, "PUT": a.putConfiguration})
	a.add("/v1/status", map[string]handler{"GET": func(_ http.ResponseWriter, r *http.Request) (any, error) {
		return a.Operators.Status(r.Context())
	}})
	a.add("/v1/counters", map[string]handler{"GET": func(_ http.ResponseWriter, r *http.Request) (any, error) {
		return a.Operators.Counters(), nil
	}})
	a.add("/v1/usage", map[string]handler{"GET": func(_ http.ResponseWriter, r *http.Request) (any, error) {
		return a.Operators.Usage(r.Context())
	}})
	a.add("/v1/drain", map[string]handler{"GET": func(_ http.ResponseWriter, r *http.Request) (any, error) {
		return a.Operators.ListDecommissions(r.Context())
	}, "POST": a.decommission})
	a.add("/v1/partition", map[string]handler{"GET": a.partition})
	a.add("/v1/why", map[string]handler{"GET": a.explain})
	a.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		WriteError(w, apierror.New(apierror.UnknownPath, "there is no %s", r.URL.Path))
	})
	return a.mux
}

func (a *API) add(path string, handlers map[string]handler) {
	a.mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
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
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, apierror.New(apierror.Oversize, "the document is larger than %d bytes", limit)
	}
	return body, apierror.Wrap(apierror.Malformed, err, "the document could not be read whole")
}

func readDocument(w http.ResponseWriter, r *http.Request, shape strictjson.Shape, target any) error {
	document, err := readBody(w, r, maxCallBytes)
	if err != nil {
		return err
	}
	faults, err := strictjson.Check(document, shape)
	if err != nil {
		return err
	}
	if len(faults) > 0 {
		return apierror.New(
			apierror.DocumentFaulty, "the first fault is at %s: %s", faults[0].Path, faults[0].Message,
		).WithFaults(faults)
	}
	return apierror.Wrap(apierror.Malformed, json.Unmarshal(document, target), "the document could not be read")
}

func objectShape(required []string, fields map[string]string) strictjson.Shape {
	shape := strictjson.Shape{Kind: strictjson.Object, Required: required, Fields: map[string]strictjson.Shape{}}
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
			"of": strictjson.Text, "upto": strictjson.Positive,
		},
	)
	decommissionShape = objectShape([]string{"node"}, map[string]string{"node": strictjson.Text})
)

func (a *API) ready(http.ResponseWriter, *http.Request) (any, error) {
	if err := a.Ready(); err != nil {
		return nil, err
	}
	return map[string]bool{"ready": true}, nil
}

func (a *API) attach(w http.ResponseWriter, r *http.Request) (any, error) {
	var input struct {
		Client string `json:"visitor"`
	}
	if err := readDocument(w, r, attachShape, &input); err != nil {
		return nil, err
	}
	return a.Clients.Do(r.Context(), &client.Request{Verb: client.VerbAttach, Client: input.Client})
}

func bearerToken(r *http.Request) (string, error) {
	parsed, err := token.ParseBearer(r.Header.Get("Authorization"))
	return parsed.Encode(), err
}

func (a *API) send(w http.ResponseWriter, r *http.Request) (any, error) {
	var input struct {
		Topic   string          `json:"topic"`
		CallSeq uint64          `json:"call_seq"`
		Key     *string         `json:"key"`
		Body    json.RawMessage `json:"body"`
	}
	bearer, err := bearerToken(r)
	if err != nil {
		return nil, err
	}
	if err := readDocument(w, r, sendShape, &input); err != nil {
		return nil, err
	}
	return a.Clients.Do(
		r.Context(),
		&client.Request{
			Verb:    client.VerbSend,
			Token:   bearer,
			Topics:  []string{input.Topic},
			CallSeq: input.CallSeq,
			Key:     input.Key,
			Body:    input.Body,
		},
	)
}

func (a *API) withdraw(w http.ResponseWriter, r *http.Request) (any, error) {
	var input struct {
		Topic          string  `json:"topic"`
		Key            *string `json:"key"`
		CallSeq        uint64  `json:"call_seq"`
		WithdrawSender string  `json:"of"`
		WithdrawUpTo   uint64  `json:"upto"`
	}
	bearer, err := bearerToken(r)
	if err != nil {
		return nil, err
	}
	if err := readDocument(w, r, withdrawShape, &input); err != nil {
		return nil, err
	}
	return a.Clients.Do(
		r.Context(),
		&client.Request{
			Verb:           client.VerbWithdraw,
			Token:          bearer,
			Topics:         []string{input.Topic},
			CallSeq:        input.CallSeq,
			Key:            input.Key,
			WithdrawSender: input.WithdrawSender,
			WithdrawUpTo:   input.WithdrawUpTo,
		},
	)
}

func (a *API) ack(w http.ResponseWriter, r *http.Request) (any, error) {
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
	return a.Clients.Do(r.Context(), &client.Request{Verb: client.VerbAck, Token: bearer, Cursor: input.Cursor})
}

func checkQuery(r *http.Request, parameters ...string) error {
	known := map[string]bool{}
	for _, name := range parameters {
		known[name] = true
	}
	for name := range r.URL.Query() {
		if !known[name] {
			return apierror.New(apierror.DocumentFaulty, "%q is not a parameter of %s", name, r.URL.Path)
		}
	}
	return nil
}

func (a *API) count(_ http.ResponseWriter, r *http.Request) (any, error) {
	bearer, err := bearerToken(r)
	if err != nil {
		return nil, err
	}
	if err := checkQuery(r, "topic"); err != nil {
		return nil, err
	}
	return a.Clients.Do(
		r.Context(), &client.Request{Verb: client.VerbCount, Token: bearer, Topics: r.URL.Query()["topic"]},
	)
}

func (a *API) stream(w http.ResponseWriter, r *http.Request) (any, error) {
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
		writeTimeout: a.Timing.Recovery / writeTimeoutDivisor,
	}
	_, err = a.Clients.Do(
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

func (a *API) readConfiguration(_ http.ResponseWriter, r *http.Request) (any, error) {
	return a.Operators.ReadConfiguration(r.Context())
}

func (a *API) putConfiguration(w http.ResponseWriter, r *http.Request) (any, error) {
	document, err := readBody(w, r, configuration.MaxBytes)
	if err != nil {
		return nil, err
	}
	return a.Operators.Put(r.Context(), document)
}

func (a *API) decommission(w http.ResponseWriter, r *http.Request) (any, error) {
	var input struct {
		Node string `json:"node"`
	}
	if err := readDocument(w, r, decommissionShape, &input); err != nil {
		return nil, err
	}
	return a.Operators.Decommission(r.Context(), input.Node)
}

func (a *API) partition(_ http.ResponseWriter, r *http.Request) (any, error) {
	if err := checkQuery(r, "n", "topic"); err != nil {
		return nil, err
	}
	return a.Operators.Partition(r.Context(), r.URL.Query().Get("n"), r.URL.Query().Get("topic"))
}

func (a *API) explain(_ http.ResponseWriter, r *http.Request) (any, error) {
	if err := checkQuery(r, "visitor", "topic", "call_seq"); err != nil {
		return nil, err
	}
	query := r.URL.Query()
	callSeq, err := strconv.ParseUint(query.Get("call_seq"), 10, 64)
	if err != nil {
		return nil, apierror.New(apierror.Malformed, "call_seq must be a number from 1, is %q", query.Get("call_seq"))
	}
	return a.Operators.Explain(r.Context(), query.Get("visitor"), query.Get("topic"), callSeq)
}

// NewHTTPServer returns a server for a handler.
func NewHTTPServer(handler http.Handler, timing settings.Timing) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: timing.Recovery / readTimeoutDivisor,
		IdleTimeout:       timing.Keeping,
	}
}
