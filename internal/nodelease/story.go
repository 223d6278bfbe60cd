package nodelease

import (
	"time"

	"postjunction/internal/membership"
)

// told is what a control node told and heard by difference. The lock of its Host guards it, save the rolls, which have their own.
type told struct {
	live   membership.VersionedList
	own    membership.VersionedList
	seen   <-chan struct{}
	looked time.Time
	// put is the description confirmed last, from when on, and due the one that all nodes must have.
	put, due uint64
	from     time.Time
	// has says how far the other control nodes, by address, know this one's sessions; heard is what they told, by name; names are theirs by address.
	has   map[string]membership.Version
	heard map[string]*membership.ListReplica
	names map[string]string
}

const (
	looksPerHeartbeat = 10
	lateShare         = 3
)

// members gives the roll of all members, which is looked through anew when one has news, and a few times a heartbeat for those that lapsed.
func (h *Server) members() *membership.VersionedList {
	now := h.Clock.Now()
	h.mu.Lock()
	fresh := h.told.seen != nil && now.Sub(h.told.looked) < h.Timing.HeartbeatInterval()/looksPerHeartbeat
	if fresh {
		select {
		case <-h.told.seen:
			fresh = false
		default:
		}
	}
	if !fresh {
		h.told.seen, h.told.looked = h.Table.Changed(), now
	}
	h.mu.Unlock()
	if !fresh {
		is := h.Table.Live()
		due := h.due()
		for k, i := range is {
			is[k] = i.Stable()
			is[k].ConfigurationStale = i.Configuration < due
		}
		h.told.live.Set(is)
	}
	return &h.told.live
}

// due gives the description that every node must have by now: the one confirmed here, once it has been for a lease, or the one that was due before.
func (h *Server) due() uint64 {
	c := h.LatestConfirmation()
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.OK && c.Sequence != h.told.put {
		h.told.put, h.told.from = c.Sequence, c.At
	}
	if h.Clock.Now().Sub(h.told.from) >= h.Timing.LeaseDuration() {
		h.told.due = h.told.put
	}
	return h.told.due
}

// story tells this node's sessions to one who knows them up to a mark.
func (h *Server) story(have membership.Version) membership.SessionUpdate {
	var is []membership.Info
	var s membership.SessionUpdate
	for _, x := range h.sessions() {
		is = append(is, x.Info)
		if x.Age > h.Timing.HeartbeatInterval()+h.Timing.HeartbeatInterval()/lateShare {
			if s.Late == nil {
				s.Late = map[string]time.Duration{}
			}
			s.Late[x.Info.Name] = x.Age
			continue
		}
		s.Age = max(s.Age, x.Age)
	}
	h.told.own.Set(is)
	s.Change = h.told.own.Since(have)
	return s
}

func (h *Server) task(addr string) *membership.SessionsRequest {
	h.mu.Lock()
	have, ok := h.told.has[addr]
	name := h.told.names[addr]
	h.mu.Unlock()
	k := h.heard(name)
	q := &membership.SessionsRequest{From: h.Self, KnownVersion: &k}
	if !ok {
		q.Sessions = h.sessions()
		return q
	}
	s := h.story(have)
	q.Update = &s
	return q
}

func (h *Server) heard(name string) membership.Version {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c := h.told.heard[name]; c != nil {
		return c.Version()
	}
	return membership.Version{}
}

// hear takes in another control node's story, and tells whether it is known up to there.
func (h *Server) hear(name string, s *membership.SessionUpdate) bool {
	if s == nil {
		return true
	}
	h.mu.Lock()
	if h.told.heard == nil {
		h.told.heard = map[string]*membership.ListReplica{}
	}
	c := h.told.heard[name]
	if c == nil {
		c = &membership.ListReplica{}
		h.told.heard[name] = c
	}
	ok := c.Apply(s.Change)
	var is []membership.Info
	if ok {
		is = c.All()
	}
	h.mu.Unlock()
	for _, i := range is {
		age, late := s.Late[i.Name]
		if !late {
			age = s.Age
		}
		h.Table.Observe(i, age)
	}
	return ok
}

// reached notes how far the one at an address knows this node's sessions, and tells whether it could follow what it was told.
func (h *Server) reached(addr string, q *membership.SessionsRequest, a *membership.SessionsResponse) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.told.has == nil {
		h.told.has, h.told.names = map[string]membership.Version{}, map[string]string{}
	}
	if a.KnownVersion == nil {
		delete(h.told.has, addr)
		return true
	}
	h.told.has[addr], h.told.names[addr] = *a.KnownVersion, a.From
	return q.Update == nil || a.KnownVersion.List == q.Update.Change.Version.List
}
