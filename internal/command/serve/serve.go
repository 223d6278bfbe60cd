// Package serve runs one node as a process: it reads the settings, opens the data directory and the
// ports, starts the node, and ends it on a signal.
//
// Invariants: only one process at a time uses a data directory; what may pass by itself (a port or
// directory that the previous process still holds, a full disk) never ends the process at once; a
// port that breaks is opened again; SIGHUP and SIGPIPE never end the process; the process ends
// within the shutdown timeout after SIGTERM or SIGINT.
//
// Process blocks until then and owns all goroutines: one per listener, one for signals, one for the
// settings file.
package serve

import (
	"context"
	"io"
	"net"
	"net/http"

	"postjunction/internal/lineserver"
	"postjunction/internal/node"
	"postjunction/internal/settings"
)

// Options are what Process runs: one node, and the listeners that a main adds to those of the
// settings.
type Options struct {
	Settings settings.Options
	// SettingsFile, if any, is watched for changes and read again by Reload.
	SettingsFile string
	Reload       func() (settings.Options, error)
	// WrapAPI, if any, wraps the handler of the HTTP API.
	WrapAPI func(n *node.Node, api http.Handler) http.Handler
	// Codec is that of the line protocol, the product's own JSON codec if nil.
	Codec     lineserver.Codec
	Listeners []Listener
	// LogOutput takes the log.
	LogOutput io.Writer
}

// Listener is a port, and what serves it.
type Listener struct {
	// Setting is the name of the setting that gives the address.
	Setting string
	// Address is an IP number and a port.
	Address string
	// MaxConnections limits the connections open at once, 0 for the default of the setting.
	MaxConnections int
	// ReapsIdle says that the server closes idle connections itself, so that the kernel's keepalive
	// isn't needed.
	ReapsIdle bool
	// NewServer makes the server of a node that has started.
	NewServer func(n *node.Node) Server
}

// Server serves a listener until it is shut down or closed.
type Server interface {
	Serve(l net.Listener) error
	Shutdown(ctx context.Context) error
	Close() error
}

// Run runs the node that the settings file and flags in args describe, until a signal asks to stop.
func Run(args []string, stderr io.Writer) error {
	opts, path, err := ReadSettings(args, stderr)
	if err != nil {
		return err
	}
	reload := func() (settings.Options, error) {
		opts, _, err := ReadSettings(args, io.Discard)
		return opts, err
	}
	return Process(Options{Settings: opts, SettingsFile: path, Reload: reload, LogOutput: stderr})
}
