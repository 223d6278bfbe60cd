package sim

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/configuration"
	"postjunction/internal/node"
	"postjunction/internal/placement/decommission"
	"postjunction/internal/testing/history"
	"postjunction/internal/testing/transport"
)

// ask has a machine's process do something, and gives up after a time, as nothing is heard from a
// frozen one.
func (w *World) ask(n string, limit time.Duration, f func(ctx context.Context, x *node.Node) error) error {
	x := w.Machines[n].Node()
	if x == nil {
		return apierror.New(apierror.Unreachable, "%s is down", n)
	}
	ctx, stop := context.WithTimeout(w.ctx, limit)
	defer stop()
	c := make(chan error, 1)
	go func() {
		w.Machines[n].gate()
		c <- f(ctx, x)
	}()
	select {
	case err := <-c:
		return err
	case <-ctx.Done():
		return apierror.New(apierror.Unreachable, "%s did not answer", n)
	}
}

func (w *World) isDecommissioned(n string) func() bool {
	return func() bool {
		var done atomic.Bool
		for _, k := range w.Names {
			if k[0] == 'c' && !done.Load() {
				_ = w.ask(k, w.Site.Timing.CallTimeout(), func(ctx context.Context, x *node.Node) error {
					v, err := x.Operators.Client.Read(ctx, decommission.Key)
					if err != nil {
						return err
					}
					l, err := decommission.Parse(v.Body)
					done.Store(err == nil && l[n].Done)
					return err
				})
			}
		}
		return done.Load()
	}
}

// Port gives a machine as callers see it.
func (w *World) Port(n string) transport.Transport {
	return &transport.Direct{Node: w.Machines[n].services, Gate: w.Machines[n].gate}
}

// Ports gives all machines whose process runs, as the platform's balancing would after asking for
// readiness.
func (w *World) Ports() []transport.Transport {
	var ps []transport.Transport
	for _, n := range w.Names {
		m := w.Machines[n]
		m.mu.Lock()
		ok := m.ports != nil && m.frozen == nil
		s := m.ports
		m.mu.Unlock()
		if ok && s.API.Ready() == nil {
			ps = append(ps, w.Port(n))
		}
	}
	if len(ps) == 0 {
		for _, n := range w.Names {
			ps = append(ps, w.Port(n))
		}
	}
	return ps
}

// WaitReady waits until some node serves a description, at most limit.
func (w *World) WaitReady(limit time.Duration) error {
	return w.WaitUntil(limit, "the fleet serves", func() bool {
		for _, m := range w.Machines {
			if s := m.services(); !m.isGone() && (s == nil || s.API.Ready() != nil) {
				return false
			}
		}
		return true
	})
}

// WaitUntil waits for a condition.
func (w *World) WaitUntil(limit time.Duration, what string, f func() bool) error {
	end := time.Now().Add(limit)
	for !f() {
		if time.Now().After(end) {
			return apierror.New(apierror.Internal, "not within %s: %s", limit, what)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

// Quiet stops the senders and waits until callers have caught up.
func (w *World) Quiet(wait time.Duration) time.Time {
	w.sends()
	at := time.Now()
	time.Sleep(wait)
	return at
}

// Put puts a description through a machine and notes the outcome.
func (w *World) Put(n string, doc []byte) (uint64, error) {
	ctx, stop := context.WithTimeout(w.ctx, w.Site.Timing.Recovery)
	defer stop()
	end := w.History.Begin(history.WaitPut, n, time.Now())
	seq, err := w.Port(n).Put(ctx, doc)
	end(time.Now())
	if err == nil {
		var d configuration.Config
		_ = json.Unmarshal(doc, &d)
		w.History.AcceptConfiguration(d.Base, seq, string(doc), time.Now())
	}
	return seq, err
}

// Watch notes every heartbeat which description each node serves.
func (w *World) Watch() {
	w.wg.Go(func() {
		for w.ctx.Err() == nil {
			for _, n := range w.Names {
				m := w.Machines[n]
				m.mu.Lock()
				s, run, froz := m.ports, m.run, m.frozen != nil
				m.mu.Unlock()
				if s == nil || froz {
					continue
				}
				b := s.API.Operators.Store
				for p := range b.VoterSet().Layout.PartitionCount() {
					for _, x := range b.Record(p).History {
						w.History.Lead(p, x.Epoch, x.Leader)
					}
				}
				if s.API.Ready() == nil {
					w.History.ObserveConfiguration(fmt.Sprintf("%s#%d", n, run), s.API.Operators.Store.Configuration().Sequence, time.Now(),
						w.Site.Timing.Spread)
				}
			}
			_ = clock.Real{}.Sleep(w.ctx, w.Site.Timing.HeartbeatInterval()/3)
		}
	})
}
