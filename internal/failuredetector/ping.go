package failuredetector

import (
	"context"
	"slices"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/quorum"
	"postjunction/internal/wire"
)

// ping pings a target, and a second time after a short delay if its port refused the first call.
func (d *Detector) ping(ctx context.Context, node string, target *target, addr string) {
	for isRetry := false; ; isRetry = true {
		callCtx, cancel := context.WithTimeout(ctx, d.Timing.FailureTimeout())
		start := d.Clock.Now()
		_, err := Ping.Call(callCtx, d.Net, d.Self, addr, &PingRequest{})
		cancel()
		latency := d.Clock.Now().Sub(start)
		if !d.recordPing(ctx, node, target, pingResult{latency: latency, err: err, isRetry: isRetry}) {
			return
		}
		if d.Clock.Sleep(ctx, d.Timing.RefusalRetryDelay()) != nil {
			return
		}
	}
}

type pingResult struct {
	latency time.Duration
	err     error
	isRetry bool
}

// recordPing records the result of a ping, and reports whether to retry it.
func (d *Detector) recordPing(ctx context.Context, node string, target *target, result pingResult) (shouldRetry bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if result.err != nil && wire.RefusedOrReset(result.err) && ctx.Err() == nil {
		if result.isRetry || target.refused == 0 {
			target.refused++
		}
		if target.refused >= maxRefusals {
			d.markFailed(ctx, node, target, Refused)
		} else if !result.isRetry {
			return true
		}
	}
	target.pingsInFlight--
	if wire.PeerResponded(result.err) {
		target.missed, target.refused, target.failure = 0, 0, ""
		decayed := target.latency - target.latency/latencyDecayDivisor
		target.latency = max(result.latency, decayed)
	}
	return false
}

// queryPeers asks the other replicas whether they get answers from a target that doesn't answer
// here. The target counts as failed if some of them respond and none gets answers from it.
func (d *Detector) queryPeers(ctx context.Context, node string, target *target, peers []string) {
	callCtx, cancel := context.WithTimeout(ctx, d.Timing.HedgeDelay())
	defer cancel()
	results := quorum.Gather(callCtx, peers, func(ctx context.Context, peer string) (bool, error) {
		addr, ok := d.Addr(peer)
		if !ok {
			return false, apierror.New(apierror.Unreachable, "the address of %s is not known", peer)
		}
		response, err := Query.Call(ctx, d.Net, d.Self, addr, &QueryRequest{Node: node})
		return err == nil && response.Heard, err
	}, isHeardByAny)
	d.mu.Lock()
	defer d.mu.Unlock()
	target.isQuerying = false
	if !isHeardByAny(results) && len(quorum.Successes(results)) > 0 && target.missed > 0 {
		d.markFailed(ctx, node, target, Silent)
	}
}

func isHeardByAny(results []quorum.Result[string, bool]) bool {
	return slices.ContainsFunc(quorum.Successes(results), func(result quorum.Result[string, bool]) bool {
		return result.Value
	})
}
