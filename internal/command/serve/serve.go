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
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"postjunction/internal/clock"
	"postjunction/internal/door"
	"postjunction/internal/event"
	"postjunction/internal/node"
	"postjunction/internal/options"
	"postjunction/internal/problem"

	"postjunction/internal/disk/walog"
	"postjunction/internal/wire"
)

// Read makes the settings from a file and flags; flags win.
func Read(args []string, out io.Writer) (options.Options, string, error) {
	o := options.Default()
	path := ""
	bind := func(fs *flag.FlagSet) {
		fs.StringVar(&path, "options", path, "settings `file`")
		o.Flags(fs)
	}
	fs := flag.NewFlagSet("serve", flag.ContinueOnError)
	fs.SetOutput(out)
	bind(fs)
	if err := fs.Parse(args); err != nil {
		return o, path, problem.Wrap(problem.Usage, err, "serve")
	}
	if fs.NArg() > 0 {
		return o, path, problem.New(problem.Usage, "serve takes no argument %q", fs.Arg(0))
	}
	where := "flags"
	if path != "" {
		where = path
		o = options.Default()
		if err := o.Read(path); err != nil {
			return o, path, err
		}
		fs = flag.NewFlagSet("serve", flag.ContinueOnError)
		fs.SetOutput(io.Discard)
		bind(fs)
		if err := fs.Parse(args); err != nil {
			return o, path, problem.Wrap(problem.Usage, err, "serve")
		}
	}
	return o, path, options.Problem(where, o.Check())
}

// Run serves until a signal asks to stop.
func Run(args []string, errs io.Writer) error {
	o, path, err := Read(args, errs)
	if err != nil {
		return err
	}
	h := hclog.New(&hclog.LoggerOptions{Name: "postjunction", Level: hclog.LevelFromString(o.Level), Output: errs, TimeFn: time.Now})
	log := event.NewLogger(h.With("node", o.Name))
	w := node.World{Clock: clock.Real{}, Net: wire.Real(o.Bounds().Call())}
	if o.Disk != options.DiskNone {
		release, err := lock(o.Data)
		if err != nil {
			return err
		}
		defer release()
		g, err := walog.Open(o.Data)
		if problem.Has(err, problem.DiskDamaged) {
			log.Say(event.DiskDamaged, "problem", err)
			err = g.SetAside()
		}
		if err != nil {
			return err
		}
		defer func() { _ = g.Close() }()
		w.Disk = g
	}
	fl, err := net.Listen("tcp", o.Fellows)
	if err != nil {
		return problem.Wrap(problem.OptionsBad, err, "fellow_listen %s", o.Fellows)
	}
	vl, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return problem.Wrap(problem.OptionsBad, err, "listen %s", o.Listen)
	}
	sig := make(chan os.Signal, 2)
	signal.Notify(sig, syscall.SIGTERM, syscall.SIGINT)
	n, err := node.Start(context.Background(), o, w, log)
	if err != nil {
		return err
	}
	fs := &http.Server{Handler: n.Fellows(), ReadHeaderTimeout: o.Bounds().Recovery}
	vs := door.Server(n.Door().Handler(), o.Bounds())
	failed := make(chan error, 2)
	for s, l := range map[*http.Server]net.Listener{fs: fl, vs: vl} {
		go func() {
			if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				failed <- problem.Wrap(problem.Internal, err, "serve on %s", l.Addr())
			}
		}()
	}
	log.Say(event.Listening, "callers", o.Listen, "fellows", o.Fellows)
	watch, unwatch := context.WithCancel(context.Background())
	defer unwatch()
	if path != "" {
		go follow(watch, path, args, n, log)
	}
	select {
	case <-sig:
	case err = <-failed:
		log.Say(event.ServeFailed, "problem", err)
	}
	cut := time.AfterFunc(o.Bounds().Stop(), func() { os.Exit(0) })
	defer cut.Stop()
	n.Stop()
	cx, stop := context.WithTimeout(context.Background(), o.Bounds().Stop()/8)
	defer stop()
	_ = vs.Shutdown(cx)
	_ = fs.Close()
	return err
}

func follow(ctx context.Context, path string, args []string, n *node.Node, log *event.Logger) {
	last, _ := os.ReadFile(path)
	was := sha256.Sum256(last)
	for (clock.Real{}).Sleep(ctx, time.Second) == nil {
		b, err := os.ReadFile(path)
		is := sha256.Sum256(b)
		if err != nil || is == was {
			continue
		}
		was = is
		o, _, err := Read(args, io.Discard)
		if err == nil {
			err = n.Apply(o)
		}
		if err != nil {
			log.Say(event.OptionsTurned, "file", path, "problem", err)
			continue
		}
		log.Say(event.OptionsTaken, "file", path)
	}
}

func lock(dir string) (func(), error) {
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return nil, problem.Wrap(problem.OptionsBad, err, "data folder %s", dir)
	}
	f, err := os.OpenFile(dir+"/lock", os.O_CREATE|os.O_RDWR, 0o640)
	if err != nil {
		return nil, problem.Wrap(problem.OptionsBad, err, "data folder %s", dir)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, problem.Wrap(problem.DiskForeign, err, "data folder %s is in use by another process", dir)
	}
	return func() { _ = f.Close() }, nil
}
