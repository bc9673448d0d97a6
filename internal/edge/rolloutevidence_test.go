package edge_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/operator/operatorhttp"
	"sapphirehead/internal/standin/enginestandin"
)

// counted returns what the node has counted of the new version's answers.
func (rolloutFixture *rolloutFixture) counted() (total operatorhttp.RolloutCountForm) {
	rolloutFixture.t.Helper()
	report, err := operatorhttp.Rollouts(rolloutFixture.t.Context(), clock.System(), rolloutFixture.node.Addresses()["metrics"], clock.Minute)
	require.NoError(rolloutFixture.t, err)
	require.Len(rolloutFixture.t, report.Rollouts, 1)
	for _, route := range report.Rollouts[0].Routes {
		total.Answers += route.Ordered.Answers
		total.Failed += route.Ordered.Failed
		total.Crashes += route.Ordered.Crashes
	}
	return total
}

// TestNoEvidence guards against the rollback of a good version for what shows nothing about
// it: refusals, servers that shed load, and answers lost without a crash.
func TestNoEvidence(t *testing.T) {
	t.Parallel()
	expectNone := func(t *testing.T, behaviour enginestandin.Behaviour, prepare func(*enginestandin.Engine)) {
		t.Helper()
		t.Parallel()
		fixture, nodes := newRolloutFixture(t, 1)
		fixture.seconds = longRolloutSeconds
		end := fixture.load(nodes)
		arrived := make(chan struct{}, 64)
		fixture.order(func() enginestandin.Behaviour {
			select {
			case arrived <- struct{}{}:
			default:
			}
			return behaviour
		})
		for _, engine := range fixture.added {
			prepare(engine)
		}
		// The new servers answer a few requests so, then good ones.
		for range 4 {
			awaitValue(fixture.testNode, "request at a new server", arrived)
		}
		for _, engine := range fixture.added {
			engine.SetNamedLimit("")
			engine.SetBehaviourFunc(nil)
		}
		fixture.log.await("rollout decision", decided("1", "promoted"))
		counted := fixture.counted()
		require.Positive(t, counted.Answers)
		require.Zero(t, counted.Failed)
		require.Zero(t, counted.Crashes)
		end()
	}
	t.Run("refused", func(t *testing.T) {
		expectNone(t, enginestandin.BehaviourRefuse, func(*enginestandin.Engine) {})
	})
	t.Run("busy, with a limit", func(t *testing.T) {
		expectNone(t, enginestandin.BehaviourBusy, func(engine *enginestandin.Engine) { engine.SetNamedLimit("1000") })
	})
	t.Run("lost without a crash", func(t *testing.T) {
		expectNone(t, enginestandin.BehaviourCut, func(*enginestandin.Engine) {})
	})
}

// TestCrashingVersion guards against a version whose servers crash and start again, and that
// is promoted as no answer shows a failure.
func TestCrashingVersion(t *testing.T) {
	t.Parallel()
	fixture, nodes := newRolloutFixture(t, 1)
	entries := map[string]string{}
	for i := range 2 {
		id := fmt.Sprint("new-", i)
		var handler http.Handler
		handler = http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
			if !strings.HasPrefix(request.URL.Path, "/look/") {
				return
			}
			fixture.end([]string{id})
			fixture.store.Set("servers", id, fixture.entry(handler, id, "v2"))
			panic(http.ErrAbortHandler)
		})
		entries[id] = fixture.entry(handler, id, "v2")
	}
	end := fixture.load(nodes)
	fixture.orderServers(entries)
	fixture.awaitState(fixture.testNode, "rolledBack")
	require.Contains(t, fixture.store.Status("rollouts", "app"), "crashes on")
	require.GreaterOrEqual(t, fixture.counted().Crashes, 3.0)
	end()
}

// TestNoRemovalDuringRollout guards against an autoscaler that takes the doubled servers of
// a pool for too many and removes some.
func TestNoRemovalDuringRollout(t *testing.T) {
	t.Parallel()
	fixture, _ := newRolloutFixture(t, 0)
	fixture.store.Set("config", "main", strings.Replace(testConfiguration, `{"name":"app"}`,
		`{"name":"app","scaling":{"minCount":1,"maxCount":6,"startupS":4,"spotPrice":0.2,"zonePrices":{"lj-a":1}}}`, 1))
	fixture.store.Set("sapphire-demand", "latest", `{"pools":{"app":{"work":0.1,"guessed":false}}}`)
	fixture.order(serves)
	fixture.testNode = fixture.startReady("edge-1")
	for {
		call := fixture.nextCall()
		if call.Path() == "/scale" && strings.Contains(call.Body(), `"desiredCount":1}`) {
			break
		}
	}
	require.Equal(t, []string{"serving", "succeeded"}, fixture.store.States(fixture.rollout))
}
