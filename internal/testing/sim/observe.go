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

// callNode runs a function on a machine's process. It gives up after a limit, since a frozen
// process gives no answer.
func (w *World) callNode(name string, limit time.Duration, call func(ctx context.Context, process *node.Node) error) error {
	process := w.Machines[name].Node()
	if process == nil {
		return apierror.New(apierror.Unreachable, "%s is down", name)
	}
	ctx, stop := context.WithTimeout(w.ctx, limit)
	defer stop()
	result := make(chan error, 1)
	go func() {
		w.Machines[name].waitWhileFrozen()
		result <- call(ctx, process)
	}()
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return apierror.New(apierror.Unreachable, "%s did not answer", name)
	}
}

func (w *World) isDecommissioned(name string) func() bool {
	return func() bool {
		var decommissioned atomic.Bool
		for _, control := range w.Names {
			if control[0] == 'c' && !decommissioned.Load() {
				_ = w.callNode(control, w.Site.Timing.CallTimeout(), func(ctx context.Context, process *node.Node) error {
					value, err := process.Operators.Client.Read(ctx, decommission.Key)
					if err != nil {
						return err
					}
					orders, err := decommission.Parse(value.Body)
					decommissioned.Store(err == nil && orders[name].Done)
					return err
				})
			}
		}
		return decommissioned.Load()
	}
}

// Transport returns the transport by which clients reach a machine.
func (w *World) Transport(name string) transport.Transport {
	return &transport.Direct{Node: w.Machines[name].services, Gate: w.Machines[name].waitWhileFrozen}
}

// ReadyTransports returns the transports of the machines that are ready, as the platform's load
// balancer selects them. It returns those of all machines when none is ready.
func (w *World) ReadyTransports() []transport.Transport {
	var transports []transport.Transport
	for _, n := range w.Names {
		m := w.Machines[n]
		m.mu.Lock()
		available := m.serving != nil && m.frozen == nil
		services := m.serving
		m.mu.Unlock()
		if available && services.API.Ready() == nil {
			transports = append(transports, w.Transport(n))
		}
	}
	if len(transports) == 0 {
		for _, n := range w.Names {
			transports = append(transports, w.Transport(n))
		}
	}
	return transports
}

// WaitReady waits until every machine present is ready to serve, for at most limit.
func (w *World) WaitReady(limit time.Duration) error {
	return w.WaitUntil(limit, "the fleet serves", func() bool {
		for _, m := range w.Machines {
			if s := m.services(); !m.isRemoved() && (s == nil || s.API.Ready() != nil) {
				return false
			}
		}
		return true
	})
}

// WaitUntil polls a condition until it is true, for at most limit.
func (w *World) WaitUntil(limit time.Duration, what string, condition func() bool) error {
	end := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(end) {
			return apierror.New(apierror.Internal, "not within %s: %s", limit, what)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

// StopSending stops the senders and waits for clients to catch up. It returns the time at which it
// stopped the senders.
func (w *World) StopSending(wait time.Duration) time.Time {
	w.stopSending()
	stoppedAt := time.Now()
	time.Sleep(wait)
	return stoppedAt
}

// Put writes a configuration through a machine and records the outcome.
func (w *World) Put(name string, document []byte) (uint64, error) {
	ctx, stop := context.WithTimeout(w.ctx, w.Site.Timing.Recovery)
	defer stop()
	end := w.History.Begin(history.WaitPut, name, time.Now())
	seq, err := w.Transport(name).Put(ctx, document)
	end(time.Now())
	if err == nil {
		var parsed configuration.Config
		_ = json.Unmarshal(document, &parsed)
		w.History.AcceptConfiguration(parsed.Base, seq, string(document), time.Now())
	}
	return seq, err
}

// Watch records three times per heartbeat interval which configuration each node serves and which
// partition leaders it knows.
func (w *World) Watch() {
	w.wg.Go(func() {
		for w.ctx.Err() == nil {
			for _, name := range w.Names {
				m := w.Machines[name]
				m.mu.Lock()
				services, run, frozen := m.serving, m.run, m.frozen != nil
				m.mu.Unlock()
				if services == nil || frozen {
					continue
				}
				records := services.API.Operators.Store
				for p := range records.VoterSet().Layout.PartitionCount() {
					for _, term := range records.Record(p).History {
						w.History.Lead(p, term.Epoch, term.Leader)
					}
				}
				if services.API.Ready() == nil {
					w.History.ObserveConfiguration(fmt.Sprintf("%s#%d", name, run), services.API.Operators.Store.Configuration().Sequence, time.Now(),
						w.Site.Timing.Spread)
				}
			}
			_ = clock.Real{}.Sleep(w.ctx, w.Site.Timing.HeartbeatInterval()/3)
		}
	})
}
