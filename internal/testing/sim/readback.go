package sim

import (
	"context"
	"errors"
	"fmt"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/client"
	"postjunction/internal/settings"
	"postjunction/internal/testing/history"
)

// SavedCursor is a cursor into its topics, and the time at which it was saved.
type SavedCursor struct {
	Cursor string
	Since  time.Time
	Topics []string
}

type enoughRead struct{}

// Error says that a reader has read enough.
func (enoughRead) Error() string { return "enough was read" }

var errEnough error = enoughRead{}

func (w *World) followAsNewClient(name string, topics []string, cursor string, through string, limit time.Duration,
	onEvent func(client.Event) error) error {
	end := time.Now().Add(limit)
	err := error(apierror.New(apierror.Unreachable, "%s was not tried", through))
	for time.Now().Before(end) {
		ctx, stop := context.WithDeadline(w.ctx, end)
		var attachment client.Attachment
		if attachment, err = w.Transport(through).Attach(ctx, name); err == nil {
			err = w.Transport(through).Follow(ctx, attachment.Token, topics, cursor, onEvent)
		}
		stop()
		if err == nil || errors.Is(err, errEnough) {
			return err
		}
		time.Sleep(w.Site.Timing.MaxBackoff())
	}
	return err
}

// SaveCursor gets a cursor into all kept topics now, from which they are read back after the final
// fault.
func (w *World) SaveCursor(load Load) (SavedCursor, error) {
	saved := SavedCursor{Since: time.Now()}
	for i := range load.Topics {
		saved.Topics = append(saved.Topics, fmt.Sprintf("kept/t%d", i))
	}
	saved.Topics = append(saved.Topics, "stop/line")
	through := "c2"
	if w.Machines[through].isRemoved() {
		controlNodes := w.presentOf(settings.DiskControl)
		through = controlNodes[len(controlNodes)-1]
	}
	err := w.followAsNewClient("archivist", saved.Topics, "", through, w.Site.Timing.Recovery,
		func(event client.Event) error {
			saved.Cursor, saved.Since = event.Cursor, time.Now()
			return errEnough
		})
	if errors.Is(err, errEnough) {
		return saved, nil
	}
	if err == nil {
		err = apierror.New(apierror.Unreachable, "no cursor was given")
	}
	return saved, err
}

// ReadBackTopics reads everything after a saved cursor through a node, as a new subscriber.
func (w *World) ReadBackTopics(saved SavedCursor, through string) error {
	reading := history.Reading{Through: through, Topics: map[string]bool{}, Since: saved.Since}
	for _, t := range saved.Topics {
		reading.Topics[t] = true
	}
	lastMessage := time.Now()
	var lastErr error
	cursor := saved.Cursor
	for begun := time.Now(); time.Since(begun) < w.Site.Timing.Recovery+w.Site.Timing.Spread; {
		err := w.followAsNewClient(fmt.Sprintf("reader-%s-%d", through, len(reading.Got)), saved.Topics, cursor, through,
			w.Site.Timing.Spread, func(event client.Event) error {
				if event.Cursor != "" {
					cursor = event.Cursor
				}
				if event.Topic == "" {
					if event.End != nil || time.Since(lastMessage) < w.Site.Timing.Spread {
						return nil
					}
					return errEnough
				}
				lastMessage = time.Now()
				reading.Got = append(reading.Got, history.Receipt{Message: history.Message{Topic: event.Topic, From: event.From,
					Call: event.CallSeq}, Body: string(event.Body), Partition: *event.Partition, Offset: event.Offset, At: time.Now()})
				return nil
			})
		if errors.Is(err, errEnough) {
			break
		}
		lastErr = err
		if apierror.HasCode(err, apierror.CursorExpired) || apierror.HasCode(err, apierror.CursorMalformed) {
			return err
		}
	}
	if len(reading.Got) == 0 {
		return apierror.WithCause(apierror.Unreachable, lastErr, "nothing was read back through %s", through)
	}
	w.History.ReadMessages(reading)
	return nil
}
