package service_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/platform"
	"sapphirehead/internal/request"
	"sapphirehead/internal/service"
)

// ledgerFixture is two ledgers with one store, a map that can be made to fail.
type ledgerFixture struct {
	manual       *clock.Manual
	objects      map[string]version
	writes       int
	requestCount int
	loadErr      error
	loseResponse bool
	first        *service.Ledger
	second       *service.Ledger
}

func newLedgerFixture() *ledgerFixture {
	fixture := &ledgerFixture{manual: clock.NewManual(startTime), objects: map[string]version{}}
	ticks := clock.New(fixture.manual.Now, fixture.manual.Now, fixture.after)
	fixture.first = service.NewLedger(ticks, service.DefaultWindow, "entry-a/1", fixture.load, fixture.store)
	fixture.second = service.NewLedger(ticks, service.DefaultWindow, "entry-b/1", fixture.load, fixture.store).
		WithPeers(
			func(context.Context, service.Operation) (service.Verdict, bool) { return service.Verdict{}, false },
			func(_ context.Context, _, nonce string) bool { return fixture.first.NeverRuns(nonce) },
			func() int { return 2 },
			func(wait clock.Millis) clock.Millis { return wait },
		)
	return fixture
}

// after advances the clock at once over the short waits between two writes.
func (fixture *ledgerFixture) after(delay clock.Millis, fire func()) func() bool {
	if delay > clock.Second {
		return fixture.manual.AfterFunc(delay, fire)
	}
	fixture.manual.Advance(delay)
	fire()
	return func() bool { return false }
}

func (fixture *ledgerFixture) load(context.Context, string) (service.Shard, int64, error) {
	if fixture.loadErr != nil {
		fixture.manual.Advance(clock.Second)
		return service.Shard{}, 0, fixture.loadErr
	}
	object := fixture.objects["object"]
	return object.shard, object.number, nil
}

func (fixture *ledgerFixture) store(_ context.Context, _ string, shard service.Shard, condition int64) (int64, error) {
	if fixture.objects["object"].number != condition {
		return 0, platform.NewConflictError(platform.KindClaims, "object", condition)
	}
	fixture.writes++
	fixture.objects["object"] = version{shard: shard, number: condition + 1}
	if fixture.loseResponse {
		fixture.loseResponse = false
		fixture.manual.Advance(clock.Second)
		return 0, platform.NewUnavailableError(true, errDown)
	}
	return condition + 1, nil
}

// request returns a new request with the key.
func (fixture *ledgerFixture) request(key string) *request.Request {
	fixture.requestCount++
	id := fmt.Sprintf("req-%d", fixture.requestCount)
	return request.New(id, "garage", charge, key, request.Prompt{}, fixture.manual.Now()).WithFingerprint("f")
}

func expectClaim(t *testing.T, want request.Claim, ledger *service.Ledger, req *request.Request) string {
	t.Helper()
	claim, answer := ledger.Claim(t.Context(), req, false)
	require.Equal(t, want, claim)
	return string(answer.Body())
}

func expectRecord(t *testing.T, ledger *service.Ledger, req *request.Request, body string) {
	t.Helper()
	require.NoError(t, ledger.Record(t.Context(), req, service.NewAnswer(201, "text/plain", []byte(body)), false))
	ledger.End(req, false)
}

// claimed returns a fixture in which a request with the key holds the claim.
func claimed(t *testing.T, key string) (*ledgerFixture, *request.Request) {
	t.Helper()
	fixture := newLedgerFixture()
	req := fixture.request(key)
	expectClaim(t, request.ClaimGranted, fixture.first, req)
	return fixture, req
}

// TestRepeat checks the result of a repeat with the same key.
func TestRepeat(t *testing.T) {
	const key = "renewal-17"
	t.Run("a recorded outcome is replayed", func(t *testing.T) {
		fixture, req := claimed(t, key)
		expectRecord(t, fixture.first, req, "booked")
		require.Equal(t, "booked", expectClaim(t, request.ClaimRecorded, fixture.second, fixture.request(key)))
	})
	t.Run("no outcome: taken", func(t *testing.T) {
		fixture, req := claimed(t, key)
		fixture.first.End(req, false)
		expectClaim(t, request.ClaimTaken, fixture.second, fixture.request(key))
	})
	t.Run("an outcome that is too large is not kept", func(t *testing.T) {
		fixture, req := claimed(t, key)
		expectRecord(t, fixture.first, req, strings.Repeat("x", service.MaxRecordedBytes+1))
		expectClaim(t, request.ClaimNotKept, fixture.second, fixture.request(key))
	})
	t.Run("a different call is refused", func(t *testing.T) {
		fixture, req := claimed(t, key)
		expectRecord(t, fixture.first, req, "booked")
		expectClaim(t, request.ClaimMismatch, fixture.second, fixture.request(key).WithFingerprint("g"))
	})
	t.Run("an outcome that a peer node recorded is found", func(t *testing.T) {
		fixture, req := claimed(t, key)
		expectRecord(t, fixture.second, req, "booked")
		require.Equal(t, "booked", expectClaim(t, request.ClaimRecorded, fixture.first, fixture.request(key)))
	})
	t.Run("another client account's key is another key", func(t *testing.T) {
		fixture, _ := claimed(t, key)
		other := request.New("req-9", "workshop", charge, key, request.Prompt{}, 0)
		expectClaim(t, request.ClaimGranted, fixture.second, other)
	})
	t.Run("only the holder records", func(t *testing.T) {
		fixture, _ := claimed(t, key)
		require.Error(t, fixture.second.Record(t.Context(), fixture.request(key), service.NewAnswer(201, "", nil), false))
		expectClaim(t, request.ClaimTaken, fixture.second, fixture.request(key))
	})
	t.Run("not run, release not committed yet: the holder is queried", func(t *testing.T) {
		fixture, req := claimed(t, key)
		fixture.first.End(req, true)
		expectClaim(t, request.ClaimGranted, fixture.second, fixture.request(key))
	})
	t.Run("released: a claim that arrives late is refused", func(t *testing.T) {
		fixture, req := claimed(t, key)
		fixture.first.End(req, true)
		require.True(t, fixture.first.RetryBacklog(t.Context()))
		expectClaim(t, request.ClaimUnavailable, fixture.second, req)
		expectClaim(t, request.ClaimGranted, fixture.second, fixture.request(key))
	})
}

// TestAge checks keys older than the window.
func TestAge(t *testing.T) {
	dated := datedKeys(0)[0]
	t.Run("a dated key past the window is refused", func(t *testing.T) {
		fixture := newLedgerFixture()
		fixture.manual.Advance(service.DefaultWindow + 1)
		expectClaim(t, request.ClaimExpired, fixture.first, fixture.request(dated))
	})
	t.Run("a dated key from the future is refused", func(t *testing.T) {
		expectClaim(t, request.ClaimAhead, newLedgerFixture().first, newLedgerFixture().request(datedKeys(1)[0]))
	})
	t.Run("a later bucket replaces an earlier one for good", func(t *testing.T) {
		fixture, req := claimed(t, dated)
		expectRecord(t, fixture.first, req, "booked")
		place := service.NewKey("garage", dated).Place()
		later := service.NewOperation(service.OperationClaim, service.NewPlace(place.Object(), place.Epoch()+service.RingBuckets), "k", "req-9", "h", "f")
		require.Equal(t, request.ClaimGranted, fixture.second.HandleForwarded(t.Context(), later).Claim())
		expectClaim(t, request.ClaimExpired, fixture.second, fixture.request(dated))
	})
	t.Run("an undated key past the window is refused", func(t *testing.T) {
		fixture, req := claimed(t, "renewal-17")
		expectRecord(t, fixture.first, req, "booked")
		fixture.manual.Advance(service.DefaultWindow + 2*service.MaxAhead)
		expectClaim(t, request.ClaimGranted, fixture.first, fixture.request("renewal-190"))
		expectClaim(t, request.ClaimExpired, fixture.first, fixture.request("renewal-17"))
	})
}

// TestStoreFailures checks claims while the store fails.
func TestStoreFailures(t *testing.T) {
	const key = "renewal-17"
	t.Run("a lost response is resolved by a read", func(t *testing.T) {
		fixture := newLedgerFixture()
		fixture.loseResponse = true
		expectClaim(t, request.ClaimGranted, fixture.first, fixture.request(key))
		require.Equal(t, 1, fixture.writes)
	})
	t.Run("a lost response before an outage: not run, released later", func(t *testing.T) {
		fixture := newLedgerFixture()
		fixture.loseResponse, fixture.loadErr = true, platform.NewUnavailableError(false, errDown)
		req := fixture.request(key)
		fixture.objects["object"] = version{}
		expectClaim(t, request.ClaimUnavailable, fixture.first, req)
		fixture.first.End(req, true)
		fixture.loadErr = nil
		for !fixture.first.RetryBacklog(t.Context()) {
			fixture.manual.Advance(clock.Second)
		}
		expectClaim(t, request.ClaimGranted, fixture.second, fixture.request(key))
	})
	t.Run("an outcome is recorded once the store is back", func(t *testing.T) {
		fixture, req := claimed(t, key)
		fixture.loseResponse, fixture.loadErr = true, platform.NewUnavailableError(false, errDown)
		require.Error(t, fixture.first.Record(t.Context(), req, service.NewAnswer(201, "", []byte("booked")), false))
		fixture.loadErr = nil
		require.True(t, fixture.first.RetryBacklog(t.Context()))
		require.Equal(t, "booked", expectClaim(t, request.ClaimRecorded, fixture.second, fixture.request(key)))
	})
	t.Run("a store that was reset to an older state grants nothing", func(t *testing.T) {
		fixture, req := claimed(t, key)
		fixture.first.End(req, false)
		fixture.objects["object"] = version{}
		expectClaim(t, request.ClaimUnavailable, fixture.first, fixture.request(key))
	})
	t.Run("a call sent without a claim is recorded", func(t *testing.T) {
		fixture := newLedgerFixture()
		req := fixture.request(key)
		require.NoError(t, fixture.first.Record(t.Context(), req, service.NewAnswer(201, "", []byte("booked")), true))
		require.Equal(t, "booked", expectClaim(t, request.ClaimRecorded, fixture.second, fixture.request(key)))
	})
}

// TestFullShard fills one object up to its bounds.
func TestFullShard(t *testing.T) {
	const count = 10_000
	answer := service.NewAnswer(201, "text/plain", []byte(strings.Repeat("x", service.MaxRecordedBytes)))
	var claims, records []service.Operation
	for i := range count {
		key := service.NewKey("garage", fmt.Sprintf("renewal-%d", i))
		claim := service.NewOperation(service.OperationClaim, service.NewPlace("object", 0), key.ID(), key.ID(), "h", "f")
		record := service.NewOperation(service.OperationRecord, claim.Place(), key.ID(), key.ID(), "h", "f")
		claims, records = append(claims, claim), append(records, record.WithAnswer(answer, false))
	}
	shard, verdicts, _ := service.NewShard(0, nil, nil).Apply(claims, startTime, service.DefaultWindow)
	granted := len(shard.Claims())
	t.Run("a full object grants nothing", func(t *testing.T) {
		require.Greater(t, granted, 1_000)
		require.Less(t, granted, count)
		require.Equal(t, request.ClaimUnavailable, verdicts[granted].Claim())
	})
	t.Run("outcomes beyond the bound are not kept, and all claims fit", func(t *testing.T) {
		full, recorded, _ := shard.Apply(records[:granted], startTime, service.DefaultWindow)
		require.Equal(t, request.ClaimGranted, recorded[granted-1].Claim())
		require.Equal(t, service.StateRecorded, full.Claims()[records[0].ID()].State())
		require.Equal(t, service.StateNotKept, full.Claims()[records[granted-1].ID()].State())
	})
}

// TestGroupCommit checks that claims which arrive during a write are committed together
// in the next one.
func TestGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newLedgerFixture()
		gate := make(chan struct{})
		store := func(ctx context.Context, object string, shard service.Shard, condition int64) (int64, error) {
			<-gate
			return fixture.store(ctx, object, shard, condition)
		}
		ledger := service.NewLedger(fixture.manual.Clock(), service.DefaultWindow, "entry-a/1", fixture.load, store)
		for i := range 100 {
			req := fixture.request("renewal-17")
			if i > 0 {
				req = fixture.request("renewal-190")
			}
			go ledger.Claim(t.Context(), req, false)
			synctest.Wait()
		}
		gate <- struct{}{}
		gate <- struct{}{}
		synctest.Wait()
		require.Equal(t, 2, fixture.writes)
	})
}
