// Package stream reads committed entries from the partition leaders for the streams of one node,
// and makes the streams drop withdrawn messages.
//
// Feeds has a feed for each partition that a stream of this node follows. A feed is a reader of the
// partition: it polls the leader, caches the newest entries, and serves windows of them to streams.
//
// Invariants: the feed polls past a withdrawal, which confirms it to the leader, only when
//   - the cache has nothing that the withdrawal covers,
//   - every window that was filled earlier is known to be affected (BeginWrite checks the
//     tombstones and the generation), and
//   - every write of what it covers has ended.
//
// When the last stream has left, the feed reports to the leader that it is finished.
//
// Each feed has one goroutine, Feed.run, owned by Feeds. It ends after the last stream has left,
// once the leader has acknowledged that, or with the context given to New. Streams call the other
// methods, of which only Follow, Fetch and WaitFinished block. Lock order: Feeds.mu before Feed.mu.
// Neither is held during calls to a leader.
package stream

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/settings"
)

// Source reads committed entries from a partition's leader.
type Source interface {
	ReadAsReader(ctx context.Context, request *leader.ReadRequest) (*leader.ReadResponse, error)
}

// Feeds has a feed for each partition that some stream of this node follows.
type Feeds struct {
	node   string
	bootID string
	source Source
	clock  clock.Clock
	timing settings.Timing
	ctx    context.Context

	// mu guards open, running and bootCount.
	mu sync.Mutex
	// open are the feeds that have streams, by partition. running also has those that have not
	// reported yet that they are finished.
	open      map[int]*Feed
	running   map[*Feed]bool
	bootCount uint64
}

// New returns the feeds of a node under a boot ID. Their goroutines end with ctx.
func New(
	ctx context.Context, node, bootID string, source Source, clk clock.Clock, timing settings.Timing,
) *Feeds {
	return &Feeds{
		node:    node + "/streams",
		bootID:  bootID,
		source:  source,
		clock:   clk,
		timing:  timing,
		ctx:     ctx,
		open:    map[int]*Feed{},
		running: map[*Feed]bool{},
	}
}

// Follow opens or joins the feed of a partition, and waits until it is open. Then wake is signalled
// when there are new entries, and the returned function leaves the feed. The error has the code
// NoPartitionLeader.
func (fs *Feeds) Follow(ctx context.Context, partition int, wake chan struct{}) (*Feed, func(), error) {
	feed, leave := fs.join(partition, &follower{wake})
	select {
	case <-feed.opened:
		return feed, leave, nil
	case <-ctx.Done():
		leave()
		return nil, nil, apierror.New(apierror.NoPartitionLeader, "partition %d could not be read in time", partition)
	}
}

func (fs *Feeds) join(partition int, joining *follower) (*Feed, func()) {
	bootID := fs.nextBootID()
	fs.mu.Lock()
	defer fs.mu.Unlock()
	feed, ok := fs.open[partition]
	if !ok {
		ctx, cancel := context.WithCancel(fs.ctx)
		feed = newFeed(fs, partition, bootID, cancel)
		fs.open[partition], fs.running[feed] = feed, true
		go feed.run(ctx)
	}
	feed.mu.Lock()
	feed.followers[joining] = true
	feed.mu.Unlock()
	return feed, func() { fs.leave(feed, joining) }
}

func (fs *Feeds) leave(feed *Feed, leaving *follower) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	feed.mu.Lock()
	delete(feed.followers, leaving)
	remaining := len(feed.followers)
	feed.mu.Unlock()
	if remaining == 0 && fs.open[feed.partition] == feed {
		delete(fs.open, feed.partition)
		feed.cancel()
	}
}

// WaitFinished waits until every feed whose streams have left has reported that to its leader, or
// until ctx ends.
func (fs *Feeds) WaitFinished(ctx context.Context) {
	fs.mu.Lock()
	feeds := slices.Collect(maps.Keys(fs.running))
	fs.mu.Unlock()
	for _, feed := range feeds {
		select {
		case <-feed.finished:
		case <-ctx.Done():
		}
	}
}

// nextBootID returns a boot ID that no feed here has had, so that what a leader records of one feed
// applies to no other.
func (fs *Feeds) nextBootID() string {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.bootCount++
	return fmt.Sprintf("%s.%d", fs.bootID, fs.bootCount)
}

func (fs *Feeds) remove(feed *Feed) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	delete(fs.running, feed)
}
