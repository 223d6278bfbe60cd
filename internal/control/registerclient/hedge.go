package registerclient

import (
	"context"

	"postjunction/internal/apierror"
)

// maxPending is how many control nodes are called at the same time at most.
const maxPending = 3

type response[Value any] struct {
	value Value
	err   error
	from  string
}

// hedge calls control nodes until one succeeds or onError returns true. The next node is called
// immediately after an error, and also if no pending call has returned for a hedge delay. onError
// is called with each error and the number of other pending calls.
func hedge[Value any](
	ctx context.Context,
	c *Client,
	call func(ctx context.Context, addr string) (Value, error),
	onError func(err error, pending int) (stop bool),
) (value Value, ok bool) {
	nodes := c.controlNodes()
	callsCtx, stopCalls := context.WithCancel(ctx)
	defer stopCalls()
	responses := make(chan response[Value], len(nodes))
	next, pending := 0, 0
	askNext := func() {
		if next == len(nodes) || pending == maxPending {
			return
		}
		node := nodes[next]
		next++
		pending++
		go func() {
			ctx, stop := context.WithTimeout(callsCtx, c.timing.CallTimeout())
			defer stop()
			value, err := call(ctx, node.PeerAddr)
			responses <- response[Value]{value, err, node.Name}
		}()
	}
	askNext()
	for pending > 0 {
		delay, stopDelay := context.WithTimeout(callsCtx, c.timing.HedgeDelay())
		select {
		case answered := <-responses:
			stopDelay()
			pending--
			if answered.err == nil {
				c.setLastResponder(answered.from)
				return answered.value, true
			}
			if onError(answered.err, pending) {
				return value, false
			}
		case <-delay.Done():
			stopDelay()
			if ctx.Err() != nil {
				timeout := apierror.WithCause(apierror.Unreachable, ctx.Err(), "no control node answered in time")
				onError(timeout, pending)
				return value, false
			}
		}
		askNext()
	}
	return value, false
}
