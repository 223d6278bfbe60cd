package replay

import (
	"context"
	"fmt"
	"sync"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/client"
	"postjunction/internal/clock"
	"postjunction/internal/control/registerclient"
	"postjunction/internal/replay/recording"
	"postjunction/internal/testing/transport"
)

// maxClientName is the maximum length of a client's name, in bytes.
const maxClientName = 63

// Report is the outcome of a playback.
type Report struct {
	Sent, Received int
	// FirstDifference is the first difference from the recording, empty if there is none.
	FirstDifference string
}

// Play sends the messages of a recording at a multiple of the recorded speed, and compares the
// messages that it receives with the recording. The messages of a topic are sent in their order.
// Play returns ReplayDiffers if the received messages differ.
func Play(
	ctx context.Context, node transport.Transport, header recording.Header, messages []recording.Message,
	speed float64,
) (Report, error) {
	run := registerclient.NewChangeID()[:8]
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	got := &received{byTopic: map[string][]client.Event{}, expected: len(messages), complete: make(chan struct{})}
	source := &follower{
		node: node, client: "replay-" + run, topics: header.Topics, opened: make(chan struct{}),
	}
	failed := make(chan error, 1)
	go func() { failed <- source.run(ctx, got.add) }()
	select {
	case <-source.opened:
	case err := <-failed:
		return Report{}, err
	case <-time.After(timeout):
		return Report{}, apierror.New(apierror.Unreachable, "no stream opened within %s", timeout)
	}
	byTopic := map[string][]recording.Message{}
	for _, message := range messages {
		byTopic[message.Topic] = append(byTopic[message.Topic], message)
	}
	out := &sender{node: node, run: run, begun: time.Now(), speed: speed, tokens: map[string]string{}}
	if err := out.sendAll(ctx, byTopic); err != nil {
		return Report{}, err
	}
	if len(messages) > 0 {
		select {
		case <-got.complete:
		case <-time.After(timeout):
		}
	}
	report := got.compare(run, byTopic)
	report.Sent = len(messages)
	if report.FirstDifference != "" {
		return report, apierror.New(apierror.ReplayDiffers, "%s", report.FirstDifference)
	}
	return report, nil
}

// received collects the messages that are received during a playback.
type received struct {
	// mu guards byTopic and count.
	mu      sync.Mutex
	byTopic map[string][]client.Event
	count   int
	// complete is closed once the expected number of messages was received.
	expected int
	complete chan struct{}
}

func (r *received) add(event client.Event) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byTopic[event.Topic] = append(r.byTopic[event.Topic], event)
	if r.count++; r.count == r.expected {
		close(r.complete)
	}
	return nil
}

func (r *received) compare(run string, recorded map[string][]recording.Message) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := Report{Received: r.count}
	for topic, want := range recorded {
		if found := difference(topic, run, want, r.byTopic[topic]); found != "" && report.FirstDifference == "" {
			report.FirstDifference = found
		}
	}
	return report
}

// difference describes the first difference between the received and the recorded messages of a
// topic, empty if there is none.
func difference(topic, run string, want []recording.Message, got []client.Event) string {
	for i, message := range want {
		if i >= len(got) {
			return fmt.Sprintf("%s: message %d of %d was not received", topic, i+1, len(want))
		}
		event := got[i]
		if event.From != clientName(run, message.From) || string(event.Body) != string(message.Body) {
			return fmt.Sprintf("%s: message %d is %s's %s, recorded was %s's %s",
				topic, i+1, event.From, event.Body, message.From, message.Body)
		}
	}
	if len(got) > len(want) {
		return fmt.Sprintf("%s: %d messages were received, %d were recorded", topic, len(got), len(want))
	}
	return ""
}

// clientName returns the name under which a playback sends a client's messages.
func clientName(run, from string) string {
	name := "replay-" + run + "-" + from
	return name[:min(len(name), maxClientName)]
}

// sender sends the messages of a recording as clients of its own.
type sender struct {
	node  transport.Transport
	run   string
	begun time.Time
	speed float64
	// mu guards tokens, which are by recorded client. It is held while a client attaches, so that
	// none attaches twice.
	mu     sync.Mutex
	tokens map[string]string
}

// sendAll sends the messages of all topics concurrently. It returns the first error.
func (s *sender) sendAll(ctx context.Context, byTopic map[string][]recording.Message) error {
	var wg sync.WaitGroup
	errs := make(chan error, len(byTopic))
	for _, messages := range byTopic {
		wg.Go(func() { errs <- s.sendTopic(ctx, messages) })
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *sender) sendTopic(ctx context.Context, messages []recording.Message) error {
	callSeqs := map[string]uint64{}
	for _, message := range messages {
		due := s.begun.Add(time.Duration(float64(message.MS)/s.speed) * time.Millisecond)
		_ = clock.Real{}.Sleep(ctx, time.Until(due))
		callSeqs[message.From]++
		if err := s.send(ctx, message, callSeqs[message.From]); err != nil {
			return err
		}
	}
	return nil
}

// send sends a message until it is accepted. It returns ReplayDiffers if the message is rejected
// permanently or not accepted in time.
func (s *sender) send(ctx context.Context, message recording.Message, callSeq uint64) error {
	for end := time.Now().Add(timeout); ; {
		token, err := s.token(ctx, message.From)
		if err == nil {
			_, err = s.node.Send(ctx, token, message.Topic, callSeq, message.Body)
		}
		if err == nil {
			return nil
		}
		if isFinal[apierror.From(err).Code] || ctx.Err() != nil || time.Now().After(end) {
			return apierror.Wrap(apierror.ReplayDiffers, err, "send on %s", message.Topic)
		}
		_ = clock.Real{}.Sleep(ctx, retryInterval)
	}
}

// isFinal contains the codes after which a message is not sent again.
var isFinal = map[apierror.Code]bool{
	apierror.UnknownTopic: true,
	apierror.UnknownSpace: true,
	apierror.CallPassed:   true,
	apierror.CallAltered:  true,
	apierror.TokenFenced:  true,
	apierror.Oversize:     true,
}

func (s *sender) token(ctx context.Context, from string) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if token := s.tokens[from]; token != "" {
		return token, nil
	}
	attachment, err := s.node.Attach(ctx, clientName(s.run, from))
	if err == nil {
		s.tokens[from] = attachment.Token
	}
	return attachment.Token, err
}
