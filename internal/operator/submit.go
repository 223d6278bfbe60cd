package operator

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"net/http"

	"postjunction/internal/apierror"
	"postjunction/internal/configuration"
	"postjunction/internal/control/registerclient"
	"postjunction/internal/wire"
)

// Submit is the call that forwards a document to a control node.
var Submit = wire.NewProcedure[SubmitRequest, SubmitResponse]("Operator", "Submit", wire.Deduplicated,
	"the order names its base and has a digest; the register remembers accepted orders")

// Parser parses an operator's own document as a configuration that builds on base.
type Parser = func(document []byte, base uint64) (configuration.Config, error)

// SubmitRequest forwards an operator's own document, compressed with deflate. ChangeID is the
// change's ID for older builds, which treat a change without an ID as a repeat. This build derives
// the ID from the order.
type SubmitRequest struct {
	Base     uint64 `json:"b"`
	ChangeID string `json:"n"`
	Doc      []byte `json:"d"`
}

// SubmitResponse is the response to an accepted document.
type SubmitResponse struct{}

// SetParser sets the Parser for the documents that other nodes forward to this one.
func (s *Service) SetParser(parser Parser) { s.parser.Store(&parser) }

// Submit replaces the configuration with an operator's own document, which parse reads. It
// continues for the time of an operator's call after ctx has ended, since an order whose outcome is
// unknown helps no one. A node without a control disk forwards the document to a control node,
// since processing it takes a hundred times the work of a message, and memory of several times the
// document's size. If the control node doesn't answer, this node makes the change itself. The
// change has the same ID at every node, so it is made only once. Submit fails like Replace.
func (s *Service) Submit(ctx context.Context, document []byte, base uint64, parse Parser) error {
	ctx, cancel := s.withDeadline(context.WithoutCancel(ctx))
	defer cancel()
	uncertain, err := s.forward(ctx, document, base)
	if err == nil || rejectedCodes[apierror.From(err).Code] {
		return err
	}
	return s.parseAndReplace(ctx, document, base, uncertain, parse)
}

// rejectedCodes are the codes after which the control node certainly changed nothing and never
// will, and for which any other control node would reject the document too.
var rejectedCodes = map[apierror.Code]bool{
	apierror.ConfigurationConflict: true,
	apierror.ConfigurationInvalid:  true,
	apierror.Malformed:             true,
	apierror.Oversize:              true,
}

// forward sends a document to a control node. uncertain is true if the control node may have
// accepted it although no response arrived.
func (s *Service) forward(ctx context.Context, document []byte, base uint64) (uncertain bool, err error) {
	deflated, err := deflate(document)
	if err != nil {
		return false, err
	}
	request := &SubmitRequest{Base: base, ChangeID: registerclient.NewChangeID(), Doc: deflated}
	sent, err := registerclient.ForwardOnce(ctx, s.Client, Submit, request)
	return sent && !apierror.HasCode(err, apierror.NotReady), err
}

func (s *Service) parseAndReplace(
	ctx context.Context, document []byte, base uint64, uncertain bool, parse Parser,
) error {
	config, err := parse(document, base)
	if err != nil {
		return err
	}
	_, err = s.logOutcome(s.replace(ctx, config.Normalized(), uncertain))
	return err
}

// Serve adds the Submit call to mux.
func (s *Service) Serve(mux *http.ServeMux) {
	Submit.Handle(mux, s.handleSubmit)
}

// handleSubmit processes a document that another node forwarded.
func (s *Service) handleSubmit(ctx context.Context, request *SubmitRequest) (*SubmitResponse, error) {
	parse := s.parser.Load()
	if parse == nil {
		return nil, apierror.New(apierror.NotReady, "this node doesn't accept documents")
	}
	document, err := inflate(request.Doc)
	if err != nil {
		return nil, err
	}
	ctx, cancel := s.withDeadline(context.WithoutCancel(ctx))
	defer cancel()
	if err := s.parseAndReplace(ctx, document, request.Base, false, *parse); err != nil {
		return nil, err
	}
	return &SubmitResponse{}, nil
}

func deflate(document []byte) ([]byte, error) {
	var deflated bytes.Buffer
	writer, err := flate.NewWriter(&deflated, flate.BestSpeed)
	if err != nil {
		return nil, apierror.Wrap(apierror.Internal, err, "compress a document")
	}
	if _, err = writer.Write(document); err == nil {
		err = writer.Close()
	}
	return deflated.Bytes(), apierror.Wrap(apierror.Internal, err, "compress a document")
}

// inflate decompresses a document. It fails with code Malformed, or with Oversize if the document
// is larger than the limit for documents.
func inflate(deflated []byte) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(deflated))
	document, err := io.ReadAll(io.LimitReader(reader, configuration.MaxBytes+1))
	switch {
	case err != nil:
		return nil, apierror.WithCause(apierror.Malformed, err, "the document can't be decompressed")
	case len(document) > configuration.MaxBytes:
		return nil, apierror.New(apierror.Oversize, "the document has more than %d bytes", configuration.MaxBytes)
	}
	return document, nil
}
