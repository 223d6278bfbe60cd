// Package transport lets simulated clients and operators reach a node, over HTTP or by direct calls
// into a simulated one.
package transport

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"postjunction/internal/apierror"
	"postjunction/internal/client"
	"postjunction/internal/rawjson"
)

// Transport is one node as clients and operators reach it.
type Transport interface {
	Attach(ctx context.Context, name string) (client.Attachment, error)
	Send(ctx context.Context, token, topic string, call uint64, body []byte) (client.Receipt, error)
	Follow(ctx context.Context, token string, topics []string, cursor string, handle func(client.Event) error) error
	Put(ctx context.Context, doc []byte) (uint64, error)
	Get(ctx context.Context) (uint64, error)
	ShownConfiguration(ctx context.Context) (seq uint64, ready bool, err error)
}

// HTTP reaches a node at its HTTP address for clients.
type HTTP struct {
	Base   string
	Client *http.Client
}

func (h *HTTP) call(ctx context.Context, method, path, token string, document []byte, out any) error {
	request, err := http.NewRequestWithContext(ctx, method, h.Base+path, bytes.NewReader(document))
	if err != nil {
		return apierror.Wrap(apierror.Usage, err, "%s", path)
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := h.Client.Do(request)
	if err != nil {
		return apierror.Wrap(apierror.Unreachable, err, "%s", path)
	}
	defer func() { _ = response.Body.Close() }()
	b, err := io.ReadAll(response.Body)
	if err != nil {
		return apierror.Wrap(apierror.Unreachable, err, "%s", path)
	}
	if response.StatusCode != http.StatusOK {
		return parseError(response.StatusCode, b)
	}
	return apierror.Wrap(apierror.Malformed, json.Unmarshal(b, out), "%s", path)
}

func parseError(code int, b []byte) error {
	problem := &apierror.Error{}
	if json.Unmarshal(b, problem) != nil || !apierror.IsKnown(problem.Code) {
		return apierror.New(apierror.Internal, "status %d without an error body: %.80s", code, b)
	}
	return problem
}

func marshal(value any) []byte {
	b, _ := rawjson.Marshal(value)
	return b
}

// Attach attaches a client.
func (h *HTTP) Attach(ctx context.Context, name string) (attachment client.Attachment, err error) {
	return attachment, h.call(ctx, http.MethodPost, "/v1/attach", "", marshal(map[string]string{"visitor": name}),
		&attachment)
}

// Send sends a message on a topic.
func (h *HTTP) Send(ctx context.Context, token, topic string, call uint64, body []byte) (receipt client.Receipt,
	err error) {
	return receipt, h.call(ctx, http.MethodPost, "/v1/send", token,
		marshal(map[string]any{"topic": topic, "call_seq": call, "body": json.RawMessage(body)}), &receipt)
}

// Put submits a configuration and returns its sequence.
func (h *HTTP) Put(ctx context.Context, document []byte) (uint64, error) {
	var answer struct {
		Sequence uint64 `json:"sequence"`
	}
	err := h.call(ctx, http.MethodPut, "/v1/description", "", document, &answer)
	return answer.Sequence, err
}

// Get reads back the sequence of the configuration.
func (h *HTTP) Get(ctx context.Context) (uint64, error) {
	var answer struct {
		Sequence uint64 `json:"sequence"`
	}
	err := h.call(ctx, http.MethodGet, "/v1/description", "", nil, &answer)
	return answer.Sequence, err
}

// ShownConfiguration returns the sequence of the configuration that the node shows, and whether the
// node serves.
func (h *HTTP) ShownConfiguration(ctx context.Context) (uint64, bool, error) {
	var answer struct {
		Configuration uint64 `json:"description"`
		Leased        bool   `json:"licensed"`
	}
	err := h.call(ctx, http.MethodGet, "/v1/status", "", nil, &answer)
	return answer.Configuration, answer.Leased, err
}

const maxLineBytes = 4 << 20

// Follow reads a stream until it ends or handle fails.
func (h *HTTP) Follow(ctx context.Context, token string, topics []string, cursor string,
	handle func(client.Event) error) error {
	query := url.Values{"topic": topics}
	if cursor != "" {
		query.Set("cursor", cursor)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, h.Base+"/v1/stream?"+query.Encode(), nil)
	if err != nil {
		return apierror.Wrap(apierror.Usage, err, "stream")
	}
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := h.Client.Do(request)
	if err != nil {
		return apierror.Wrap(apierror.Unreachable, err, "stream")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(response.Body)
		return parseError(response.StatusCode, b)
	}
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		var event client.Event
		if err := json.Unmarshal(scanner.Bytes(), &event); err != nil {
			return apierror.Wrap(apierror.Malformed, err, "stream line")
		}
		if err := handle(event); err != nil {
			return err
		}
	}
	return apierror.Wrap(apierror.Unreachable, scanner.Err(), "stream")
}
