package serve

import (
	"context"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"postjunction/internal/clock"
	"postjunction/internal/event"
	"postjunction/internal/httpapi"
	"postjunction/internal/node"
	"postjunction/internal/settings"
	"postjunction/internal/wire"
)

// Process runs a node until it gets a signal to stop. It returns an error if the node could not be
// started.
func Process(opts Options) error {
	nodeSettings, timing := opts.Settings, opts.Settings.Timing()
	log := newLogger(opts)
	limitMemory(nodeSettings.MemoryMB, nodeSettings.MilliCores)
	runtime.GOMAXPROCS(threads(nodeSettings.Disk, runtime.GOMAXPROCS(0)))
	signals := catchSignals()
	defer signals.end()
	startRetrier := &retrier{clock: clock.Real{}, timing: timing, log: log, stop: signals.stop}

	env := node.Environment{Clock: clock.Real{}, Net: wire.NewNetwork(timing)}
	if nodeSettings.Disk != settings.DiskNone {
		disk, closeDisk, err := openDisk(startRetrier, nodeSettings.DataDir, log)
		if err != nil {
			return err
		}
		defer closeDisk()
		env.Disk = disk
	}
	listeners := opts.allListeners()
	opened, err := openListeners(startRetrier, listeners, nodeSettings.Descriptors)
	defer closeListeners(opened)
	if err != nil {
		return err
	}
	n, err := startNode(startRetrier, nodeSettings, env, log)
	if err != nil {
		return err
	}
	sup := &supervisor{clock: clock.Real{}, timing: timing, log: log}
	var servers []Server
	for i, listener := range listeners {
		server := listener.NewServer(n)
		servers = append(servers, server)
		go sup.serve(listener, server, opened[i])
	}
	log.Log(event.Listening, "clients", nodeSettings.Listen, "peers", nodeSettings.PeerListen)

	watchCtx, stopWatching := context.WithCancel(context.Background())
	defer stopWatching()
	if opts.SettingsFile != "" {
		go watchSettings(watchCtx, opts, signals.reload, n, log)
	}
	<-signals.stop
	sup.end()
	shutDown(n, servers, timing.ShutdownTimeout())
	return nil
}

func newLogger(opts Options) *event.Logger {
	logger := hclog.New(&hclog.LoggerOptions{
		Name: "postjunction", Level: hclog.LevelFromString(opts.Settings.LogLevel),
		Output: opts.LogOutput, TimeFn: time.Now,
	})
	return event.NewLogger(logger.With("node", opts.Settings.Name))
}

// allListeners returns the listeners of the settings and those that main added. The listener for
// peers is the first.
func (opts Options) allListeners() []Listener {
	nodeSettings, timing := opts.Settings, opts.Settings.Timing()
	api := func(n *node.Node) http.Handler {
		handler := n.API().Handler()
		if opts.WrapAPI != nil {
			return opts.WrapAPI(n, handler)
		}
		return handler
	}
	listeners := append([]Listener{
		{
			Setting: "fellow_listen", Address: nodeSettings.PeerListen,
			NewServer: func(n *node.Node) Server { return wire.NewServer(n.PeerHandler(), timing) },
		},
		{
			Setting: "listen", Address: nodeSettings.Listen,
			NewServer: func(n *node.Node) Server { return httpapi.NewHTTPServer(api(n), timing) },
		},
	}, opts.Listeners...)
	if nodeSettings.ClientListen != "" {
		listeners = append(listeners, Listener{
			Setting: "visit_listen", Address: nodeSettings.ClientListen, ReapsIdle: true,
			NewServer: func(n *node.Node) Server { return newLineServer(n, nodeSettings, opts.Codec) },
		})
	}
	return listeners
}

// openListeners opens all ports before the node starts. If it returns an error, it also returns the
// ports that it opened before.
func openListeners(startRetrier *retrier, listeners []Listener, descriptors int) ([]net.Listener, error) {
	var opened []net.Listener
	for _, listener := range listeners {
		port, err := retry(startRetrier, listener.open)
		if err != nil {
			return opened, err
		}
		opened = append(opened, limitConnections(port, listener.connectionLimit(descriptors)))
	}
	return opened, nil
}

func closeListeners(listeners []net.Listener) {
	for _, l := range listeners {
		_ = l.Close()
	}
}

func startNode(
	startRetrier *retrier, nodeSettings settings.Options, env node.Environment, log *event.Logger,
) (*node.Node, error) {
	return retry(startRetrier, func() (*node.Node, error) {
		n, err := node.Start(context.Background(), nodeSettings, env, log)
		if err != nil && env.Disk != nil {
			_ = env.Disk.Reopen()
		}
		return n, err
	})
}

// shutDown stops the node, then its servers. It ends the process if that takes longer than the
// timeout. The server for peers, the first one, is closed without waiting for its calls.
func shutDown(n *node.Node, servers []Server, timeout time.Duration) {
	forced := time.AfterFunc(timeout, func() { os.Exit(0) })
	defer forced.Stop()
	n.Stop()
	ctx, stop := context.WithTimeout(context.Background(), timeout/8)
	defer stop()
	var wg sync.WaitGroup
	for _, server := range servers[1:] {
		wg.Go(func() { _ = server.Shutdown(ctx) })
	}
	wg.Wait()
	for _, server := range servers {
		_ = server.Close()
	}
}
