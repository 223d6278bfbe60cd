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

// Reader reads an operator's own document as a description that builds on base.
type Reader = func(doc []byte, base uint64) (configuration.Config, error)

// SubmitRequest hands an operator's own document over to a control node, deflated. By is the change's name for older
// builds, which take a change without one for a repeat; in this build the name follows from the order itself.
type SubmitRequest struct {
	Base     uint64 `json:"b"`
	ChangeID string `json:"n"`
	Doc      []byte `json:"d"`
}

// SubmitResponse is the answer to an accepted document.
type SubmitResponse struct{}

// Submit is the call that hands a document over.
var Submit = wire.NewProcedure[SubmitRequest, SubmitResponse]("Operator", "Submit", wire.Deduplicated, "the order names its base and has a digest; the register remembers accepted orders")

// Read sets how this node reads the documents that other nodes hand over.
func (s *Service) Read(r Reader) { s.reader.Store(&r) }

// Submit takes an operator's own document, read with the Reader, and goes on for the time of a call when the asker has gone, since a
// description half taken helps nobody. A node without a control disk has a control node do it, as it takes a hundred times the work of a
// message and several times the document's bytes; where that doesn't answer it goes on itself: the change has the same name wherever it is
// made, so it is made once.
func (s *Service) Submit(ctx context.Context, doc []byte, base uint64, read Reader) error {
	ctx, stop := s.limit(context.WithoutCancel(ctx))
	defer stop()
	doubt, err := s.forward(ctx, doc, base)
	if err == nil || final[apierror.From(err).Code] {
		return err
	}
	return s.take(ctx, doc, base, doubt, read)
}

// final problems are those after which a control node surely did nothing, nor will, and no other would.
var final = map[apierror.Code]bool{apierror.ConfigurationConflict: true, apierror.ConfigurationInvalid: true, apierror.Malformed: true, apierror.Oversize: true}

func (s *Service) forward(ctx context.Context, doc []byte, base uint64) (doubt bool, err error) {
	b, err := deflate(doc)
	if err != nil {
		return false, err
	}
	sent, err := registerclient.ForwardOnce(ctx, s.Client, Submit, &SubmitRequest{Base: base, ChangeID: registerclient.NewChangeID(), Doc: b})
	return sent && !apierror.HasCode(err, apierror.NotReady), err
}

func (s *Service) take(ctx context.Context, doc []byte, base uint64, doubt bool, read Reader) error {
	d, err := read(doc, base)
	if err != nil {
		return err
	}
	_, err = s.report(s.replace(ctx, d.Normalized(), doubt))
	return err
}

// Serve adds the call that hands a document over.
func (s *Service) Serve(m *http.ServeMux) {
	Submit.Handle(m, func(ctx context.Context, q *SubmitRequest) (*SubmitResponse, error) {
		read := s.reader.Load()
		if read == nil {
			return nil, apierror.New(apierror.NotReady, "this node reads no documents")
		}
		doc, err := inflate(q.Doc)
		if err != nil {
			return nil, err
		}
		ctx, stop := s.limit(context.WithoutCancel(ctx))
		defer stop()
		if err := s.take(ctx, doc, q.Base, false, *read); err != nil {
			return nil, err
		}
		return &SubmitResponse{}, nil
	})
}

func deflate(b []byte) ([]byte, error) {
	var w bytes.Buffer
	f, err := flate.NewWriter(&w, flate.BestSpeed)
	if err != nil {
		return nil, apierror.Wrap(apierror.Internal, err, "pack a document")
	}
	if _, err = f.Write(b); err == nil {
		err = f.Close()
	}
	return w.Bytes(), apierror.Wrap(apierror.Internal, err, "pack a document")
}

func inflate(b []byte) ([]byte, error) {
	doc, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), configuration.MaxBytes+1))
	switch {
	case err != nil:
		return nil, apierror.WithCause(apierror.Malformed, err, "the document can't be unpacked")
	case len(doc) > configuration.MaxBytes:
		return nil, apierror.New(apierror.Oversize, "the document has more than %d bytes", configuration.MaxBytes)
	}
	return doc, nil
}
