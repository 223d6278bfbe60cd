package serve

import (
	"context"
	"crypto/sha256"
	"flag"
	"io"
	"os"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/event"
	"postjunction/internal/node"
	"postjunction/internal/settings"
)

// reloadInterval is the interval at which the settings file is checked for changes.
const reloadInterval = time.Second

// ReadSettings reads the settings from the file that the flags name, and from the flags, which
// override the file. It returns them with the file's path. The error is Usage for flags that can't
// be parsed, and SettingsInvalid for invalid settings.
func ReadSettings(args []string, out io.Writer) (settings.Options, string, error) {
	opts, path := settings.Default(), ""
	if err := parseFlags(args, &opts, &path, out); err != nil {
		return opts, path, err
	}
	if path == "" {
		return opts, path, settings.FaultsError("flags", opts.Check())
	}
	opts = settings.Default()
	if err := opts.Read(path); err != nil {
		return opts, path, err
	}
	if err := parseFlags(args, &opts, &path, io.Discard); err != nil {
		return opts, path, err
	}
	return opts, path, settings.FaultsError(path, opts.Check())
}

func parseFlags(args []string, opts *settings.Options, path *string, out io.Writer) error {
	flags := flag.NewFlagSet("serve", flag.ContinueOnError)
	flags.SetOutput(out)
	flags.StringVar(path, "options", *path, "settings `file`")
	opts.Flags(flags)
	if err := flags.Parse(args); err != nil {
		return apierror.Wrap(apierror.Usage, err, "serve")
	}
	if flags.NArg() > 0 {
		return apierror.New(apierror.Usage, "serve takes no argument %q", flags.Arg(0))
	}
	return nil
}

// watchSettings applies changes of the settings file within a second, until ctx ends. When a reload
// is requested it applies the file even if it has not changed.
func watchSettings(ctx context.Context, opts Options, reload <-chan struct{}, n *node.Node, log *event.Logger) {
	content, _ := os.ReadFile(opts.SettingsFile)
	lastSum := sha256.Sum256(content)
	for ctx.Err() == nil {
		requested := waitForReload(ctx, reload)
		content, err := os.ReadFile(opts.SettingsFile)
		sum := sha256.Sum256(content)
		if !requested && (err != nil || sum == lastSum) {
			continue
		}
		lastSum = sum
		changed, err := opts.Reload()
		if err == nil {
			err = n.Apply(changed)
		}
		if err != nil {
			log.Log(event.SettingsRejected, "file", opts.SettingsFile, "problem", err)
			continue
		}
		log.Log(event.SettingsReloaded, "file", opts.SettingsFile)
	}
}

// waitForReload waits until a reload is requested or the interval has passed. It reports whether a
// reload was requested.
func waitForReload(ctx context.Context, reload <-chan struct{}) bool {
	due, stop := context.WithTimeout(ctx, reloadInterval)
	defer stop()
	select {
	case <-reload:
		return true
	case <-due.Done():
		return false
	}
}
