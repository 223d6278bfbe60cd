// Package membership knows the nodes of the fleet: a node is a member while its session with a control node stands.
package membership

import (
	"slices"
	"strings"
	"sync"
	"time"

	"postjunction/internal/clock"
	"postjunction/internal/settings"
	"postjunction/internal/wire"
)

// Stages of a node.
const (
	Serving  = "serving"
	Draining = "leaving"
)

// Info is what a node says of itself.
type Info struct {
	Name       string `json:"name"`
	Zone       string `json:"zone"`
	ListenAddr string `json:"listen"`
	PeerAddr   string `json:"fellows"`
	// ClientAddr is where visitors' line sessions are taken.
	ClientAddr  string `json:"visits,omitempty"`
	Disk        string `json:"disk"`
	Incarnation string `json:"incarnation,omitempty"`
	BootID      string `json:"boot"`
	Stage       string `json:"stage"`
	// Configuration is which one the node has. Control nodes alone are told that of others, the others that one is Behind: it has had an older one than is
	// confirmed for longer than a lease.
	Configuration      uint64 `json:"description,omitempty"`
	ConfigurationStale bool   `json:"behind,omitempty"`
	VoterSet           uint64 `json:"roster"`
	Partitions         int    `json:"partitions"`
	// Loads is what each partition owned here takes a second.
	Loads        map[int]float64 `json:"loads,omitempty"`
	DiskHealth   string          `json:"fitness,omitempty"`
	Deaf         bool            `json:"deaf,omitempty"`
	BuildVersion string          `json:"build,omitempty"`
	WireVersion  int             `json:"wire"`
	// LatencyMicros is how long this node's heartbeats take, in microseconds, the second shortest of the last few; all that are far from slow are told as one.
	LatencyMicros int64 `json:"lag_us,omitempty"`
	// SupportsTwoHomes tells that this build keeps attachments in an urgent partition too.
	SupportsTwoHomes bool `json:"homes,omitempty"`
	// SupportsKeys tells that this build knows keys of messages and their withdrawal.
	SupportsKeys bool `json:"keys,omitempty"`
	// MilliCores is what the node has of one for visitors, in thousandths of a core, less where its link is narrow beside it; 0 when that isn't known.
	MilliCores int `json:"processor,omitempty"`
}

// Session is a session: what a node said and how long ago.
type Session struct {
	Info Info          `json:"info"`
	Age  time.Duration `json:"age"`
}

// SessionsRequest gives a control node another's sessions.
type SessionsRequest struct {
	From     string    `json:"from"`
	Sessions []Session `json:"sessions,omitempty"`
	// Update tells the sessions by difference, Have how far the story of the receiver is known; Sessions then holds nothing.
	Update       *SessionUpdate `json:"s,omitempty"`
	KnownVersion *Version       `json:"h,omitempty"`
}

// SessionsResponse gives the receiver's sessions back.
type SessionsResponse struct {
	From         string         `json:"f,omitempty"`
	Sessions     []Session      `json:"sessions,omitempty"`
	Update       *SessionUpdate `json:"s,omitempty"`
	KnownVersion *Version       `json:"h,omitempty"`
}

// IdentifyRequest asks a seed who it is. A control node that knows no roster says who it is itself, so that others find it through the seed.
type IdentifyRequest struct {
	From *Info `json:"from,omitempty"`
}

// IdentifyResponse says who a node is and whom it knows.
type IdentifyResponse struct {
	Info  Info   `json:"info"`
	Known []Info `json:"known"`
}

// The calls of membership.
var (
	Sessions = wire.NewProcedure[SessionsRequest, SessionsResponse]("Member", "Sessions", wire.Monotonic, "sessions carry ages, and what was heard later stands")
	Identify = wire.NewProcedure[IdentifyRequest, IdentifyResponse]("Member", "Hello", wire.Monotonic, "what is said of the sender is kept for a session at most")
)

type seen struct {
	info Info
	at   time.Time
}

// Table holds sessions: those of this control node and those that others told of.
type Table struct {
	mu     sync.Mutex
	clk    clock.Clock
	bounds settings.Timing
	m      map[string]seen
	news   chan struct{}
}

// NewTable makes an empty table.
func NewTable(c clock.Clock, b settings.Timing) *Table {
	return &Table{clk: c, bounds: b, m: map[string]seen{}, news: make(chan struct{})}
}

const forgetAfter = 10

// Observe takes in what was heard of a node some time ago. News of another run of the
// same node counts only when it is younger.
func (t *Table) Observe(i Info, age time.Duration) {
	now := t.clk.Now()
	at := now.Add(-age)
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.m[i.Name]
	if ok && !at.After(s.at) {
		return
	}
	t.m[i.Name] = seen{info: i, at: at}
	if !ok || now.Sub(s.at) >= t.bounds.SessionTimeout() || s.info.DiffersMaterially(i) {
		close(t.news)
		t.news = make(chan struct{})
	}
}

// DiffersMaterially tells whether two sayings of one node differ in what control and placement act on.
func (i Info) DiffersMaterially(k Info) bool {
	return i.BootID != k.BootID || i.Disk != k.Disk || i.Incarnation != k.Incarnation || i.Stage != k.Stage || i.DiskHealth != k.DiskHealth || i.Deaf != k.Deaf || i.PeerAddr != k.PeerAddr || i.VoterSet != k.VoterSet
}

// Changed is closed when a node joins, comes back, or says something new of its disk, stage, lease, address or roster.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.news
}

// Live gives the members by name.
func (t *Table) Live() []Info {
	now := t.clk.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var is []Info
	for n, s := range t.m {
		age := now.Sub(s.at)
		if age < t.bounds.SessionTimeout() {
			is = append(is, s.info)
		} else if age > forgetAfter*t.bounds.SessionTimeout() {
			delete(t.m, n)
		}
	}
	slices.SortFunc(is, func(a, b Info) int { return strings.Compare(a.Name, b.Name) })
	return is
}

// Sessions gives all live sessions with their ages.
func (t *Table) Sessions() []Session {
	now := t.clk.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var hs []Session
	for _, s := range t.m {
		if age := now.Sub(s.at); age < t.bounds.SessionTimeout() {
			hs = append(hs, Session{Info: s.info, Age: age})
		}
	}
	return hs
}

const lastMost = 1 << 13

// View is the list of members as a node was last told.
type View struct {
	mu sync.Mutex
	is []Info
	by map[string]Info
	// last holds who was a member once, so that calls to a machine do not hang on what one control node knows.
	last map[string]Info
}

// NewView makes an empty view.
func NewView() *View { return &View{by: map[string]Info{}, last: map[string]Info{}} }

// Set replaces the list.
func (v *View) Set(is []Info) {
	by := make(map[string]Info, len(is))
	for _, i := range is {
		by[i.Name] = i
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.is, v.by = is, by
	if len(v.last) > lastMost {
		v.last = map[string]Info{}
	}
	for n, i := range by {
		v.last[n] = i
	}
}

// Add takes members in and keeps those that the list does not name.
func (v *View) Add(is []Info) {
	all, have := slices.Clone(is), make(map[string]bool, len(is))
	for _, i := range is {
		have[i.Name] = true
	}
	for _, i := range v.All() {
		if !have[i.Name] {
			all = append(all, i)
		}
	}
	slices.SortFunc(all, func(a, b Info) int { return strings.Compare(a.Name, b.Name) })
	v.Set(all)
}

// LastKnown finds a member, or a node that was one once.
func (v *View) LastKnown(n string) (Info, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	i, ok := v.last[n]
	return i, ok
}

// All gives the members.
func (v *View) All() []Info {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.is
}

// Get finds a member.
func (v *View) Get(n string) (Info, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	i, ok := v.by[n]
	return i, ok
}

// Filter gives the members that f keeps.
func Filter(is []Info, f func(Info) bool) []Info {
	var r []Info
	for _, i := range is {
		if f(i) {
			r = append(r, i)
		}
	}
	return r
}
