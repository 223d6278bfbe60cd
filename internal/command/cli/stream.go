package cli

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"net/url"
	"strings"

	"postjunction/internal/apierror"
)

// maxStreamLine is the maximum length of a line of a stream, in bytes.
const maxStreamLine = 4 << 20

func followFlags(flags *flag.FlagSet, opts *options) {
	tokenFlag(flags, opts)
	flags.StringVar(&opts.topic, "topic", "", "`topics`, with commas between")
	flags.StringVar(&opts.cursor, "cursor", "", "`cursor` to resume from")
	flags.IntVar(&opts.count, "messages", 0, "`number` of messages to stop after, 0 for none")
}

// follow prints the lines of a stream until the stream ends or enough messages were printed.
func follow(ctx context.Context, streams Streams, opts *options, _ []string) error {
	query := url.Values{"topic": strings.Split(opts.topic, ",")}
	if opts.cursor != "" {
		query.Set("cursor", opts.cursor)
	}
	response, err := sendRequest(ctx, opts, http.MethodGet, "/v1/stream?"+query.Encode(), nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		content, _ := io.ReadAll(response.Body)
		return rejection(response, content)
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxStreamLine)
	for messages := 0; lines.Scan(); {
		if _, err := streams.Out.Write(append(lines.Bytes(), '\n')); err != nil {
			return apierror.Wrap(apierror.Usage, err, "write a line")
		}
		if isMessage(lines.Bytes()) {
			messages++
		}
		if opts.count > 0 && messages >= opts.count {
			return nil
		}
	}
	return apierror.Wrap(apierror.Unreachable, lines.Err(), "the stream broke")
}

// isMessage reports whether a line of a stream is a message that is not withdrawn.
func isMessage(line []byte) bool {
	var event struct {
		Topic     string `json:"topic"`
		Withdrawn string `json:"withdrawn"`
	}
	return json.Unmarshal(line, &event) == nil && event.Topic != "" && event.Withdrawn == ""
}
