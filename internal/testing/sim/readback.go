package sim

import (
	"context"
	"errors"
	"fmt"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/client"
	"postjunction/internal/testing/history"
)

// Archive is a cursor into all kept topics, taken at a moment.
type Archive struct {
	Cursor string
	Since  time.Time
	Topics []string
}

type enoughRead struct{}

// Error says that a reader has all that it wanted.
func (enoughRead) Error() string { return "enough was read" }

var errEnough error = enoughRead{}

func (w *World) followAsNew(name string, topics []string, cursor string, through string, limit time.Duration,
	f func(client.Event) error) error {
	end := time.Now().Add(limit)
	err := error(apierror.New(apierror.Unreachable, "%s was not tried", through))
	for time.Now().Before(end) {
		ctx, stop := context.WithDeadline(w.ctx, end)
		var a client.Attachment
		if a, err = w.Port(through).Attach(ctx, name); err == nil {
			err = w.Port(through).Follow(ctx, a.Token, topics, cursor, f)
		}
		stop()
		if err == nil || errors.Is(err, errEnough) {
			return err
		}
		time.Sleep(w.Site.Timing.MaxBackoff())
	}
	return err
}

// Archive takes a cursor into all kept topics now, for reading back after the last fault.
func (w *World) Archive(l Load) (Archive, error) {
	a := Archive{Since: time.Now()}
	for i := range l.Topics {
		a.Topics = append(a.Topics, fmt.Sprintf("kept/t%d", i))
	}
	a.Topics = append(a.Topics, "stop/line")
	through := "c2"
	if w.Machines[through].isGone() {
		through = "c3"
	}
	err := w.followAsNew("archivist", a.Topics, "", through, w.Site.Timing.Recovery, func(x client.Event) error {
		a.Cursor, a.Since = x.Cursor, time.Now()
		return errEnough
	})
	if errors.Is(err, errEnough) {
		return a, nil
	}
	if err == nil {
		err = apierror.New(apierror.Unreachable, "no cursor was given")
	}
	return a, err
}

// ReadBack reads everything after the archive's cursor back through a node, as a subscriber that
// was never here.
func (w *World) ReadBack(a Archive, through string) error {
	r := history.Reading{Through: through, Topics: map[string]bool{}, Since: a.Since}
	for _, t := range a.Topics {
		r.Topics[t] = true
	}
	quiet := time.Now()
	var why error
	cursor := a.Cursor
	for begun := time.Now(); time.Since(begun) < w.Site.Timing.Recovery+w.Site.Timing.Spread; {
		err := w.followAsNew(fmt.Sprintf("reader-%s-%d", through, len(r.Got)), a.Topics, cursor, through,
			w.Site.Timing.Spread, func(l client.Event) error {
				if l.Cursor != "" {
					cursor = l.Cursor
				}
				if l.Topic == "" {
					if l.End != nil || time.Since(quiet) < w.Site.Timing.Spread {
						return nil
					}
					return errEnough
				}
				quiet = time.Now()
				r.Got = append(r.Got, history.Receipt{Message: history.Message{Topic: l.Topic, From: l.From,
					Call: l.CallSeq}, Body: string(l.Body), Partition: *l.Partition, Offset: l.Offset, At: time.Now()})
				return nil
			})
		if errors.Is(err, errEnough) {
			break
		}
		why = err
		if apierror.HasCode(err, apierror.CursorExpired) || apierror.HasCode(err, apierror.CursorMalformed) {
			return err
		}
	}
	if len(r.Got) == 0 {
		return apierror.WithCause(apierror.Unreachable, why, "nothing was read back through %s", through)
	}
	w.History.ReadMessages(r)
	return nil
}
