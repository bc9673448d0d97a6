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

// TestLeaderTasks checks that the lease holder reports runs, and never more than
// there were. It books once for each accepted call of the leader tasks until a
// window with a booking is reported: a window whose report would come too late is
// left out, so on a slow machine a single booking might never be reported.
func TestLeaderTasks(t *testing.T) {
	t.Parallel()
	fixture := newFixture(t)
	sent, reported := 0, 0
	for {
		call := fixture.nextCall()
		require.Equal(t, "edge-1", call.Holder())
		require.Positive(t, call.Fence())
		if call.Path() == "/usage" {
			counts := usageIn(t, call)
			require.Zero(t, counts["small"])
			if reported += counts["garage"]; reported > 0 {
				break
			}
		}
		require.Equal(t, http.StatusOK, fixture.call(http.MethodPost, "/book/a").status)
		sent++
	}
	require.LessOrEqual(t, reported, sent)
	require.Equal(t, sent, countRuns(fixture.apps))
	require.Zero(t, fixture.duty.Conflicts())
	require.Contains(t, fixture.store.Spec("sapphire-usage", "latest"), "garage")
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

// checker checks the calls of the leader tasks as they are accepted.
type checker struct {
	t       *testing.T
	holders map[int64]string
	latest  int64
}

func newChecker(t *testing.T) *checker { return &checker{t: t, holders: map[int64]string{}} }

// check checks that a call's fencing token belongs to one holder and is not
// lower than an earlier one.
func (checker *checker) check(call dutystandin.Call) {
	checker.t.Helper()
	if holder, ok := checker.holders[call.Fence()]; ok {
		require.Equal(checker.t, holder, call.Holder(), "fencing token %d", call.Fence())
	}
	checker.holders[call.Fence()] = call.Holder()
	require.GreaterOrEqual(checker.t, call.Fence(), checker.latest)
	checker.latest = call.Fence()
}

// awaitCallsOf checks accepted calls until the host has made count of them.
func (checker *checker) awaitCallsOf(fixture *fixture, host string, count int) {
	checker.t.Helper()
	for {
		call := fixture.nextCall()
		checker.check(call)
		if call.Holder() == host {
			if count--; count == 0 {
				return
			}
		}
	}
}

// newPair starts a node that runs the leader tasks, and a peer.
func newPair(t *testing.T) (fixture *fixture, peer *testNode, checker *checker) {
	t.Helper()
	fixture, checker = newFixture(t), newChecker(t)
	checker.awaitCallsOf(fixture, "edge-1", 1)
	return fixture, fixture.startReady("edge-2"), checker
}

// TestLeaderTasksHandOver checks that a peer takes over the leader tasks when their
// holder dies, stops or loses the store. Accepted calls must not carry an older
// fencing token than earlier ones, or the same token as another holder's, and a
// window must not be reported with two different counts.
func TestLeaderTasksHandOver(t *testing.T) {
	t.Parallel()
	expectHandOver := func(t *testing.T, disrupt func(fixture *fixture)) {
		t.Helper()
		t.Parallel()
		fixture, peer, checker := newPair(t)
		require.Equal(t, http.StatusOK, fixture.callAt(peer, http.MethodPost, "/book/a").status)
		disrupt(fixture)
		peer.log.await("lease on leader tasks changed", `"held":true`)
		checker.awaitCallsOf(fixture, "edge-2", 3)
		require.Zero(t, fixture.duty.Conflicts())
	}
	t.Run("the holder dies", func(t *testing.T) {
		expectHandOver(t, func(fixture *fixture) { fixture.kill() })
	})
	t.Run("the holder stops", func(t *testing.T) {
		expectHandOver(t, func(fixture *fixture) { fixture.stop() })
	})
	t.Run("the store refuses the holder", func(t *testing.T) {
		expectHandOver(t, func(fixture *fixture) {
			fixture.door.SetFault(storestandin.FaultBusy)
			fixture.log.await("lease on leader tasks changed", `"held":false`)
			require.Equal(t, http.StatusOK, fixture.call(http.MethodPost, "/book/b").status)
		})
	})
	t.Run("the store does not respond to the holder", func(t *testing.T) {
		expectHandOver(t, func(fixture *fixture) { fixture.door.SetFault(storestandin.FaultSilent) })
	})
	t.Run("the store's responses to the holder are lost", func(t *testing.T) {
		t.Parallel()
		fixture, _, checker := newPair(t)
		fixture.door.SetFault(storestandin.FaultLostResponse)
		fixture.log.await("cannot keep the lease on leader tasks")
		fixture.door.SetFault(storestandin.FaultNone)
		for range 3 {
			checker.check(fixture.nextCall())
		}
		require.Zero(t, fixture.duty.Conflicts())
	})
	t.Run("the holder's writes are applied late", func(t *testing.T) {
		t.Parallel()
		fixture, _, checker := newPair(t)
		fixture.door.SetFault(storestandin.FaultDelayed)
		fixture.log.await("cannot commit the usage")
		fixture.log.await("cannot keep the lease on leader tasks")
		fixture.door.SetFault(storestandin.FaultNone)
		checker.check(fixture.nextCall())
		require.Positive(t, fixture.store.ApplyDelayed())
		for range 3 {
			checker.check(fixture.nextCall())
		}
		require.Zero(t, fixture.duty.Conflicts())
	})
}

// TestLostUsageIsReportedAgain guards against a window that is reported twice with other
// counts after the store lost the first report (incident ONE).
func TestLostUsageIsReportedAgain(t *testing.T) {
	t.Parallel()
	// expectOnce lets a node report requests, restores the store to its state before, and
	// replaces the node by a new process.
	expectOnce := func(t *testing.T, peers ...string) {
		t.Helper()
		t.Parallel()
		fixture, checker := newFixture(t), newChecker(t)
		checker.awaitCallsOf(fixture, "edge-1", 1)
		for _, peer := range peers {
			fixture.startReady(peer)
		}
		var older *storestandin.Copy
		for reported := false; !reported; {
			older = fixture.store.Copy()
			require.Equal(t, http.StatusOK, fixture.call(http.MethodPost, "/book/a").status)
			call := fixture.nextCall()
			checker.check(call)
			reported = call.Path() == "/usage" && usageIn(t, call)["garage"] > 0
		}
		fixture.kill()
		require.NoError(t, fixture.awaitEnd())
		fixture.store.Restore(older)
		fixture.start("edge-1", fixture.store).log.awaitCount("usage reported", 8)
		require.Zero(t, fixture.duty.Conflicts())
	}
	t.Run("no other node knows of it", func(t *testing.T) { expectOnce(t) })
	t.Run("a peer knows of it", func(t *testing.T) { expectOnce(t, "edge-2") })
}

// TestLeaderTaskCallFaults checks that reports continue without conflicts after a
// call to the API was refused, was applied without a response, or is applied late.
func TestLeaderTaskCallFaults(t *testing.T) {
	t.Parallel()
	// expectOnce injects a fault into the API during one report and removes it.
	expectOnce := func(t *testing.T, fault dutystandin.Fault) {
		t.Helper()
		t.Parallel()
		fixture, checker := newFixture(t), newChecker(t)
		checker.check(fixture.nextCall())
		fixture.duty.SetFault(fault)
		fixture.log.await("cannot report the usage yet")
		fixture.duty.SetFault(dutystandin.FaultNone)
		checker.check(fixture.nextCall())
		fixture.duty.ApplyDelayed()
		for range 3 {
			checker.check(fixture.nextCall())
		}
		require.Zero(t, fixture.duty.Conflicts())
	}
	for name, fault := range map[string]dutystandin.Fault{
		"busy": dutystandin.FaultBusy, "over the rate": dutystandin.FaultRateLimited,
		"responses lost": dutystandin.FaultLostResponse, "calls applied late": dutystandin.FaultDelayed,
	} {
		t.Run(name, func(t *testing.T) { expectOnce(t, fault) })
	}
}

// TestUsageOfNodes checks that the lease holder's report includes the bookings at
// a peer.
func TestUsageOfNodes(t *testing.T) {
	t.Parallel()
	fixture, peer, checker := newPair(t)
	sent, maxReported := 0, 0
	for {
		call := fixture.nextCall()
		checker.check(call)
		if call.Path() == "/usage" {
			if maxReported = max(maxReported, usageIn(t, call)["garage"]); maxReported >= 2 {
				break
			}
		}
		for _, testNode := range []*testNode{fixture.testNode, peer} {
			require.Equal(t, http.StatusOK, fixture.callAt(testNode, http.MethodPost, "/book/a").status)
			sent++
		}
	}
	require.LessOrEqual(t, maxReported, sent)
	require.Zero(t, fixture.duty.Conflicts())
}

// TestDemandHandOver checks that a new lease holder without any requests plans
// for the demand that its predecessor stored.
func TestDemandHandOver(t *testing.T) {
	t.Parallel()
	fixture := newEmptyFixture(t)
	fixture.store.Set("config", "main", strings.Replace(testConfiguration, `{"name":"engines",`,
		`{"name":"engines","scaling":{"minCount":1,"maxCount":6,"startupS":4,"spotPrice":0.2,"zonePrices":{"lj-a":1,"lj-b":1}},`, 1))
	fixture.store.Set("sapphire-demand", "latest", `{"pools":{"engines":{"work":2.7,"guessed":false}}}`)
	fixture.testNode = fixture.startReady("edge-1")
	fixture.log.await("loaded the planned demand", "2.7")
	expectOrder(fixture, `"desiredCount":6,"spot":true`)
}

// expectOrder waits for an accepted order with the text.
func expectOrder(fixture *fixture, text string) {
	fixture.t.Helper()
	for {
		call := fixture.nextCall()
		if call.Path() == "/scale" && strings.Contains(call.Body(), text) {
			return
		}
	}
}

// TestFinalCountsAreReported checks that the lease holder reports the runs that a
// peer counted just before it ended, some of which only its final bulletins may
// contain.
func TestFinalCountsAreReported(t *testing.T) {
	t.Parallel()
	fixture, peer, checker := newPair(t)
	const booked = 40
	for range booked {
		require.Equal(t, http.StatusOK, fixture.callAt(peer, http.MethodPost, "/book/a").status)
	}
	peer.kill()
	require.NoError(t, peer.awaitEnd())
	for reported := 0; reported < booked; {
		call := fixture.nextCall()
		checker.check(call)
		if call.Path() == "/usage" {
			reported += usageIn(t, call)["garage"]
			require.LessOrEqual(t, reported, booked)
		}
	}
}

// TestBurstOfNewProcess checks that a node that restarts on its host does not
// start with a full bucket, which would grant an account's burst twice.
func TestBurstOfNewProcess(t *testing.T) {
	t.Parallel()
	fixture := newFixture(t)
	small := func(request *http.Request) { request.Header.Set("Authorization", "Token key-of-small") }
	for range 2 {
		require.Equal(t, http.StatusOK, fixture.call(http.MethodGet, "/look/a", small).status)
	}
	require.Equal(t, http.StatusTooManyRequests, fixture.call(http.MethodGet, "/look/a", small).status)
	fixture.kill()
	require.NoError(t, fixture.awaitEnd())
	restarted := fixture.startReady("edge-1")
	restarted.log.await("object of this node written", `"first":false`)
	// The rate of one token in a second may have admitted one request since.
	fixture.callAt(restarted, http.MethodGet, "/look/a", small)
	require.Equal(t, http.StatusTooManyRequests, fixture.callAt(restarted, http.MethodGet, "/look/a", small).status)
}
