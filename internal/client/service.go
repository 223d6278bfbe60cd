// Package client serves the calls of clients: attach, send, withdraw, follow, ack and count.
//
// Each call passes a chain of policies (policies.go) to its handler. Invariants:
//   - Nothing is served without a lease.
//   - A client's call is served only under its newest attachment.
//   - A stream delivers each message of its topics once, in the order of its partition, and no
//     message that is known to be withdrawn.
//   - Urgent calls and streams never wait for routine ones.
//
// A Service has no state of its own but counters. Calls run in their callers' goroutines and block
// for the call's time-out at most. Follow blocks until its stream ends.
package client

import (
	"context"
	"slices"
	"sync"

	"postjunction/internal/callpolicy"
	"postjunction/internal/client/admission"
	"postjunction/internal/clock"
	"postjunction/internal/delivery/stream"
	"postjunction/internal/gossip"
	"postjunction/internal/partitionlog/router"
	"postjunction/internal/presence"
	"postjunction/internal/settings"
)

// Service serves the clients of one node. Its exported fields are set before the first call.
type Service struct {
	Clock      clock.Clock
	Timing     settings.Timing
	BodyLimit  int
	Store      *gossip.Store
	Router     *router.Router
	Feeds      *stream.Feeds
	Presence   *presence.Presence
	Limiter    *admission.Limiter
	CheckLease func() error
	Draining   <-chan struct{}
	OnError    func(request *Request, err error)

	// mu guards the fields below.
	mu           sync.Mutex
	chains       map[string]callpolicy.Next[*Request]
	streams      int
	linesWritten uint64
}

// Do serves a call and returns its response: an Attachment, Receipt, Withdrawal, CursorSaved or
// PresenceCount, or nil after Follow. Errors are of package apierror.
func (s *Service) Do(ctx context.Context, request *Request) (any, error) {
	err := s.chain(request.Verb)(ctx, request)
	if err != nil && s.OnError != nil {
		s.OnError(request, err)
	}
	return request.response, err
}

// chain returns a verb's handler behind its policies, in the order in which they apply.
func (s *Service) chain(verb string) callpolicy.Next[*Request] {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.chains == nil {
		s.chains = s.newChains()
	}
	return s.chains[verb]
}

func (s *Service) newChains() map[string]callpolicy.Next[*Request] {
	type policy = callpolicy.Func[*Request]
	chain := callpolicy.Chain[*Request]
	draining, lease, spaces := policy(s.checkDraining), policy(s.checkLease), policy(s.findSpaces)
	admit, limit, identity := policy(s.admit), policy(s.limitTime), policy(s.checkIdentity)
	completion, number := policy(s.awaitCompletion), policy(s.rejectCallNumber)
	return map[string]callpolicy.Next[*Request]{
		VerbAttach:   chain(s.attach, draining, lease, admit, limit),
		VerbSend:     chain(s.send, draining, lease, spaces, admit, limit, number, identity),
		VerbFollow:   chain(s.follow, draining, lease, spaces, admit),
		VerbAck:      chain(s.ack, draining, lease, admit, limit, identity),
		VerbCount:    chain(s.count, draining, lease, spaces, admit, limit, identity),
		VerbWithdraw: chain(s.withdraw, draining, lease, spaces, completion, admit, limit, number, identity),
	}
}

// Streams returns how many streams are open and how many lines they have written.
func (s *Service) Streams() (int, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.streams, s.linesWritten
}

func (s *Service) countStreams(streams int, lines uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams += streams
	s.linesWritten += lines
}

func unique(topics []string) []string {
	sorted := slices.Clone(topics)
	slices.Sort(sorted)
	return slices.Compact(sorted)
}
