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

// bench is two ledgers over one store that is a map and fails on demand.
type bench struct {
	manual  *clock.Manual
	objects map[string]version
	writes  int
	serial  int
	loadErr error
	lose    bool
	first   *service.Ledger
	second  *service.Ledger
}

func newBench() *bench {
	bench := &bench{manual: clock.NewManual(firstDay), objects: map[string]version{}}
	ticks := clock.New(bench.manual.Now, bench.manual.Now, bench.after)
	bench.first = service.NewLedger(ticks, service.DefaultWindow, "entry-a/1", bench.load, bench.store)
	bench.second = service.NewLedger(ticks, service.DefaultWindow, "entry-b/1", bench.load, bench.store).
		WithPeers(
			func(context.Context, service.Operation) (service.Verdict, bool) { return service.Verdict{}, false },
			func(_ context.Context, _, nonce string) bool { return bench.first.NeverRuns(nonce) },
			func() int { return 2 },
			func(wait clock.Millis) clock.Millis { return wait },
		)
	return bench
}

// after lets the short waits between two tries pass at once.
func (bench *bench) after(delay clock.Millis, fire func()) func() bool {
	if delay > clock.Second {
		return bench.manual.AfterFunc(delay, fire)
	}
	bench.manual.Advance(delay)
	fire()
	return func() bool { return false }
}

func (bench *bench) load(context.Context, string) (service.Shard, int64, error) {
	if bench.loadErr != nil {
		bench.manual.Advance(clock.Second)
		return service.Shard{}, 0, bench.loadErr
	}
	object := bench.objects["object"]
	return object.shard, object.number, nil
}

func (bench *bench) store(_ context.Context, _ string, shard service.Shard, condition int64) (int64, error) {
	if bench.objects["object"].number != condition {
		return 0, platform.NewConflictError(platform.KindClaims, "object", condition)
	}
	bench.writes++
	bench.objects["object"] = version{shard: shard, number: condition + 1}
	if bench.lose {
		bench.lose = false
		bench.manual.Advance(clock.Second)
		return 0, platform.NewUnavailableError(true, errDown)
	}
	return condition + 1, nil
}

// request returns a new request with the key.
func (bench *bench) request(key string) *request.Request {
	bench.serial++
	id := fmt.Sprintf("req-%d", bench.serial)
	return request.New(id, "garage", charge, key, request.Prompt{}, bench.manual.Now()).WithFingerprint("f")
}

func expectClaim(t *testing.T, want request.Claim, ledger *service.Ledger, to *request.Request) string {
	t.Helper()
	claim, answer := ledger.Claim(t.Context(), to, false)
	require.Equal(t, want, claim)
	return string(answer.Body())
}

func expectRecord(t *testing.T, ledger *service.Ledger, to *request.Request, body string) {
	t.Helper()
	require.NoError(t, ledger.Record(t.Context(), to, service.NewAnswer(201, "text/plain", []byte(body)), false))
	ledger.End(to, false)
}

// claimed returns a bench where a request with the key holds the claim.
func claimed(t *testing.T, key string) (*bench, *request.Request) {
	t.Helper()
	bench := newBench()
	to := bench.request(key)
	expectClaim(t, request.ClaimGranted, bench.first, to)
	return bench, to
}

// TestRepeat checks what a repeat of a key gets.
func TestRepeat(t *testing.T) {
	const key = "renewal-17"
	t.Run("a recorded outcome is given again", func(t *testing.T) {
		bench, to := claimed(t, key)
		expectRecord(t, bench.first, to, "booked")
		require.Equal(t, "booked", expectClaim(t, request.ClaimRecorded, bench.second, bench.request(key)))
	})
	t.Run("no outcome: taken", func(t *testing.T) {
		bench, to := claimed(t, key)
		bench.first.End(to, false)
		expectClaim(t, request.ClaimTaken, bench.second, bench.request(key))
	})
	t.Run("an outcome that is too large is not kept", func(t *testing.T) {
		bench, to := claimed(t, key)
		expectRecord(t, bench.first, to, strings.Repeat("x", service.MaxRecordedBytes+1))
		expectClaim(t, request.ClaimNotKept, bench.second, bench.request(key))
	})
	t.Run("a different call is refused", func(t *testing.T) {
		bench, to := claimed(t, key)
		expectRecord(t, bench.first, to, "booked")
		expectClaim(t, request.ClaimMismatch, bench.second, bench.request(key).WithFingerprint("g"))
	})
	t.Run("an outcome that a fellow node recorded is found", func(t *testing.T) {
		bench, to := claimed(t, key)
		expectRecord(t, bench.second, to, "booked")
		require.Equal(t, "booked", expectClaim(t, request.ClaimRecorded, bench.first, bench.request(key)))
	})
	t.Run("another client account's key is another key", func(t *testing.T) {
		bench, _ := claimed(t, key)
		other := request.New("req-9", "workshop", charge, key, request.Prompt{}, 0)
		expectClaim(t, request.ClaimGranted, bench.second, other)
	})
	t.Run("only the holder records", func(t *testing.T) {
		bench, _ := claimed(t, key)
		require.Error(t, bench.second.Record(t.Context(), bench.request(key), service.NewAnswer(201, "", nil), false))
		expectClaim(t, request.ClaimTaken, bench.second, bench.request(key))
	})
	t.Run("not run, release on the way: the holder is asked", func(t *testing.T) {
		bench, to := claimed(t, key)
		bench.first.End(to, true)
		expectClaim(t, request.ClaimGranted, bench.second, bench.request(key))
	})
	t.Run("released: a late copy of the claim is refused", func(t *testing.T) {
		bench, to := claimed(t, key)
		bench.first.End(to, true)
		require.True(t, bench.first.RetryBacklog(t.Context()))
		expectClaim(t, request.ClaimUnavailable, bench.second, to)
		expectClaim(t, request.ClaimGranted, bench.second, bench.request(key))
	})
}

// TestAge checks keys older than the window.
func TestAge(t *testing.T) {
	dated := datedKeys(0)[0]
	t.Run("a dated key past the window is refused", func(t *testing.T) {
		bench := newBench()
		bench.manual.Advance(service.DefaultWindow + 1)
		expectClaim(t, request.ClaimExpired, bench.first, bench.request(dated))
	})
	t.Run("a dated key far ahead is refused", func(t *testing.T) {
		expectClaim(t, request.ClaimAhead, newBench().first, newBench().request(datedKeys(1)[0]))
	})
	t.Run("a later bucket takes the object over for good", func(t *testing.T) {
		bench, to := claimed(t, dated)
		expectRecord(t, bench.first, to, "booked")
		place := service.NewKey("garage", dated).Place()
		later := service.NewOperation(service.OperationClaim, service.NewPlace(place.Object(), place.Epoch()+service.RingBuckets), "k", "req-9", "h", "f")
		require.Equal(t, request.ClaimGranted, bench.second.HandleForwarded(t.Context(), later).Claim())
		expectClaim(t, request.ClaimExpired, bench.second, bench.request(dated))
	})
	t.Run("an undated key past the window is refused", func(t *testing.T) {
		bench, to := claimed(t, "renewal-17")
		expectRecord(t, bench.first, to, "booked")
		bench.manual.Advance(service.DefaultWindow + 2*service.MaxAhead)
		expectClaim(t, request.ClaimGranted, bench.first, bench.request("renewal-190"))
		expectClaim(t, request.ClaimExpired, bench.first, bench.request("renewal-17"))
	})
}

// TestTrouble checks what a claim becomes when the store fails.
func TestTrouble(t *testing.T) {
	const key = "renewal-17"
	t.Run("a lost answer is settled by reading back", func(t *testing.T) {
		bench := newBench()
		bench.lose = true
		expectClaim(t, request.ClaimGranted, bench.first, bench.request(key))
		require.Equal(t, 1, bench.writes)
	})
	t.Run("a lost answer before an outage: not run, released later", func(t *testing.T) {
		bench := newBench()
		bench.lose, bench.loadErr = true, platform.NewUnavailableError(false, errDown)
		to := bench.request(key)
		bench.objects["object"] = version{}
		expectClaim(t, request.ClaimUnavailable, bench.first, to)
		bench.first.End(to, true)
		bench.loadErr = nil
		for !bench.first.RetryBacklog(t.Context()) {
			bench.manual.Advance(clock.Second)
		}
		expectClaim(t, request.ClaimGranted, bench.second, bench.request(key))
	})
	t.Run("an outcome is recorded once the store is back", func(t *testing.T) {
		bench, to := claimed(t, key)
		bench.lose, bench.loadErr = true, platform.NewUnavailableError(false, errDown)
		require.Error(t, bench.first.Record(t.Context(), to, service.NewAnswer(201, "", []byte("booked")), false))
		bench.loadErr = nil
		require.True(t, bench.first.RetryBacklog(t.Context()))
		require.Equal(t, "booked", expectClaim(t, request.ClaimRecorded, bench.second, bench.request(key)))
	})
	t.Run("a store that comes back older grants nothing", func(t *testing.T) {
		bench, to := claimed(t, key)
		bench.first.End(to, false)
		bench.objects["object"] = version{}
		expectClaim(t, request.ClaimUnavailable, bench.first, bench.request(key))
	})
	t.Run("a call sent without a claim is recorded", func(t *testing.T) {
		bench := newBench()
		to := bench.request(key)
		require.NoError(t, bench.first.Record(t.Context(), to, service.NewAnswer(201, "", []byte("booked")), true))
		require.Equal(t, "booked", expectClaim(t, request.ClaimRecorded, bench.second, bench.request(key)))
	})
}

// TestRoom fills one object.
func TestRoom(t *testing.T) {
	const count = 10_000
	answer := service.NewAnswer(201, "text/plain", []byte(strings.Repeat("x", service.MaxRecordedBytes)))
	var claims, records []service.Operation
	for i := range count {
		key := service.NewKey("garage", fmt.Sprintf("renewal-%d", i))
		claim := service.NewOperation(service.OperationClaim, service.NewPlace("object", 0), key.ID(), key.ID(), "h", "f")
		record := service.NewOperation(service.OperationRecord, claim.Place(), key.ID(), key.ID(), "h", "f")
		claims, records = append(claims, claim), append(records, record.WithAnswer(answer, false))
	}
	shard, granted, _ := service.NewShard(0, nil, nil).Apply(claims, firstDay, service.DefaultWindow)
	held := len(shard.Claims())
	t.Run("an object without room grants nothing", func(t *testing.T) {
		require.Greater(t, held, 1_000)
		require.Less(t, held, count)
		require.Equal(t, request.ClaimUnavailable, granted[held].Claim())
	})
	t.Run("outcomes beyond the room are not kept, and all claims fit", func(t *testing.T) {
		full, recorded, _ := shard.Apply(records[:held], firstDay, service.DefaultWindow)
		require.Equal(t, request.ClaimGranted, recorded[held-1].Claim())
		require.Equal(t, service.StateRecorded, full.Claims()[records[0].ID()].State())
		require.Equal(t, service.StateNotKept, full.Claims()[records[held-1].ID()].State())
	})
}

// TestGroup checks that claims which arrive during a write share the next one.
func TestGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bench := newBench()
		gate := make(chan struct{})
		store := func(ctx context.Context, object string, shard service.Shard, condition int64) (int64, error) {
			<-gate
			return bench.store(ctx, object, shard, condition)
		}
		ledger := service.NewLedger(bench.manual.Clock(), service.DefaultWindow, "entry-a/1", bench.load, store)
		for i := range 100 {
			to := bench.request("renewal-17")
			if i > 0 {
				to = bench.request("renewal-190")
			}
			go ledger.Claim(t.Context(), to, false)
			synctest.Wait()
		}
		gate <- struct{}{}
		gate <- struct{}{}
		synctest.Wait()
		require.Equal(t, 2, bench.writes)
	})
}
