package edge_test

import (
	"context"
	"net/http"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/admission"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/node"
	"sapphirehead/internal/node/nodecast"
)

// overloadedPeer sends bulletins of a node at which requests of the account wait for long,
// until the returned function is called.
func overloadedPeer(t *testing.T, address, account string) (stop func()) {
	t.Helper()
	socket, err := nodecast.New("127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for sequence := int64(1); clock.System().Wait(ctx, 20) == nil; sequence++ {
			sums := admission.NewSums("engines", sequence, []admission.RankSums{admission.NewRankSums(0, 500, 500*1500, sequence, 0, 0, 2000)},
				[]admission.ClassSums{admission.NewClassSums(admission.NewClass(account, 0), 1000*sequence, 0, 1000*sequence)}).WithOverload()
			bulletin := node.NewBulletin("edge-9", socket.Address(), 1, sequence, clock.System().Wall(), false).WithAdmission([]admission.Sums{sums})
			if _, err := socket.Send(bulletin, []node.Receiver{node.NewReceiver("edge-1", address)}); err != nil {
				return
			}
		}
	}()
	return func() {
		cancel()
		<-ended
		require.NoError(t, socket.Close())
	}
}

// TestOverloadedPool guards against a node that serves what its peers have no room for, a
// refusal that does not say why, and one that outlasts the overload.
func TestOverloadedPool(t *testing.T) {
	fixture := newEmptyFixture(t)
	fixture.admissionByAccount = true
	fixture.testNode = fixture.startReady("edge-1")
	callUntil := func(status int) response {
		t.Helper()
		ctx, cancel := clock.System().WithTimeout(context.Background(), waitLimit)
		defer cancel()
		for clock.System().Wait(ctx, 5) == nil {
			if answer := fixture.call(http.MethodPost, "/chat/a"); answer.status == status {
				return answer
			}
		}
		require.FailNow(t, "no response with the status", "%d %s", status, fixture.log.tail())
		return response{}
	}
	callUntil(http.StatusOK)
	stop := overloadedPeer(t, fixture.node.BulletinAddress(), "garage")
	refused := callUntil(http.StatusServiceUnavailable)
	stop()
	wait, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.InDelta(t, 0.6, wait, 0.4)
	require.Contains(t, refused.body, "the pool is overloaded")
	fixture.log.await(`"bound":"admission"`, `"rank":0`, `"capacityPerSecond":`)
	callUntil(http.StatusOK)
}
