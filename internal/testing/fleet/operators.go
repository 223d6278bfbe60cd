package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/settings"
	"postjunction/internal/testing/history"
)

// putFirstConfiguration submits the first configuration. While its outcome is unknown, it submits
// the same one again, which is idempotent.
func (d *Day) putFirstConfiguration(ctx context.Context, fleet *Fleet) (uint64, error) {
	end := time.Now().Add(settings.DefaultTiming.Recovery)
	for {
		sequence, err := fleet.Processes[0].Transport().Put(ctx, d.Load.Configuration(0))
		if err == nil || time.Now().After(end) || !apierror.HasCode(err, apierror.OutcomeUnknown) {
			return sequence, err
		}
	}
}

// operate submits configurations as an operator does, each based on the one that it reads back.
func (d *Day) operate(ctx context.Context, fleet *Fleet, record *history.History, sequence uint64) {
	rng := rand.New(rand.NewPCG(d.Seed, 4))
	for {
		wait(ctx, 7*time.Second)
		if ctx.Err() != nil {
			return
		}
		transports := fleet.Transports("")
		callCtx, cancel := context.WithTimeout(ctx, settings.DefaultTiming.Recovery)
		requestedAt := time.Now()
		current, err := transports[rng.IntN(len(transports))].Get(callCtx)
		if err == nil {
			record.ReadConfiguration(current, requestedAt)
			document := d.Load.NumberedConfiguration(current, current+1+rng.Uint64N(9), "")
			acceptedSequence, putErr := transports[rng.IntN(len(transports))].Put(callCtx, document)
			if putErr == nil {
				record.AcceptConfiguration(current, acceptedSequence, string(document), time.Now())
			} else if apierror.HasCode(putErr, apierror.ConfigurationInvalid) {
				record.Violate(history.Invalid, "a valid configuration was rejected: %v", putErr)
			}
		}
		cancel()
	}
}

// watchConfiguration records which configuration a machine shows while it serves.
func watchConfiguration(ctx context.Context, process *Process, record *history.History, bound time.Duration) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		requestedAt := time.Now()
		process.mu.Lock()
		run := fmt.Sprintf("%s#%d", process.Name, process.runs)
		process.mu.Unlock()
		sequence, serves, err := process.Transport().ShownConfiguration(callCtx)
		cancel()
		if err == nil && serves {
			record.ObserveConfiguration(run, sequence, requestedAt, bound)
		}
		wait(ctx, 500*time.Millisecond)
	}
}
