package nodelease

import (
	"net/http"
	"net/http/httptest"
	"time"

	"postjunction/internal/clock"
	"postjunction/internal/gossip"
	"postjunction/internal/membership"
	"postjunction/internal/settings"
)

// muxNetwork is a network with one peer.
type muxNetwork struct{ mux *http.ServeMux }

func (n *muxNetwork) Do(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	n.mux.ServeHTTP(w, r)
	return w.Result(), nil
}

// funcNetwork is a network that calls a function.
type funcNetwork struct {
	do func(*http.Request) (*http.Response, error)
}

func (n *funcNetwork) Do(r *http.Request) (*http.Response, error) { return n.do(r) }

// controlNode is the control node that tests have a session with.
var controlNode = membership.Info{Name: "c1", PeerAddr: "127.0.0.1:1"}

func confirmedNow() Confirmation { return Confirmation{OK: true, At: time.Now()} }

func newServer(
	self string, timing settings.Timing, store *gossip.Store, latestConfirmation func() Confirmation,
) *Server {
	return &Server{
		Self: self, Clock: clock.Real{}, Timing: timing, Table: membership.NewTable(clock.Real{}, timing), Store: store,
		AddressBook:        &membership.AddressBook{},
		Info:               func() membership.Info { return membership.Info{Name: self} },
		LatestConfirmation: latestConfirmation,
	}
}

func newManager(options settings.Options, store *gossip.Store, info func() membership.Info) *Manager {
	return &Manager{
		Settings: options, Clock: clock.Real{}, Store: store, View: membership.NewView(),
		AddressBook: &membership.AddressBook{}, Info: info,
	}
}
