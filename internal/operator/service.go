package operator

import (
	"context"
	"sync/atomic"

	"postjunction/internal/client/rejections"
	"postjunction/internal/clock"
	"postjunction/internal/control/registerclient"
	"postjunction/internal/event"
	"postjunction/internal/gossip"
	"postjunction/internal/membership"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/partitionlog/router"
	"postjunction/internal/settings"
	"postjunction/internal/wire"
)

// deadlineFactor is how many call timeouts an operator's call may take.
const deadlineFactor = 3

// Service serves operators on one node. The fields are set before the first call and don't change.
type Service struct {
	Clock          clock.Clock
	Timing         settings.Timing
	Net            wire.Network
	Client         *registerclient.Client
	Store          *gossip.Store
	View           *membership.View
	Info           func() membership.Info
	CheckLease     func() error
	ControlNode    func() string
	Leaders        func() []leader.View
	CountersByPart func() map[string]any
	// TopicUsage, Tombstones and Trace ask the leader of a partition.
	TopicUsage func(ctx context.Context, partition int) ([]leader.TopicUsage, error)
	Tombstones func(ctx context.Context, partition int) (*leader.TombstoneView, error)
	Trace      func(ctx context.Context, partition int, request *router.TraceRequest) (*router.TraceResponse, error)
	// Rejections asks a node which calls it rejected.
	Rejections func(ctx context.Context, node membership.Info, request rejections.Request) ([]rejections.Rejection,
		error)
	Log *event.Logger

	parser atomic.Pointer[Parser]
}

// withDeadline returns a context that ends at the deadline of an operator's call.
func (s *Service) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, deadlineFactor*s.Timing.CallTimeout())
}

// partitions returns the numbers of all partitions.
func (s *Service) partitions() []int {
	var partitions []int
	for partition := range s.Store.VoterSet().Layout.PartitionCount() {
		partitions = append(partitions, partition)
	}
	return partitions
}
