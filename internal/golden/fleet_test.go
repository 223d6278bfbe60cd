package golden

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"postjunction/internal/client"
	"postjunction/internal/disk/journal"
	"postjunction/internal/disk/memlog"
	"postjunction/internal/disk/walog"
	"postjunction/internal/testing/sim"
)

// oldClient is the state of a client of the old fleet.
type oldClient struct {
	Token  string   `json:"token"`
	Cursor string   `json:"cursor"`
	Bodies []string `json:"bodies"`
}

const (
	topic = "kept/t0"
	limit = 30 * time.Second
)

var load = sim.Load{Topics: 2, LiveTopics: 1}

// copyRecords appends all records of one journal to another.
func copyRecords(t *testing.T, source, target journal.Log) {
	t.Helper()
	first, last, err := source.Bounds()
	assert.NilError(t, err)
	_, next, err := target.Bounds()
	assert.NilError(t, err)
	assert.Equal(t, first, next+1, "the old journal was compacted")
	var records [][]byte
	for i := first; i <= last; i++ {
		b, err := source.Read(i)
		assert.NilError(t, err)
		records = append(records, b)
	}
	assert.NilError(t, target.Write(first, records))
	assert.NilError(t, target.Sync())
}

// writeOldFleet runs a fleet, sends a few messages, and writes the disks and the client's state to
// dir.
func writeOldFleet(t *testing.T, dir string) {
	t.Helper()
	var client oldClient
	var world *sim.World
	synctest.Test(t, func(t *testing.T) {
		world = sim.New(sim.Armor, 1, nil)
		defer world.Close()
		assert.NilError(t, world.Start(world.Names...))
		var err error
		assert.NilError(t, world.WaitUntil(limit, "a configuration is accepted", func() bool {
			_, err = world.Put("c1", load.Configuration(0))
			return err == nil
		}))
		assert.NilError(t, world.WaitReady(limit))
		time.Sleep(world.Site.Timing.Recovery)
		node := world.Transport("a1")
		attachment, err := node.Attach(t.Context(), "picker-7")
		assert.NilError(t, err)
		client.Token = attachment.Token
		client.Cursor = follow(t, world, client.Token, "", 0)[0].Cursor
		for i, body := range []string{`{"pick":1}`, `{"pick":2}`, `"third"`} {
			_, err := node.Send(t.Context(), client.Token, topic, uint64(i+1), []byte(body))
			assert.NilError(t, err)
			client.Bodies = append(client.Bodies, body)
		}
		time.Sleep(world.Site.Timing.Recovery)
	})
	for name, machine := range world.Machines {
		if machine.Opts.DataDir == "" || machine.Opts.Disk == "none" {
			continue
		}
		disk, err := walog.Open(filepath.Join(dir, name))
		assert.NilError(t, err)
		copyRecords(t, machine.Disk, disk)
		assert.NilError(t, disk.Close())
	}
	b, err := json.MarshalIndent(client, "", "  ")
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "caller.json"), append(b, '\n'), 0o600))
}

var errEnough = errors.New("enough")

// follow follows the topic from a cursor until count messages arrived. With a count of 0 it returns
// the stream's first event.
func follow(t *testing.T, world *sim.World, token, cursor string, count int) []client.Event {
	t.Helper()
	var events []client.Event
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	_ = world.Transport("a1").Follow(ctx, token, []string{topic}, cursor, func(event client.Event) error {
		if count == 0 || event.Body != nil {
			events = append(events, event)
		}
		if len(events) >= max(count, 1) {
			return errEnough
		}
		return nil
	})
	assert.Equal(t, len(events), max(count, 1))
	return events
}

// A fleet whose disks were written by an older build serves: its client's token and cursor stay
// valid, the messages are read, an accepted number stays accepted, and the next one is accepted.
func TestOldFleetServes(t *testing.T) {
	dir := oldPath("fleet")
	if _, err := os.Stat(dir); errors.Is(err, os.ErrNotExist) && golden.FlagUpdate() {
		writeOldFleet(t, dir)
	}
	b, err := os.ReadFile(filepath.Join(dir, "caller.json"))
	assert.NilError(t, err)
	var client oldClient
	assert.NilError(t, json.Unmarshal(b, &client))
	copied := t.TempDir()
	assert.NilError(t, os.CopyFS(copied, os.DirFS(dir)))
	disks := map[string]*memlog.Disk{}
	entries, err := os.ReadDir(copied)
	assert.NilError(t, err)
	for _, entry := range entries {
		if entry.IsDir() {
			disk, err := walog.Open(filepath.Join(copied, entry.Name()))
			assert.NilError(t, err)
			disks[entry.Name()] = memlog.New()
			copyRecords(t, disk, disks[entry.Name()])
			assert.NilError(t, disk.Close())
		}
	}
	assert.Equal(t, len(disks), 6)
	synctest.Test(t, func(t *testing.T) {
		world := sim.New(sim.Armor, 2, nil)
		defer world.Close()
		for name, disk := range disks {
			world.Machines[name].Disk = disk
		}
		assert.NilError(t, world.Start(world.Names...))
		assert.NilError(t, world.WaitReady(limit))
		time.Sleep(world.Site.Timing.Recovery)
		node := world.Transport("a1")
		sequence, err := node.Get(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, sequence, uint64(1))
		var bodies []string
		for _, event := range follow(t, world, client.Token, client.Cursor, len(client.Bodies)) {
			bodies = append(bodies, string(event.Body))
		}
		assert.DeepEqual(t, bodies, client.Bodies)
		last := uint64(len(client.Bodies))
		receipt, err := node.Send(t.Context(), client.Token, topic, last, []byte(client.Bodies[last-1]))
		assert.NilError(t, err)
		assert.Assert(t, receipt.Duplicate)
		_, err = node.Send(t.Context(), client.Token, topic, last, []byte(`"altered"`))
		assert.ErrorContains(t, err, "call_altered")
		receipt, err = node.Send(t.Context(), client.Token, topic, last+1, []byte(`"next"`))
		assert.NilError(t, err)
		assert.Assert(t, !receipt.Duplicate)
	})
}
