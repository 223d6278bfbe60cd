package jsoncodec

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"postjunction/internal/apierror"
	"postjunction/internal/client/session"
	"postjunction/internal/lineserver"
)

func TestAppendResponse_MatchesGolden(t *testing.T) {
	var lines []byte
	for _, response := range []session.Response{
		{Type: session.Attached},
		{Type: session.Subscribed, Topic: "a/b", Cursor: "c1"},
		{Type: session.Message, Topic: "a/b", Cursor: "c2", From: "v1", CallSeq: 7, Body: []byte(`{"x":"<&>"}`)},
		{Type: session.Message, Topic: "a/b", Cursor: "c3", From: "v1", CallSeq: 8, Body: []byte("no json\nat all")},
		{Type: session.Accepted, Topic: "a/b", CallSeq: 7},
		{Type: session.Unsubscribed, Topic: "a/b"},
		{Type: session.Counted, Topic: "a/b"},
		{Type: session.Alive},
		{
			Type:      session.Rejected,
			InReplyTo: session.Send,
			Topic:     "a/b",
			CallSeq:   9,
			Err:       apierror.New(apierror.Overloaded, "64 wait"),
		},
		{Type: session.Rejected, InReplyTo: session.Subscribe, Topic: "a/b", Err: io.EOF},
		{Type: session.Moved, Address: "127.0.0.1:7400"},
		{
			Type:      session.Message,
			Topic:     "a/b",
			Cursor:    "c4",
			From:      "v1",
			CallSeq:   10,
			Body:      []byte(`1`),
			Key:       "k1",
			Partition: 3,
			Offset:    9,
		},
		{
			Type:      session.Withdrawn,
			Topic:     "a/b",
			Cursor:    "c5",
			From:      "v1",
			CallSeq:   11,
			Key:       "k1",
			Partition: 3,
			Offset:    10,
		},
		{Type: session.WithdrawalComplete, Topic: "a/b", CallSeq: 11, Key: "k1"},
		{
			Type:             session.WithdrawalComplete,
			Topic:            "a/b",
			CallSeq:          12,
			Key:              "k1",
			AlreadyWithdrawn: true,
			GivenUp:          []string{"a3"},
		},
		{
			Type:      session.Rejected,
			InReplyTo: session.Withdraw,
			Topic:     "a/b",
			CallSeq:   13,
			Key:       "k1",
			GivenUp:   []string{"a3"},
			Err:       apierror.New(apierror.WithdrawalOpen, "a2"),
		},
	} {
		lines = Codec{}.AppendResponse(lines, response)
	}
	golden.Assert(t, string(lines), "answers.jsonl")
}

func TestReadRequest(t *testing.T) {
	cases := map[string]session.Request{
		`{"verb":"attach","visitor":"v1"}`: {Verb: session.Attach, Client: "v1"},
		`{"verb":"join","topic":"a/b"}`:    {Verb: session.Subscribe, Topic: "a/b"},
		`{"verb":"join","topic":"a/b","cursor":"c1"}`: {
			Verb:   session.Subscribe,
			Topic:  "a/b",
			Cursor: "c1",
		},
		`{"verb":"leave","topic":"a/b"}`: {Verb: session.Unsubscribe, Topic: "a/b"},
		`{"verb":"send","topic":"a/b","call_seq":7,"body":{"x":1}}`: {
			Verb:    session.Send,
			Topic:   "a/b",
			CallSeq: 7,
			Body:    []byte(`{"x":1}`),
		},
		`{"verb":"count","topic":"a/b"}`: {Verb: session.Count, Topic: "a/b"},
		`{"verb":"pulse"}`:               {Verb: session.Heartbeat},

		`{"verb":"send","topic":"a/b","call_seq":7,"body":1,"key":"k"}`: {
			Verb:    session.Send,
			Topic:   "a/b",
			CallSeq: 7,
			Body:    []byte(`1`),
			Key:     "k",
		},
		`{"verb":"withdraw","topic":"a/b","key":"k","call_seq":8}`: {
			Verb:    session.Withdraw,
			Topic:   "a/b",
			Key:     "k",
			CallSeq: 8,
		},
		`{"verb":"withdraw","topic":"a/b","key":"k","call_seq":8,"of":"v2","upto":5}`: {
			Verb:           session.Withdraw,
			Topic:          "a/b",
			Key:            "k",
			CallSeq:        8,
			WithdrawSender: "v2",
			WithdrawUpTo:   5,
		},
	}
	for line, want := range cases {
		got, err := Codec{}.ReadRequest(bufio.NewReader(strings.NewReader(line+"\n")), 64)
		assert.NilError(t, err, line)
		assert.DeepEqual(t, got, want)
	}
}

func TestReadRequest_RejectsFaultyLines(t *testing.T) {
	cases := map[string]string{
		``:                             "malformed: the line is not a JSON request object",
		`[]`:                           "malformed: the line is not a JSON request object",
		`{"verb":"join"} 1`:            "malformed: the line is not a JSON request object",
		`{"verb":"Join","topic":"a"}`:  `malformed: there is no verb "Join"`,
		`{"verb":"pulse","topic":"a"}`: "malformed: $.topic: is not a field of this document",
		`{"verb":"join","topic":"a","topic":"b"}`:                "malformed: $.topic: stands twice",
		`{"verb":"send","topic":"a","call_seq":-1,"body":1}`:     "malformed: the line is not a JSON request object",
		`{"verb":"send","topic":"a","body":1}`:                   "malformed: $.call_seq: is missing",
		`{"verb":"send","topic":"a","call_seq":1,"body":123456}`: "oversize: the body has 6 bytes, the limit is 5",

		`{"verb":"send","topic":"a","call_seq":1,"body":1,"key":""}`:            "malformed: $.key: is empty",
		`{"verb":"send","topic":"a","call_seq":1,"body":1,"key":"k","key":"k"}`: "malformed: $.key: stands twice",
		`{"verb":"send","topic":"a","call_seq":1,"body":1,"of":"v"}`: "malformed: $.of: " +
			"is not a field of this document",
		`{"verb":"join","topic":"a","key":"k"}`: "malformed: $.key: " +
			"is not a field of this document",
		`{"verb":"withdraw","topic":"a","call_seq":1}`: "malformed: $.key: is missing",
		`{"verb":"withdraw","topic":"a","key":"k"}`:    "malformed: $.call_seq: is missing",
		`{"verb":"withdraw","topic":"a","key":"k","call_seq":1,"body":1}`: "malformed: $.body: " +
			"is not a field of this document",
		`{"verb":"withdraw","topic":"a","key":"k","call_seq":1,"upto":1,"upto":2}`: "malformed: $.upto: stands twice",
	}
	for line, want := range cases {
		r := bufio.NewReader(strings.NewReader(line + "\n" + `{"verb":"pulse"}` + "\n"))
		_, err := Codec{}.ReadRequest(r, 5)
		assert.Error(t, err, want, line)
		var fault *lineserver.Fault
		assert.Assert(t, errors.As(err, &fault) && fault.Resynced, line)
		next, err := Codec{}.ReadRequest(r, 5)
		assert.NilError(t, err)
		assert.Equal(t, next.Verb, session.Heartbeat)
	}
}

// Whatever the input, reading ends, respects its limits, and continues at the next line.
func FuzzReadRequest(f *testing.F) {
	for _, seed := range []string{
		"", "\n", "{}\n", `{"verb":"pulse"}` + "\r\n",
		`{"verb":"send","topic":"a","call_seq":1,"body":"x"}` + "\n",
		`{"verb":"withdraw","topic":"a","key":"k","call_seq":1,"of":"v","upto":1}` + "\n",
		strings.Repeat("x", 5000) + "\n{}\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		r := bufio.NewReaderSize(bytes.NewReader(input), 64)
		for lineCount := 0; ; lineCount++ {
			request, err := Codec{}.ReadRequest(r, 32)
			assert.Assert(t, len(request.Body) <= 32)
			var fault *lineserver.Fault
			if err != nil && !errors.As(err, &fault) {
				assert.ErrorIs(t, err, io.EOF)
				assert.Assert(t, lineCount <= bytes.Count(input, []byte("\n")))
				return
			}
		}
	})
}
