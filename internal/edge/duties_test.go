package edge_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/standin/dutystandin"
	"sapphirehead/internal/standin/storestandin"
)

// TestDuties books once for each call of the duties until a window with a
// booking is reported. A window whose report would come too late is left out, so
// a single booking might never be reported on a slow machine.
func TestDuties(t *testing.T) {
	t.Parallel()
	world := newWorld(t)
	sent, reported := 0, 0
	for call := range world.duty.Accepted() {
		require.Equal(t, "edge-1", call.Holder())
		require.Positive(t, call.Fence())
		if call.Path() == "/usage" {
			counts := usageIn(t, call)
			require.Zero(t, counts["small"])
			if reported += counts["garage"]; reported > 0 {
				break
			}
		}
		require.Equal(t, http.StatusOK, world.call(http.MethodPost, "/book/a").status)
		sent++
	}
	require.LessOrEqual(t, reported, sent)
	require.Equal(t, sent, ran(world.apps))
	require.Zero(t, world.duty.Conflicts())
	require.Contains(t, world.store.Spec("sapphire-usage", "latest"), "garage")
}

// usageIn returns the counts by client account in a usage report.
func usageIn(t *testing.T, call dutystandin.Call) map[string]int {
	t.Helper()
	var report struct {
		Counts map[string]int `json:"counts"`
	}
	require.NoError(t, json.Unmarshal([]byte(call.Body()), &report))
	return report.Counts
}

// ledger checks the calls of the duties as they are accepted.
type ledger struct {
	t       *testing.T
	holders map[int64]string
	latest  int64
}

func newLedger(t *testing.T) *ledger { return &ledger{t: t, holders: map[int64]string{}} }

// take checks that a call's fencing number belongs to one holder and that none
// is lower than an earlier one.
func (ledger *ledger) take(call dutystandin.Call) {
	ledger.t.Helper()
	if known, ok := ledger.holders[call.Fence()]; ok {
		require.Equal(ledger.t, known, call.Holder(), "fencing number %d", call.Fence())
	}
	ledger.holders[call.Fence()] = call.Holder()
	require.GreaterOrEqual(ledger.t, call.Fence(), ledger.latest)
	ledger.latest = call.Fence()
}

// awaitCallsOf takes accepted calls until the host has made so many.
func (ledger *ledger) awaitCallsOf(duty *dutystandin.Duty, host string, count int) {
	ledger.t.Helper()
	for call := range duty.Accepted() {
		ledger.take(call)
		if call.Holder() == host {
			if count--; count == 0 {
				return
			}
		}
	}
}

// newPair starts a node that does the duties, and a fellow that it hears.
func newPair(t *testing.T) (world *world, fellow *member, ledger *ledger) {
	t.Helper()
	world, ledger = newWorld(t), newLedger(t)
	ledger.awaitCallsOf(world.duty, "edge-1", 1)
	return world, world.join("edge-2"), ledger
}

func TestDutiesChangeHands(t *testing.T) {
	t.Parallel()
	expectHandOver := func(t *testing.T, leave func(world *world)) {
		t.Helper()
		t.Parallel()
		world, fellow, ledger := newPair(t)
		require.Equal(t, http.StatusOK, world.callAt(fellow, http.MethodPost, "/book/a").status)
		leave(world)
		fellow.log.await("lease of the duties", `"held":true`)
		ledger.awaitCallsOf(world.duty, "edge-2", 3)
		require.Zero(t, world.duty.Conflicts())
	}
	t.Run("the holder dies", func(t *testing.T) {
		expectHandOver(t, func(world *world) { world.kill() })
	})
	t.Run("the holder stops", func(t *testing.T) {
		expectHandOver(t, func(world *world) { world.stop() })
	})
	t.Run("the store refuses the holder", func(t *testing.T) {
		expectHandOver(t, func(world *world) {
			world.door.Break(storestandin.FaultBusy)
			world.log.await("lease of the duties", `"held":false`)
			require.Equal(t, http.StatusOK, world.call(http.MethodPost, "/book/b").status)
		})
	})
	t.Run("the store does not answer the holder", func(t *testing.T) {
		expectHandOver(t, func(world *world) { world.door.Break(storestandin.FaultSilent) })
	})
	t.Run("the store's answers to the holder are lost", func(t *testing.T) {
		t.Parallel()
		world, _, ledger := newPair(t)
		world.door.Break(storestandin.FaultLost)
		world.log.await("lease of the duties can't be kept")
		world.door.Break(storestandin.FaultNone)
		for range 3 {
			ledger.take(<-world.duty.Accepted())
		}
		require.Zero(t, world.duty.Conflicts())
	})
	t.Run("the holder's writes come late", func(t *testing.T) {
		t.Parallel()
		world, _, ledger := newPair(t)
		world.door.Break(storestandin.FaultLate)
		world.log.await("usage can't be committed")
		world.log.await("lease of the duties can't be kept")
		world.door.Break(storestandin.FaultNone)
		ledger.take(<-world.duty.Accepted())
		require.Positive(t, world.store.Settle())
		for range 3 {
			ledger.take(<-world.duty.Accepted())
		}
		require.Zero(t, world.duty.Conflicts())
	})
}

func TestDutiesCalls(t *testing.T) {
	t.Parallel()
	// expectOnce breaks the API over one report and mends it.
	expectOnce := func(t *testing.T, fault dutystandin.Fault) {
		t.Helper()
		t.Parallel()
		world, ledger := newWorld(t), newLedger(t)
		ledger.take(<-world.duty.Accepted())
		world.duty.Break(fault)
		world.log.await("usage not reported yet")
		world.duty.Break(dutystandin.FaultNone)
		ledger.take(<-world.duty.Accepted())
		world.duty.Settle()
		for range 3 {
			ledger.take(<-world.duty.Accepted())
		}
		require.Zero(t, world.duty.Conflicts())
	}
	for name, fault := range map[string]dutystandin.Fault{
		"busy": dutystandin.FaultBusy, "over the rate": dutystandin.FaultRate,
		"answers lost": dutystandin.FaultLost, "calls done late": dutystandin.FaultLate,
	} {
		t.Run(name, func(t *testing.T) { expectOnce(t, fault) })
	}
}

// TestUsageOfNodes books at two nodes, and the holder of the duties reports both.
func TestUsageOfNodes(t *testing.T) {
	t.Parallel()
	world, fellow, ledger := newPair(t)
	sent, most := 0, 0
	for call := range world.duty.Accepted() {
		ledger.take(call)
		if call.Path() == "/usage" {
			if most = max(most, usageIn(t, call)["garage"]); most >= 2 {
				break
			}
		}
		for _, member := range []*member{world.member, fellow} {
			require.Equal(t, http.StatusOK, world.callAt(member, http.MethodPost, "/book/a").status)
			sent++
		}
	}
	require.LessOrEqual(t, most, sent)
	require.Zero(t, world.duty.Conflicts())
}

// TestDemandIsHandedOver checks that a successor plans for the demand that its
// predecessor stored, though it saw none itself.
func TestDemandIsHandedOver(t *testing.T) {
	t.Parallel()
	world := newEmptyWorld(t)
	world.store.Set("config", "main", strings.Replace(testConfiguration, `{"name":"engines",`,
		`{"name":"engines","scaling":{"minCount":1,"maxCount":6,"startupS":4,"spotPrice":0.2,"zonePrices":{"lj-a":1,"lj-b":1}},`, 1))
	world.store.Set("sapphire-demand", "latest", `{"pools":{"engines":{"work":2.7,"guessed":false}}}`)
	world.member = world.join("edge-1")
	world.log.await("planned demand recalled", "2.7")
	expectOrder(t, world.duty, `"desiredCount":6,"spot":true`)
}

// expectOrder waits for an accepted order with the text.
func expectOrder(t *testing.T, duty *dutystandin.Duty, text string) {
	t.Helper()
	for call := range duty.Accepted() {
		if call.Path() == "/scale" && strings.Contains(call.Body(), text) {
			return
		}
	}
}

// TestLastCountsAreTold checks that what a node counted just before it stops is
// reported by the holder of the duties.
func TestLastCountsAreTold(t *testing.T) {
	t.Parallel()
	world, fellow, ledger := newPair(t)
	const booked = 40
	for range booked {
		require.Equal(t, http.StatusOK, world.callAt(fellow, http.MethodPost, "/book/a").status)
	}
	fellow.kill()
	require.NoError(t, <-fellow.ended)
	for reported := 0; reported < booked; {
		call := <-world.duty.Accepted()
		ledger.take(call)
		if call.Path() == "/usage" {
			reported += usageIn(t, call)["garage"]
			require.LessOrEqual(t, reported, booked)
		}
	}
}

// TestBurstOfNewProcess checks that a node that starts again on its host does not
// hand out an account's burst once more.
func TestBurstOfNewProcess(t *testing.T) {
	t.Parallel()
	world := newWorld(t)
	small := func(request *http.Request) { request.Header.Set("Authorization", "Token key-of-small") }
	for range 2 {
		require.Equal(t, http.StatusOK, world.call(http.MethodGet, "/look/a", small).status)
	}
	require.Equal(t, http.StatusTooManyRequests, world.call(http.MethodGet, "/look/a", small).status)
	world.kill()
	require.NoError(t, <-world.ended)
	again := world.join("edge-1")
	again.log.await("object of this node written", `"first":false`)
	// The rate of one token in a second may have admitted one request since.
	world.callAt(again, http.MethodGet, "/look/a", small)
	require.Equal(t, http.StatusTooManyRequests, world.callAt(again, http.MethodGet, "/look/a", small).status)
}
