// Package replay records a day's messages and plays them back, checking the received lines against the recording.
package replay

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/client"
	"postjunction/internal/clock"
	"postjunction/internal/control/registerclient"
	"postjunction/internal/replay/recording"
	"postjunction/internal/testing/transport"
)

const (
	again    = 200 * time.Millisecond
	patience = 15 * time.Second
)

func listen(ctx context.Context, p transport.Transport, name string, topics []string, ready chan<- struct{}, f func(client.Event) error) error {
	cursor, tok, told := "", "", false
	for ctx.Err() == nil {
		if tok == "" {
			a, err := p.Attach(ctx, name)
			if err != nil {
				_ = clock.Real{}.Sleep(ctx, again)
				continue
			}
			tok = a.Token
		}
		err := p.Follow(ctx, tok, topics, cursor, func(l client.Event) error {
			cursor = l.Cursor
			if !told {
				told = true
				close(ready)
			}
			if l.Topic == "" {
				return nil
			}
			return f(l)
		})
		if k := apierror.From(err).Code; err != nil && (k == apierror.UnknownTopic || k == apierror.UnknownSpace || k == apierror.TokenFenced || k == apierror.RecordingInvalid) {
			return err
		}
		_ = clock.Real{}.Sleep(ctx, again)
	}
	return nil
}

// Record follows topics for a time and writes what it gets.
func Record(ctx context.Context, p transport.Transport, name string, topics []string, length time.Duration, w io.Writer) (int, error) {
	r, err := recording.NewWriter(w, topics)
	if err != nil {
		return 0, err
	}
	ctx, stop := context.WithTimeout(ctx, length)
	defer stop()
	begun, n := time.Now(), 0
	err = listen(ctx, p, name, topics, make(chan struct{}), func(l client.Event) error {
		n++
		return r.Add(recording.Message{MS: time.Since(begun).Milliseconds(), Topic: l.Topic, From: l.From, Call: l.CallSeq, Body: l.Body})
	})
	if err != nil {
		return n, err
	}
	return n, r.Close()
}

// Report is the outcome of a playback.
type Report struct {
	Sent, Received int
	First          string
}

// Play sends a recording's messages in the recorded order of each topic, at a speed, and checks what a listener receives.
func Play(ctx context.Context, p transport.Transport, h recording.Header, ms []recording.Message, speed float64) (Report, error) {
	run := registerclient.NewChangeID()[:8]
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	byTopic := map[string][]recording.Message{}
	for _, m := range ms {
		byTopic[m.Topic] = append(byTopic[m.Topic], m)
	}
	var mu sync.Mutex
	got := map[string][]client.Event{}
	n := 0
	all := make(chan struct{})
	ready, failed := make(chan struct{}), make(chan error, 1)
	go func() {
		failed <- listen(ctx, p, "replay-"+run, h.Topics, ready, func(l client.Event) error {
			mu.Lock()
			defer mu.Unlock()
			got[l.Topic] = append(got[l.Topic], l)
			if n++; n == len(ms) {
				close(all)
			}
			return nil
		})
	}()
	select {
	case <-ready:
	case err := <-failed:
		return Report{}, err
	case <-time.After(patience):
		return Report{}, apierror.New(apierror.Unreachable, "no stream opened within %s", patience)
	}
	s := &sender{p: p, run: run, begun: time.Now(), speed: speed, tokens: map[string]string{}}
	var wg sync.WaitGroup
	errs := make(chan error, len(byTopic))
	for _, q := range byTopic {
		wg.Go(func() { errs <- s.topic(ctx, q) })
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return Report{}, err
		}
	}
	if len(ms) > 0 {
		select {
		case <-all:
		case <-time.After(patience):
		}
	}
	mu.Lock()
	defer mu.Unlock()
	r := Report{Sent: len(ms), Received: n}
	for t, want := range byTopic {
		if d := differ(t, run, want, got[t]); d != "" && r.First == "" {
			r.First = d
		}
	}
	if r.First != "" {
		return r, apierror.New(apierror.ReplayDiffers, "%s", r.First)
	}
	return r, nil
}

func name(run, from string) string {
	n := "replay-" + run + "-" + from
	return n[:min(len(n), 63)]
}

func differ(t, run string, want []recording.Message, got []client.Event) string {
	for i, w := range want {
		if i >= len(got) {
			return fmt.Sprintf("%s: line %d of %d never came", t, i+1, len(want))
		}
		if g := got[i]; g.From != name(run, w.From) || string(g.Body) != string(w.Body) {
			return fmt.Sprintf("%s: line %d is %s's %s, recorded was %s's %s", t, i+1, g.From, g.Body, w.From, w.Body)
		}
	}
	if len(got) > len(want) {
		return fmt.Sprintf("%s: %d lines came, %d were recorded", t, len(got), len(want))
	}
	return ""
}

type sender struct {
	p      transport.Transport
	run    string
	begun  time.Time
	speed  float64
	mu     sync.Mutex
	tokens map[string]string
}

func (s *sender) token(ctx context.Context, from string) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.tokens[from]; t != "" {
		return t, nil
	}
	a, err := s.p.Attach(ctx, name(s.run, from))
	if err == nil {
		s.tokens[from] = a.Token
	}
	return a.Token, err
}

var lasting = map[apierror.Code]bool{
	apierror.UnknownTopic: true, apierror.UnknownSpace: true, apierror.CallPassed: true, apierror.CallAltered: true, apierror.TokenFenced: true, apierror.Oversize: true,
}

func (s *sender) topic(ctx context.Context, ms []recording.Message) error {
	calls := map[string]uint64{}
	for _, m := range ms {
		due := s.begun.Add(time.Duration(float64(m.MS)/s.speed) * time.Millisecond)
		_ = clock.Real{}.Sleep(ctx, time.Until(due))
		calls[m.From]++
		for end := time.Now().Add(patience); ; {
			t, err := s.token(ctx, m.From)
			if err == nil {
				_, err = s.p.Send(ctx, t, m.Topic, calls[m.From], m.Body)
			}
			if err == nil {
				break
			}
			if lasting[apierror.From(err).Code] || ctx.Err() != nil || time.Now().After(end) {
				return apierror.Wrap(apierror.ReplayDiffers, err, "send on %s", m.Topic)
			}
			_ = clock.Real{}.Sleep(ctx, again)
		}
	}
	return nil
}
