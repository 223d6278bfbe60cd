package operator

import (
	"cmp"
	"context"
	"slices"
	"strings"

	"postjunction/internal/apierror"
	"postjunction/internal/quorum"
	"postjunction/internal/usage"
)

// Usage returns the usage of every topic, as rows under "usage". It asks the leaders of all
// partitions and fails with code NoPartitionLeader unless all of them answer.
func (s *Service) Usage(ctx context.Context) (any, error) {
	ctx, cancel := s.withDeadline(ctx)
	defer cancel()
	partitions := s.partitions()
	results := quorum.Gather(ctx, partitions, s.TopicUsage, nil)
	if err := quorum.FirstError(results); err != nil || len(results) < len(partitions) {
		return nil, apierror.WithCause(apierror.NoPartitionLeader, err, "usage of all partitions")
	}
	rows := []usage.Row{}
	for _, result := range results {
		for _, topic := range result.Value {
			space, name := s.splitTopic(topic.Topic)
			rows = append(rows, usage.Row{
				Space:      space,
				Topic:      name,
				Partition:  int32(result.Target),
				Messages:   int64(topic.Messages),
				Senders:    int32(topic.Senders),
				LastOffset: int64(topic.Offset),
			})
		}
	}
	slices.SortFunc(rows, func(a, b usage.Row) int {
		return cmp.Or(strings.Compare(a.Space, b.Space), strings.Compare(a.Topic, b.Topic))
	})
	return map[string]any{"usage": rows}, nil
}

// splitTopic splits the full name of a topic into its space and the rest. For a topic by prefix,
// and for one without a space, the rest is the full name.
func (s *Service) splitTopic(topic string) (space, rest string) {
	found, err := s.Store.Index().Find(topic)
	if err == nil && found.ByPrefix() {
		return found.Name, topic
	}
	space, rest, ok := strings.Cut(topic, "/")
	if !ok {
		return "", topic
	}
	return space, rest
}
