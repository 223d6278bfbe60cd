package client

import (
	"bytes"
	"context"
	"encoding/json"
	"regexp"

	"postjunction/internal/apierror"
	"postjunction/internal/client/token"
	"postjunction/internal/configuration"
	"postjunction/internal/delivery/cursor"
	"postjunction/internal/partition"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/partitionlog/router"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

func (s *Service) attach(ctx context.Context, request *Request) error {
	if !namePattern.MatchString(request.Client) {
		return apierror.New(
			apierror.Malformed, "visitor must be 1 to 63 of letters, digits, ., _ and -, is %q",
			request.Client,
		)
	}
	secret := token.NewSecret()
	attachment, err := s.Router.Attach(ctx, &router.AttachRequest{Client: request.Client, Secret: token.Digest(secret)})
	if err != nil {
		return err
	}
	request.response = Attachment{
		Token:      token.Token{Client: request.Client, Generation: attachment.Generation, Secret: secret}.Encode(),
		Client:     request.Client,
		Generation: attachment.Generation,
		Cursor:     attachment.SavedCursor.Cursor,
	}
	return nil
}

func (s *Service) send(ctx context.Context, request *Request) error {
	var body bytes.Buffer
	if err := json.Compact(&body, request.Body); err != nil {
		return apierror.Wrap(apierror.Malformed, err, "body is not a JSON value")
	}
	if body.Len() > s.BodyLimit {
		return apierror.New(apierror.Oversize, "the body has %d bytes, the limit is %d", body.Len(), s.BodyLimit)
	}
	decision, err := s.submit(ctx, request, &leader.Message{Body: body.Bytes()})
	if err != nil {
		return err
	}
	request.response = Receipt{
		Topic:     request.Topics[0],
		CallSeq:   request.CallSeq,
		Partition: decision.Partition,
		Offset:    decision.Offset,
		Duplicate: decision.Duplicate,
	}
	return nil
}

// submit sends a message or a withdrawal to the partition's leader and returns the decision.
func (s *Service) submit(ctx context.Context, request *Request, message *leader.Message) (*leader.Decision, error) {
	if request.Key != nil {
		if err := log.CheckName("key", *request.Key); err != nil {
			return nil, err
		}
		if err := s.Router.CheckKeysSupported(); err != nil {
			return nil, err
		}
		message.Key = *request.Key
	}
	space := request.spaces[0]
	message.Client, message.Generation = request.Client, request.identity.Generation
	message.Topic, message.CallSeq = request.Topics[0], request.CallSeq
	message.Live, message.Configuration = space.Kind == configuration.KindLive, s.Store.Index().Sequence
	return s.Router.Submit(ctx, partition.Of(message.Topic, space.Urgent, s.Store.VoterSet().Layout), message)
}

func (s *Service) ack(ctx context.Context, request *Request) error {
	voterSet := s.Store.VoterSet()
	if _, err := cursor.Decode(voterSet.Fleet, voterSet.Layout.PartitionCount(), request.Cursor); err != nil {
		return err
	}
	if err := s.Router.SaveCursor(
		ctx,
		&router.SaveCursorRequest{
			Client:     request.Client,
			Generation: request.identity.Generation,
			Cursor:     request.Cursor,
		},
	); err != nil {
		return err
	}
	request.response = CursorSaved{Cursor: request.Cursor}
	return nil
}

func (s *Service) count(ctx context.Context, request *Request) error {
	count, complete := s.Presence.CountOthers(ctx, request.Topics[0], request.Client)
	request.response = PresenceCount{Topic: request.Topics[0], Others: count, Complete: complete}
	return nil
}
