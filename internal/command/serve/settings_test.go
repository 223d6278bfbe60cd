package serve

import (
	"io"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/settings"
)

const validSettings = `{"name":"a1","zone":"z1","listen":"127.0.0.1:7404","fellow_listen":"127.0.0.1:7504",` +
	`"seeds":["127.0.0.1:7501","127.0.0.1:7502","127.0.0.1:7503"]`

func TestReadSettings(t *testing.T) {
	cases := map[string]string{
		validSettings + `}`:            "",
		validSettings + `,"colour":1}`: `options_invalid: FILE: unknown field "colour"`,
		validSettings + `,"name":"b"}`: `options_invalid: FILE: field "name": appears twice`,
		validSettings + `} 1`:          `options_invalid: FILE: something follows the settings object`,
		validSettings + `,"disk":"control"}`: `options_invalid: FILE: ` +
			`field "data": must name a folder when disk is "control"`,
		validSettings + `,"disk":"tape"}`: `options_invalid: FILE: ` +
			`field "data": must name a folder when disk is "tape"; ` +
			`FILE: field "disk": must be none, control or storage, is "tape"`,
		validSettings + `,"backlog":2}`:   `options_invalid: FILE: field "backlog": must be from 8 to 65536, is 2`,
		validSettings + `,"keeping":"9"}`: `options_invalid: FILE: "9" is no duration such as "35s"`,
		validSettings + `,"keeping":"15s"}`: `options_invalid: FILE: ` +
			`field "keeping": must be at least twice recovery (24s) so that clients can wait out a loss, is 15s`,
		validSettings + `,"spread":"8s"}`: `options_invalid: FILE: ` +
			`field "spread": three heartbeats (2.4s) must fit into a session (2s); raise recovery or lower spread`,
		validSettings + `,"recovery":"1s"}`: `options_invalid: FILE: field "recovery": must be from 2s to 5m, is 1s`,
		validSettings + `,"changelog":"1ms"}`: `options_invalid: FILE: ` +
			`field "changelog": must be from 50ms to half of keeping (17.5s), is 1ms`,
		validSettings + `,"urgent_partitions":0}`: `options_invalid: FILE: ` +
			`field "urgent_partitions": must be from 1 to 1024, is 0`,
		`{"name":"a","zone":"z","seeds":[]}`: `options_invalid: FILE: field "seeds": must be 1 to 7 addresses, are 0`,
		`{"name":"a","zone":"z","seeds":["127.0.0.1:1","127.0.0.1:2",` +
			`"127.0.0.1:3","127.0.0.1:4","127.0.0.1:5","127.0.0.1:6","127.0.0.1:7","127.0.0.1:8"]}`: `options_invalid: FILE: ` +
			`field "seeds": must be 1 to 7 addresses, are 8`,
		`{"name":"A","zone":"","listen":"localhost:1",` +
			`"fellow_listen":"127.0.0.1:0","seeds":["x"]}`: `options_invalid: FILE: ` +
			`field "fellow_listen": must be an IP number and a port from 1 to 65535, is "127.0.0.1:0"; ` +
			`FILE: field "listen": must be an IP number and a port from 1 to 65535, is "localhost:1"; ` +
			`FILE: field "name": must be 1 to 63 of a-z, 0-9 and -, is "A"; ` +
			`FILE: field "seeds[0]": must be an IP number and a port from 1 to 65535, is "x"; ` +
			`FILE: field "zone": must be 1 to 63 of a-z, 0-9 and -, is ""`,
	}
	for text, want := range cases {
		path := filepath.Join(t.TempDir(), "o.json")
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		_, _, err := ReadSettings([]string{"-options", path}, io.Discard)
		if want == "" {
			assert.NilError(t, err)
			continue
		}
		message := err.Error()
		for i := 0; i+len(path) <= len(message); i++ {
			if message[i:i+len(path)] == path {
				message = message[:i] + "FILE" + message[i+len(path):]
			}
		}
		assert.Equal(t, message, want)
		assert.Assert(t, apierror.HasCode(err, apierror.SettingsInvalid))
	}
}

func TestReadSettings_FlagsWinOverTheFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "o.json")
	assert.NilError(t, os.WriteFile(path, []byte(validSettings+`,"log_level":"warn"}`), 0o600))
	opts, _, err := ReadSettings([]string{"-options", path, "-zone", "z9"}, io.Discard)
	assert.NilError(t, err)
	assert.Equal(t, opts.Zone, "z9")
	assert.Equal(t, opts.LogLevel, "warn")
}

func TestTimingBoundsAddUp(t *testing.T) {
	timing := settings.DefaultTiming
	assert.Assert(t, timing.MaxFailover() <= timing.Recovery)
	assert.Assert(t, timing.ShutdownTimeout() < 6e9)
	assert.Assert(t, timing.LeaseDuration() < timing.Spread)
}
