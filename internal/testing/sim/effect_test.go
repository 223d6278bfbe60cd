package sim

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/client"
)

// A configuration takes effect on every node within the spread: on sends, on new streams, and on
// open streams while nothing is sent.
func TestConfigurationTakesEffectEverywhere(t *testing.T) {
	t.Parallel()
	for seed := range uint64(seeds(4)) {
		runFleet(t, siteForSeed(seed), 240+seed, func(t *testing.T, w *World) {
			w.Watch()
			doc := func(base int, kept, live string) []byte {
				return []byte(fmt.Sprintf(`{"base":%d,"spaces":[{"name":"kept","kind":"kept","topics":[%s]},{"name":"side","kind":%q,"topics":["l0"]}]}`, base, kept, live))
			}
			_, err := w.Put("c1", doc(0, `"t0","t1"`, "live"))
			assert.NilError(t, err)
			time.Sleep(w.Site.Timing.Spread)
			if seed >= 2 {
				w.DropPackets(0.05)
			}
			var mu sync.Mutex
			unsubscribedAt, received := map[string]time.Time{}, map[string]bool{}
			tokens := map[string]string{}
			for _, node := range w.Names {
				attachment := attach(t, w, node, "on-"+node)
				tokens[node] = attachment.Token
				w.wg.Go(func() {
					_ = w.Transport(node).Follow(w.ctx, attachment.Token, []string{"kept/t0", "kept/t1"}, "", func(event client.Event) error {
						mu.Lock()
						defer mu.Unlock()
						if slices.Contains(event.Unsubscribed, "kept/t1") {
							unsubscribedAt[node] = time.Now()
						}
						received[node] = received[node] || event.Topic == "kept/t0"
						return nil
					})
				})
			}
			time.Sleep(time.Second)
			seq, err := w.Put(w.Names[int(seed)%len(w.Names)], doc(1, `"t0","t9"`, "kept"))
			assert.NilError(t, err)
			accepted := time.Now()
			time.Sleep(w.Site.Timing.Spread)
			firstRequest := time.Now()
			for i, node := range w.Names {
				ctx, stop := context.WithTimeout(w.ctx, w.Site.Timing.Recovery)
				_, err := w.Transport(node).Send(ctx, tokens[node], "kept/t1", 1, []byte(`1`))
				if err == nil {
					w.History.ObserveEffect(node, seq-1, firstRequest, w.Site.Timing.Spread-time.Millisecond, "accepted a message on a removed topic")
				}
				assert.Assert(t, apierror.HasCode(err, apierror.UnknownTopic), "%s: %v", node, err)
				_, _, err = follow(w, node, tokens[node], "", []string{"kept/t1"}, time.Second)
				assert.Assert(t, apierror.HasCode(err, apierror.UnknownTopic), "%s: %v", node, err)
				_, err = w.Transport(node).Send(ctx, tokens[node], "kept/t9", 1, []byte(`1`))
				assert.NilError(t, err, "%s: an added topic", node)
				if i == 0 {
					_, cursor, _ := follow(w, node, attach(t, w, node, "resumer").Token, "", []string{"side/l0"}, time.Second)
					_, err = w.Transport(node).Send(ctx, tokens[node], "side/l0", 1, []byte(`1`))
					assert.NilError(t, err)
					calls, _, _ := follow(w, node, attach(t, w, node, "resumer").Token, cursor, []string{"side/l0"}, 2*time.Second)
					assert.DeepEqual(t, calls, []uint64{1})
				}
				stop()
			}
			w.Heal()
			_, err = w.Transport("c1").Send(w.ctx, tokens["c1"], "kept/t0", 1, []byte(`"goes on"`))
			assert.NilError(t, err)
			time.Sleep(2 * time.Second)
			mu.Lock()
			defer mu.Unlock()
			for _, node := range w.Names {
				assert.Assert(t, !unsubscribedAt[node].IsZero() && unsubscribedAt[node].Sub(accepted) <= w.Site.Timing.Spread, "%s never dropped the removed topic from an open stream, or after %s", node, unsubscribedAt[node].Sub(accepted))
				assert.Assert(t, received[node], "%s: the other topic of the stream delivered nothing", node)
			}
		})
	}
}

// A space that was removed and is added again continues where it was: call numbers, logs and
// cursors neither repeat nor skip. It can't be added again with another urgency, since its
// messages are in partitions of its earlier urgency.
func TestSpaceThatComesBackGoesOnWhereItWas(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for seed := range uint64(seeds(3)) {
		runFleet(t, siteForSeed(seed), 260+seed, func(t *testing.T, w *World) {
			base := uint64(0)
			putSpaces := func(spaces string) error {
				seq, err := w.Put(w.Names[w.Int(len(w.Names))], []byte(fmt.Sprintf(`{"base":%d,"spaces":[{"name":"other","kind":"kept","topics":["x"]}%s]}`, base, spaces)))
				if err == nil {
					base = seq
					time.Sleep(w.Site.Timing.Spread)
				}
				return err
			}
			const kept, live, routine = `,{"name":"line","kind":"kept","urgent":true,"topics":["a"]}`, `,{"name":"line","kind":"live","urgent":true,"topics":["a"]}`, `,{"name":"line","kind":"kept","topics":["a"]}`
			assert.NilError(t, putSpaces(kept))
			attachment := attach(t, w, "a1", "v")
			send := func(callSeq uint64) error {
				_, err := w.Transport("a1").Send(w.ctx, attachment.Token, "line/a", callSeq, []byte(fmt.Sprint(callSeq)))
				return err
			}
			_, cursor, _ := follow(w, "a1", attachment.Token, "", []string{"line/a"}, time.Second)
			assert.NilError(t, send(1))
			assert.NilError(t, send(2))
			assert.NilError(t, putSpaces(""))
			assert.Assert(t, apierror.HasCode(send(3), apierror.UnknownSpace))
			err := putSpaces(routine)
			assert.Assert(t, apierror.HasCode(err, apierror.ConfigurationInvalid), "a space was added again with another urgency: %v", err)
			leaderNode := busiest(w)
			w.Kill(leaderNode)
			time.Sleep(6 * time.Second)
			assert.NilError(t, w.Start(leaderNode))
			time.Sleep(w.Site.Timing.Spread)
			assert.NilError(t, putSpaces(live))
			assert.NilError(t, send(3))
			assert.NilError(t, putSpaces(""))
			assert.NilError(t, putSpaces(kept))
			assert.NilError(t, send(4))
			assert.NilError(t, send(3), "a repeat of the call that was accepted while the space was live")
			assert.NilError(t, send(6))
			assert.Assert(t, apierror.HasCode(send(5), apierror.CallPassed))
			calls, _, _ := follow(w, "c1", attach(t, w, "c1", "w").Token, cursor, []string{"line/a"}, 2*time.Second)
			assert.DeepEqual(t, calls, []uint64{1, 2, 4, 6})
		})
	}
}
