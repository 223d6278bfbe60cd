package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"postjunction/internal/apierror"
	"postjunction/internal/rawjson"
)

// post posts a document and prints the response.
func post(ctx context.Context, streams Streams, opts *options, path string, document any) error {
	body, err := rawjson.Marshal(document)
	if err != nil {
		return apierror.Wrap(apierror.Malformed, err, "the body is not a JSON value")
	}
	return call(ctx, streams, opts, http.MethodPost, path, body)
}

// call makes a call and prints the response, indented if it is JSON.
func call(ctx context.Context, streams Streams, opts *options, method, path string, body []byte) error {
	response, err := sendRequest(ctx, opts, method, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return apierror.Wrap(apierror.Unreachable, err, "the response is incomplete")
	}
	if response.StatusCode != http.StatusOK {
		return rejection(response, content)
	}
	var out bytes.Buffer
	if json.Indent(&out, bytes.TrimSpace(content), "", "  ") != nil {
		out.Reset()
		out.Write(content)
	}
	out.WriteByte('\n')
	_, err = out.WriteTo(streams.Out)
	return apierror.Wrap(apierror.Usage, err, "write the response")
}

func sendRequest(ctx context.Context, opts *options, method, path string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+opts.addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, apierror.Wrap(apierror.Usage, err, "address %s", opts.addr)
	}
	if opts.token != "" {
		request.Header.Set("Authorization", "Bearer "+opts.token)
	}
	response, err := http.DefaultClient.Do(request)
	return response, apierror.Wrap(apierror.Unreachable, err, "node at %s", opts.addr)
}

// rejection returns the error that a response describes.
func rejection(response *http.Response, content []byte) error {
	var problem struct {
		Code         apierror.Code    `json:"code"`
		Message      string           `json:"say"`
		Advice       string           `json:"advice"`
		Faults       []apierror.Fault `json:"faults"`
		RetryAfterMS int64            `json:"retry_after_ms"`
	}
	if json.Unmarshal(content, &problem) != nil || problem.Code == "" {
		return apierror.New(apierror.Internal, "the node answered %s", response.Status)
	}
	message := problem.Message
	for _, fault := range problem.Faults {
		message += "\n  " + fault.Path + ": " + fault.Message
	}
	rejected := apierror.New(problem.Code, "%s\n%s", message, problem.Advice)
	rejected.RetryAfterMS = problem.RetryAfterMS
	return rejected
}
