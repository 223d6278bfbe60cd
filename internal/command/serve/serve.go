// Package serve runs one node as a process. It reads the settings, opens the data directory and the
// ports, starts the node, and stops it on a signal.
//
// Invariants: only one process at a time uses a data directory. A problem that may pass by itself
// (a port or directory that the previous process still uses, a full disk) is retried before it ends
// the process. A port that fails is opened again. SIGHUP and SIGPIPE never end the process. The
// process ends within the shutdown timeout after SIGTERM or SIGINT.
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

// Options configure Process: the settings of one node, and what a main package adds to them.
type Options struct {
	Settings settings.Options
	// SettingsFile, if set, is watched for changes. Reload reads it again.
	SettingsFile string
	Reload       func() (settings.Options, error)
	// WrapAPI, if set, wraps the handler of the HTTP API.
	WrapAPI func(n *node.Node, api http.Handler) http.Handler
	// Codec is the codec of the line protocol. If nil, the product's own JSON codec is used.
	Codec     lineserver.Codec
	Listeners []Listener
	// LogOutput is where the log is written.
	LogOutput io.Writer
}

// Listener is a port and the server for it.
type Listener struct {
	// Setting is the name of the setting that gives the address.
	Setting string
	// Address is an IP number and a port.
	Address string
	// MaxConnections limits the connections that are open at a time, 0 for the default of the
	// setting.
	MaxConnections int
	// ReapsIdle is true if the server closes idle connections itself, so that the kernel's
	// keepalive isn't needed.
	ReapsIdle bool
	// NewServer returns the server for a node that has started.
	NewServer func(n *node.Node) Server
}

// Server serves a listener until it is shut down or closed.
type Server interface {
	Serve(l net.Listener) error
	Shutdown(ctx context.Context) error
	Close() error
}

// Run runs the node with the settings file and flags in args, until it gets a signal to stop.
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
