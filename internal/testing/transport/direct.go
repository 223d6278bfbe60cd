package transport

import (
	"context"
	"encoding/json"

	"postjunction/internal/apierror"
	"postjunction/internal/client"
	"postjunction/internal/httpapi"
)

// Direct reaches the services of a node in this process. Gate blocks calls while the machine is
// frozen. Node returns nil while the node is down.
type Direct struct {
	Node func() *Services
	Gate func()
}

// Services are the services of one run of a node.
type Services struct {
	Clients *client.Service
	API     *httpapi.API
	// Ended is closed when the process ends, as its connections would be.
	Ended chan struct{}
}

func (d *Direct) run(ctx context.Context, call func(services *Services) (any, error)) (any, error) {
	services := d.Node()
	if services == nil {
		return nil, apierror.New(apierror.Unreachable, "the node is down")
	}
	type result struct {
		value any
		err   error
	}
	answers := make(chan result, 1)
	go func() {
		d.Gate()
		value, err := call(services)
		d.Gate()
		answers <- result{value, err}
	}()
	select {
	case answer := <-answers:
		if d.Node() != services {
			return nil, apierror.New(apierror.Unreachable, "the node went down")
		}
		return answer.value, answer.err
	case <-services.Ended:
		return nil, apierror.New(apierror.Unreachable, "the connection was reset")
	case <-ctx.Done():
		return nil, apierror.New(apierror.Unreachable, "no answer in time")
	}
}

func (d *Direct) do(ctx context.Context, request *client.Request) (any, error) {
	return d.run(ctx, func(services *Services) (any, error) { return services.Clients.Do(ctx, request) })
}

// Attach attaches a client.
func (d *Direct) Attach(ctx context.Context, name string) (client.Attachment, error) {
	answer, err := d.do(ctx, &client.Request{Verb: client.VerbAttach, Client: name})
	attachment, _ := answer.(client.Attachment)
	return attachment, err
}

// Send sends a message on a topic.
func (d *Direct) Send(ctx context.Context, token, topic string, call uint64, body []byte) (client.Receipt, error) {
	answer, err := d.do(ctx, &client.Request{Verb: client.VerbSend, Token: token, Topics: []string{topic},
		CallSeq: call, Body: body})
	receipt, _ := answer.(client.Receipt)
	return receipt, err
}

// Follow reads a stream until it ends or handle fails.
func (d *Direct) Follow(ctx context.Context, token string, topics []string, cursor string,
	handle func(client.Event) error) error {
	streamCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	events := make(chan client.Event)
	done := make(chan error, 1)
	go func() {
		_, err := d.do(streamCtx, &client.Request{Verb: client.VerbFollow, Token: token, Topics: topics, Cursor: cursor,
			Emit: func(b []byte) error {
				var event client.Event
				if err := json.Unmarshal(b, &event); err != nil {
					return apierror.Wrap(apierror.Malformed, err, "stream line")
				}
				select {
				case events <- event:
					return nil
				case <-streamCtx.Done():
					return apierror.New(apierror.Unreachable, "the reader stopped")
				}
			}})
		done <- err
	}()
	for {
		select {
		case event := <-events:
			if err := handle(event); err != nil {
				return err
			}
		case err := <-done:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (d *Direct) sequence(ctx context.Context, call func(services *Services) (any, error)) (uint64, error) {
	answer, err := d.run(ctx, call)
	var body struct {
		Sequence uint64 `json:"sequence"`
	}
	_ = json.Unmarshal(marshal(answer), &body)
	return body.Sequence, err
}

// Put submits a configuration and returns its sequence.
func (d *Direct) Put(ctx context.Context, document []byte) (uint64, error) {
	return d.sequence(ctx, func(services *Services) (any, error) { return services.API.Operators.Put(ctx, document) })
}

// Get reads back the sequence of the configuration.
func (d *Direct) Get(ctx context.Context) (uint64, error) {
	return d.sequence(ctx,
		func(services *Services) (any, error) { return services.API.Operators.ReadConfiguration(ctx) })
}

// ShownConfiguration returns the sequence of the configuration that the node shows, and whether the
// node serves.
func (d *Direct) ShownConfiguration(ctx context.Context) (uint64, bool, error) {
	services := d.Node()
	if services == nil {
		return 0, false, apierror.New(apierror.Unreachable, "the node is down")
	}
	ready := services.API.Ready() == nil
	return services.API.Operators.Store.Configuration().Sequence, ready, nil
}
