// Package jsoncodec is the product's own codec of visits: one JSON object a line, each way.
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

// Codec reads and writes JSON lines.
type Codec struct{}

type task struct {
	Verb    session.Verb    `json:"verb"`
	Visitor string          `json:"visitor,omitempty"`
	Topic   string          `json:"topic,omitempty"`
	Cursor  string          `json:"cursor,omitempty"`
	Call    uint64          `json:"call_seq,omitempty"`
	Body    json.RawMessage `json:"body,omitempty"`
	Key     *string         `json:"key,omitempty"`
	Of      string          `json:"of,omitempty"`
	Upto    uint64          `json:"upto,omitempty"`
}

type answer struct {
	What    session.ResponseType `json:"what"`
	Re      session.Verb         `json:"re,omitempty"`
	Topic   string               `json:"topic,omitempty"`
	From    string               `json:"from,omitempty"`
	Call    uint64               `json:"call_seq,omitempty"`
	Cursor  string               `json:"cursor,omitempty"`
	Key     string               `json:"key,omitempty"`
	Count   *int                 `json:"count,omitempty"`
	Body    json.RawMessage      `json:"body,omitempty"`
	Address string               `json:"address,omitempty"`
	Already bool                 `json:"already,omitempty"`
	GivenUp []string             `json:"given_up,omitempty"`
	Code    apierror.Code        `json:"code,omitempty"`
	Say     string               `json:"say,omitempty"`
	Advice  string               `json:"advice,omitempty"`
	Current *uint64              `json:"current,omitempty"`
	RetryMS int64                `json:"retry_after_ms,omitempty"`
}

// roomBytes is what a line may have besides its body.
const roomBytes = 2 << 10

var (
	text   = strictjson.Shape{Kind: strictjson.Text}
	fields = map[string]strictjson.Shape{
		"visitor": text, "topic": text, "cursor": text,
		"call_seq": {Kind: strictjson.Count}, "body": {Kind: strictjson.Any},
		"key": text, "of": text, "upto": {Kind: strictjson.Count},
	}
	needs = map[session.Verb][]string{
		session.Attach:      {"visitor"},
		session.Subscribe:   {"topic"},
		session.Unsubscribe: {"topic"},
		session.Send:        {"topic", "call_seq", "body"},
		session.Count:       {"topic"},
		session.Heartbeat:   nil,

		session.Withdraw: {"topic", "key", "call_seq"},
	}
	may    = map[session.Verb][]string{session.Subscribe: {"cursor"}, session.Send: {"key"}, session.Withdraw: {"of", "upto"}}
	shapes = func() map[session.Verb]strictjson.Shape {
		m := map[session.Verb]strictjson.Shape{}
		for v, fs := range needs {
			s := strictjson.Shape{Kind: strictjson.Object, Needed: append([]string{"verb"}, fs...), Fields: map[string]strictjson.Shape{"verb": text}}
			for _, f := range append(may[v], fs...) {
				s.Fields[f] = fields[f]
			}
			m[v] = s
		}
		return m
	}()
)

// ReadRequest reads one line as a task.
func (Codec) ReadRequest(r *bufio.Reader, body int) (session.Request, error) {
	b, err := lineserver.ReadLine(r, body+roomBytes)
	if err != nil {
		return session.Request{}, err
	}
	var q task
	if err := json.Unmarshal(b, &q); err != nil {
		return session.Request{}, lineserver.Malformed(true, "the line is no JSON object of a task")
	}
	t := session.Request{Verb: q.Verb, Client: q.Visitor, Topic: q.Topic, Cursor: q.Cursor, CallSeq: q.Call, Body: q.Body, WithdrawSender: q.Of, WithdrawUpTo: q.Upto}
	if q.Key != nil {
		t.Key = *q.Key
	}
	s, ok := shapes[q.Verb]
	if !ok {
		return session.Request{}, lineserver.Malformed(true, "there is no verb %q", q.Verb)
	}
	f, err := strictjson.Check(b, s)
	if err != nil {
		return t, &lineserver.Fault{Err: err, Resynced: true}
	}
	if len(f) > 0 {
		return t, &lineserver.Fault{Err: apierror.New(apierror.Malformed, "%s: %s", f[0].Path, f[0].Message).WithFaults(f), Resynced: true}
	}
	if q.Key != nil && t.Key == "" {
		return t, lineserver.Malformed(true, "$.key: is empty")
	}
	if len(q.Body) > body {
		t.Body = nil
		return t, &lineserver.Fault{Err: apierror.New(apierror.Oversize, "the body has %d bytes, the limit is %d", len(q.Body), body), Resynced: true}
	}
	return t, nil
}

// AppendResponse writes an answer as one line.
func (Codec) AppendResponse(b []byte, a session.Response) []byte {
	x := answer{What: a.Type, Re: a.InReplyTo, Topic: a.Topic, From: a.From, Call: a.CallSeq, Cursor: a.Cursor, Key: a.Key, Address: a.Address, Already: a.AlreadyWithdrawn, GivenUp: a.GivenUp}
	if a.Type == session.Counted {
		x.Count = &a.Count
	}
	if a.Body != nil {
		x.Body = value(a.Body)
	}
	if a.Err != nil {
		p := apierror.From(a.Err)
		x.Code, x.Say, x.Advice, x.Current, x.RetryMS = p.Code, p.Message, p.Advice(), p.Current, p.RetryAfterMS
	}
	l, err := rawjson.Marshal(x)
	if err != nil {
		l, _ = rawjson.Marshal(answer{What: session.Rejected, Re: a.InReplyTo, Topic: a.Topic, Call: a.CallSeq, Code: apierror.Internal})
	}
	return append(append(b, l...), '\n')
}

// value gives a body that is one line of JSON as it is, and any other as a string.
func value(b []byte) json.RawMessage {
	if json.Valid(b) && !bytes.ContainsAny(b, "\r\n") {
		return b
	}
	s, _ := json.Marshal(string(b))
	return s
}
