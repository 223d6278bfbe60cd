// Package serve runs one node as a process.
package serve

import (
	"context"
	"crypto/sha256"
	"errors"
	"flag"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/event"
	"postjunction/internal/httpapi"
	"postjunction/internal/lineserver"
	"postjunction/internal/node"
	"postjunction/internal/settings"

	"postjunction/internal/disk/walog"
	"postjunction/internal/wire"
)

// Read makes the settings from a file and flags; flags win.
func Read(args []string, out io.Writer) (settings.Options, string, error) {
	o := settings.Default()
	path := ""
	bind := func(fs *flag.FlagSet) {
		fs.StringVar(&path, "options", path, "settings `file`")
		o.Flags(fs)
	}
	fs := flag.NewFlagSet("serve", flag.ContinueOnError)
	fs.SetOutput(out)
	bind(fs)
	if err := fs.Parse(args); err != nil {
		return o, path, apierror.Wrap(apierror.Usage, err, "serve")
	}
	if fs.NArg() > 0 {
		return o, path, apierror.New(apierror.Usage, "serve takes no argument %q", fs.Arg(0))
	}
	where := "flags"
	if path != "" {
		where = path
		o = settings.Default()
		if err := o.Read(path); err != nil {
			return o, path, err
		}
		fs = flag.NewFlagSet("serve", flag.ContinueOnError)
		fs.SetOutput(io.Discard)
		bind(fs)
		if err := fs.Parse(args); err != nil {
			return o, path, apierror.Wrap(apierror.Usage, err, "serve")
		}
	}
	return o, path, settings.FaultsError(where, o.Check())
}

// Run serves until a signal asks to stop.
func Run(args []string, errs io.Writer) error {
	o, path, err := Read(args, errs)
	if err != nil {
		return err
	}
	again := func() (settings.Options, error) {
		o, _, err := Read(args, io.Discard)
		return o, err
	}
	return Process(Task{Options: o, File: path, Again: again, Errs: errs})
}

// Task is what a process runs: one node, and the doors that a main adds to those of the settings.
type Task struct {
	Options settings.Options
	// File, if any, is followed for changes and read by Again.
	File  string
	Again func() (settings.Options, error)
	// Callers, if any, wraps the handler of callers and operators.
	Callers func(n *node.Node, h http.Handler) http.Handler
	// Words are those of visits, the product's own if none.
	Words lineserver.Codec
	Doors []Door
	Errs  io.Writer
}

// Door is one more listener, and what serves it.
type Door struct {
	Field   string
	Address string
	// Most bounds the connections open at once, 0 for the share of its field.
	Most int
	// Swept tells that the server closes silent connections itself, so that the system need not look after each.
	Swept bool
	Open  func(n *node.Node) Server
}

// Server serves a listener until it is shut down or closed.
type Server interface {
	Serve(l net.Listener) error
	Shutdown(ctx context.Context) error
	Close() error
}

// Process serves until a signal asks to stop.
func Process(t Task) error {
	o := t.Options
	h := hclog.New(&hclog.LoggerOptions{Name: "postjunction", Level: hclog.LevelFromString(o.LogLevel), Output: t.Errs, TimeFn: time.Now})
	log := event.NewLogger(h.With("node", o.Name))
	frugal(o.MemoryMB, o.MilliCores)
	w := node.Environment{Clock: clock.Real{}, Net: wire.Real(o.Timing())}
	s := listen()
	defer s.end()
	p := &patience{clk: clock.Real{}, bounds: o.Timing(), log: log, stop: s.stop}
	runtime.GOMAXPROCS(threads(o.Disk, runtime.GOMAXPROCS(0)))
	if o.Disk != settings.DiskNone {
		release, err := patient(p, func() (func(), error) { return lock(o.DataDir) })
		if err != nil {
			return err
		}
		defer release()
		g, err := patient(p, func() (*walog.Log, error) {
			g, err := walog.Open(o.DataDir)
			if apierror.HasCode(err, apierror.DiskDamaged) {
				log.Log(event.DiskDamaged, "problem", err)
				err = g.SetAside()
			}
			return g, err
		})
		if err != nil {
			return err
		}
		defer func() { _ = g.Close() }()
		w.Disk = g
	}
	callers := func(n *node.Node) http.Handler { return n.API().Handler() }
	if t.Callers != nil {
		callers = func(n *node.Node) http.Handler { return t.Callers(n, n.API().Handler()) }
	}
	doors := append([]Door{
		{Field: "fellow_listen", Address: o.PeerListen, Open: func(n *node.Node) Server { return wire.Server(n.PeerHandler(), o.Timing()) }},
		{Field: "listen", Address: o.Listen, Open: func(n *node.Node) Server { return httpapi.NewHTTPServer(callers(n), o.Timing()) }},
	}, t.Doors...)
	if o.ClientListen != "" {
		doors = append(doors, Door{Field: "visit_listen", Address: o.ClientListen, Swept: true, Open: func(n *node.Node) Server { return visits(n, o, t.Words) }})
	}
	var ls []net.Listener
	for _, d := range doors {
		l, err := patient(p, d.listen)
		if err != nil {
			return err
		}
		defer func() { _ = l.Close() }()
		ls = append(ls, bounded(l, share(d, o.Descriptors)))
	}
	n, err := patient(p, func() (*node.Node, error) {
		n, err := node.Start(context.Background(), o, w, log)
		if err != nil && w.Disk != nil {
			_ = w.Disk.Reopen()
		}
		return n, err
	})
	if err != nil {
		return err
	}
	var ss []Server
	for i, d := range doors {
		s := d.Open(n)
		ss = append(ss, s)
		go p.serve(d, s, ls[i])
	}
	log.Log(event.Listening, "callers", o.Listen, "fellows", o.PeerListen)
	watch, unwatch := context.WithCancel(context.Background())
	defer unwatch()
	if t.File != "" {
		go follow(watch, t, s.again, n, log)
	}
	<-s.stop
	p.end()
	cut := time.AfterFunc(o.Timing().ShutdownTimeout(), func() { os.Exit(0) })
	defer cut.Stop()
	n.Stop()
	cx, stop := context.WithTimeout(context.Background(), o.Timing().ShutdownTimeout()/8)
	defer stop()
	var wg sync.WaitGroup
	for _, s := range ss[1:] {
		wg.Go(func() { _ = s.Shutdown(cx) })
	}
	wg.Wait()
	for _, s := range ss {
		_ = s.Close()
	}
	return nil
}

// follow takes changes of the settings file up, within a second, or at once and changed or not when it is asked to.
func follow(ctx context.Context, t Task, again <-chan struct{}, n *node.Node, log *event.Logger) {
	last, _ := os.ReadFile(t.File)
	was := sha256.Sum256(last)
	for ctx.Err() == nil {
		asked := false
		due, stop := context.WithTimeout(ctx, time.Second)
		select {
		case <-again:
			asked = true
		case <-due.Done():
		}
		stop()
		b, err := os.ReadFile(t.File)
		is := sha256.Sum256(b)
		if err != nil && !asked || is == was && !asked {
			continue
		}
		was = is
		o, err := t.Again()
		if err == nil {
			err = n.Apply(o)
		}
		if err != nil {
			log.Log(event.SettingsRejected, "file", t.File, "problem", err)
			continue
		}
		log.Log(event.SettingsReloaded, "file", t.File)
	}
}

func lock(dir string) (func(), error) {
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return nil, folder(err, dir)
	}
	f, err := os.OpenFile(dir+"/lock", os.O_CREATE|os.O_RDWR, 0o640)
	if err != nil {
		return nil, folder(err, dir)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, apierror.Wrap(apierror.StillHeld, err, "data folder %s is in use by another process", dir)
	}
	return func() { _ = f.Close() }, nil
}

// folder tells a disk that takes no writes from a folder that can't be one.
func folder(err error, dir string) error {
	k := apierror.DiskFailed
	if errors.Is(err, os.ErrPermission) || errors.Is(err, syscall.ENOTDIR) || errors.Is(err, syscall.EROFS) {
		k = apierror.SettingsInvalid
	}
	return apierror.Wrap(k, err, "data folder %s", dir)
}

// threads is how many threads may run Go code: one core is not one thread, since the thread that waits for a sync of the disk keeps its place
// for up to 10 ms, and all calls would stand still meanwhile.
func threads(disk string, have int) int {
	if disk == settings.DiskNone {
		return have
	}
	return max(have, 2)
}
