// Package jsoncodec is the service's own codec for package lineserver: one JSON object a line, each
// way. It has no state. A line is accepted only if it has exactly the fields of its verb, each at
// most once.
package jsoncodec

import (
	"bufio"
	"bytes"
	"encoding/json"

	"postjunction/internal/apierror"
	"postjunction/internal/client/session"
	"postjunction/internal/configuration/strictjson"
	"postjunction/internal/lineserver"
	"postjunction/internal/rawjson"
)

// Codec reads and writes JSON lines. It implements lineserver.Codec.
type Codec struct{}

type encodedRequest struct {
	Verb           session.Verb    `json:"verb"`
	Client         string          `json:"visitor,omitempty"`
	Topic          string          `json:"topic,omitempty"`
	Cursor         string          `json:"cursor,omitempty"`
	CallSeq        uint64          `json:"call_seq,omitempty"`
	Body           json.RawMessage `json:"body,omitempty"`
	Key            *string         `json:"key,omitempty"`
	WithdrawSender string          `json:"of,omitempty"`
	WithdrawUpTo   uint64          `json:"upto,omitempty"`
}

type encodedResponse struct {
	Type             session.ResponseType `json:"what"`
	InReplyTo        session.Verb         `json:"re,omitempty"`
	Topic            string               `json:"topic,omitempty"`
	From             string               `json:"from,omitempty"`
	CallSeq          uint64               `json:"call_seq,omitempty"`
	Cursor           string               `json:"cursor,omitempty"`
	Key              string               `json:"key,omitempty"`
	Count            *int                 `json:"count,omitempty"`
	Body             json.RawMessage      `json:"body,omitempty"`
	Address          string               `json:"address,omitempty"`
	AlreadyWithdrawn bool                 `json:"already,omitempty"`
	GivenUp          []string             `json:"given_up,omitempty"`
	Code             apierror.Code        `json:"code,omitempty"`
	Message          string               `json:"say,omitempty"`
	Advice           string               `json:"advice,omitempty"`
	Current          *uint64              `json:"current,omitempty"`
	RetryAfterMS     int64                `json:"retry_after_ms,omitempty"`
}

// envelopeBytes bounds the bytes of a line besides its body.
const envelopeBytes = 2 << 10

var (
	textShape   = strictjson.Shape{Kind: strictjson.Text}
	fieldShapes = map[string]strictjson.Shape{
		"visitor": textShape, "topic": textShape, "cursor": textShape,
		"call_seq": {Kind: strictjson.Count}, "body": {Kind: strictjson.Any},
		"key": textShape, "of": textShape, "upto": {Kind: strictjson.Count},
	}
	requiredFields = map[session.Verb][]string{
		session.Attach:      {"visitor"},
		session.Subscribe:   {"topic"},
		session.Unsubscribe: {"topic"},
		session.Send:        {"topic", "call_seq", "body"},
		session.Count:       {"topic"},
		session.Heartbeat:   nil,

		session.Withdraw: {"topic", "key", "call_seq"},
	}
	optionalFields = map[session.Verb][]string{
		session.Subscribe: {"cursor"}, session.Send: {"key"}, session.Withdraw: {"of", "upto"},
	}
	shapes = func() map[session.Verb]strictjson.Shape {
		byVerb := map[session.Verb]strictjson.Shape{}
		for verb, names := range requiredFields {
			shape := strictjson.Shape{
				Kind:     strictjson.Object,
				Required: append([]string{"verb"}, names...),
				Fields:   map[string]strictjson.Shape{"verb": textShape},
			}
			for _, name := range append(optionalFields[verb], names...) {
				shape.Fields[name] = fieldShapes[name]
			}
			byVerb[verb] = shape
		}
		return byVerb
	}()
)

// ReadRequest reads one line as a request whose body has at most maxBody bytes. A line that is
// rejected is a *lineserver.Fault, returned together with what is known of the request.
func (Codec) ReadRequest(r *bufio.Reader, maxBody int) (session.Request, error) {
	line, err := lineserver.ReadLine(r, maxBody+envelopeBytes)
	if err != nil {
		return session.Request{}, err
	}
	var decoded encodedRequest
	if err := json.Unmarshal(line, &decoded); err != nil {
		return session.Request{}, lineserver.Malformed(true, "the line is not a JSON request object")
	}
	parsed := session.Request{
		Verb:           decoded.Verb,
		Client:         decoded.Client,
		Topic:          decoded.Topic,
		Cursor:         decoded.Cursor,
		CallSeq:        decoded.CallSeq,
		Body:           decoded.Body,
		WithdrawSender: decoded.WithdrawSender,
		WithdrawUpTo:   decoded.WithdrawUpTo,
	}
	if decoded.Key != nil {
		parsed.Key = *decoded.Key
	}
	shape, ok := shapes[decoded.Verb]
	if !ok {
		return session.Request{}, lineserver.Malformed(true, "there is no verb %q", decoded.Verb)
	}
	faults, err := strictjson.Check(line, shape)
	if err != nil {
		return parsed, &lineserver.Fault{Err: err, Resynced: true}
	}
	if len(faults) > 0 {
		return parsed, &lineserver.Fault{
			Err:      apierror.New(apierror.Malformed, "%s: %s", faults[0].Path, faults[0].Message).WithFaults(faults),
			Resynced: true,
		}
	}
	if decoded.Key != nil && parsed.Key == "" {
		return parsed, lineserver.Malformed(true, "$.key: is empty")
	}
	if len(decoded.Body) > maxBody {
		parsed.Body = nil
		return parsed, &lineserver.Fault{
			Err: apierror.New(
				apierror.Oversize, "the body has %d bytes, the limit is %d", len(decoded.Body), maxBody,
			),
			Resynced: true,
		}
	}
	return parsed, nil
}

// AppendResponse appends a response as one line.
func (Codec) AppendResponse(b []byte, response session.Response) []byte {
	encoded := encodedResponse{
		Type:             response.Type,
		InReplyTo:        response.InReplyTo,
		Topic:            response.Topic,
		From:             response.From,
		CallSeq:          response.CallSeq,
		Cursor:           response.Cursor,
		Key:              response.Key,
		Address:          response.Address,
		AlreadyWithdrawn: response.AlreadyWithdrawn,
		GivenUp:          response.GivenUp,
	}
	if response.Type == session.Counted {
		encoded.Count = &response.Count
	}
	if response.Body != nil {
		encoded.Body = jsonBody(response.Body)
	}
	if response.Err != nil {
		problem := apierror.From(response.Err)
		encoded.Code, encoded.Message, encoded.Advice = problem.Code, problem.Message, problem.Advice()
		encoded.Current, encoded.RetryAfterMS = problem.Current, problem.RetryAfterMS
	}
	line, err := rawjson.Marshal(encoded)
	if err != nil {
		line, _ = rawjson.Marshal(
			encodedResponse{
				Type:      session.Rejected,
				InReplyTo: response.InReplyTo,
				Topic:     response.Topic,
				CallSeq:   response.CallSeq,
				Code:      apierror.Internal,
			},
		)
	}
	return append(append(b, line...), '\n')
}

// jsonBody returns a body that is one line of JSON as it is, and any other as a string.
func jsonBody(body []byte) json.RawMessage {
	if json.Valid(body) && !bytes.ContainsAny(body, "\r\n") {
		return body
	}
	quoted, _ := json.Marshal(string(body))
	return quoted
}
