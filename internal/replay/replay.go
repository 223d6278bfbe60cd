// Package replay records messages and plays them back, comparing the received messages with the
// recording.
//
// Invariants: the messages of a topic are sent in the recorded order. A message whose outcome is
// unknown is sent again with the same number. Every received message must equal the recorded one.
//
// Record and Play block until they are done or ctx ends. Play owns one goroutine per topic, and one
// that follows all topics.
package replay

import (
	"context"
	"io"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/client"
	"postjunction/internal/clock"
	"postjunction/internal/replay/recording"
	"postjunction/internal/testing/transport"
)

const (
	// retryInterval is the pause before a failed call is retried.
	retryInterval = 200 * time.Millisecond
	// timeout limits the wait for a stream, for a message to be accepted, and for the last message.
	timeout = 15 * time.Second
)

// follower follows topics under a client's name. It resumes a stream that breaks at its cursor.
type follower struct {
	node   transport.Transport
	client string
	topics []string
	// opened is closed once the first line of the stream was received.
	opened chan struct{}
}

// run calls onMessage for each message until ctx ends. It returns errors of onMessage, and errors
// of the node for which a retry doesn't help.
func (f *follower) run(ctx context.Context, onMessage func(client.Event) error) error {
	cursor, token, hasOpened := "", "", false
	for ctx.Err() == nil {
		if token == "" {
			attachment, err := f.node.Attach(ctx, f.client)
			if err != nil {
				_ = clock.Real{}.Sleep(ctx, retryInterval)
				continue
			}
			token = attachment.Token
		}
		err := f.node.Follow(ctx, token, f.topics, cursor, func(event client.Event) error {
			cursor = event.Cursor
			if !hasOpened {
				hasOpened = true
				close(f.opened)
			}
			if event.Topic == "" {
				return nil
			}
			return onMessage(event)
		})
		if err != nil && endsFollowing[apierror.From(err).Code] {
			return err
		}
		_ = clock.Real{}.Sleep(ctx, retryInterval)
	}
	return nil
}

// endsFollowing are the codes after which a stream is not resumed.
var endsFollowing = map[apierror.Code]bool{
	apierror.UnknownTopic:     true,
	apierror.UnknownSpace:     true,
	apierror.TokenFenced:      true,
	apierror.RecordingInvalid: true,
}

// Record follows topics for a time under a client's name, and writes a recording of their messages.
// It returns the number of messages.
func Record(
	ctx context.Context, node transport.Transport, name string, topics []string, length time.Duration, w io.Writer,
) (int, error) {
	out, err := recording.NewWriter(w, topics)
	if err != nil {
		return 0, err
	}
	ctx, stop := context.WithTimeout(ctx, length)
	defer stop()
	begun, messages := time.Now(), 0
	source := &follower{node: node, client: name, topics: topics, opened: make(chan struct{})}
	err = source.run(ctx, func(event client.Event) error {
		messages++
		return out.Add(recording.Message{
			MS: time.Since(begun).Milliseconds(), Topic: event.Topic, From: event.From,
			CallSeq: event.CallSeq, Body: event.Body,
		})
	})
	if err != nil {
		return messages, err
	}
	return messages, out.Close()
}
