package platformhttp_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/platform/platformhttp"
	"sapphirehead/internal/request"
	"sapphirehead/internal/route"
	"sapphirehead/internal/service"
)

func expectRoundTrip(t *testing.T, shard service.Shard) []byte {
	t.Helper()
	body, err := platformhttp.EncodeShard(shard)
	require.NoError(t, err)
	decoded, err := platformhttp.DecodeShard(body)
	require.NoError(t, err)
	require.Equal(t, shard, decoded)
	return body
}

// fullShards returns a shard filled with claims up to its bound, and the shard after an
// answer of the size was recorded for each claim.
func fullShards(epoch int64, answerBytes int) (claims, outcomes service.Shard) {
	const claimCount = 4_000
	answer := service.NewAnswer(201, strings.Repeat("<", 100), []byte(strings.Repeat("\x00", answerBytes)))
	var taken, recorded []service.Operation
	for i := range claimCount {
		key := service.NewKey("garage", fmt.Sprint(i))
		claim := service.NewOperation(service.OperationClaim, service.NewPlace("object", epoch), key.ID(), "req-0123456789abcdef01234567", "entry-a/1729209600000", "60303ae22b998861")
		record := service.NewOperation(service.OperationRecord, claim.Place(), key.ID(), claim.Nonce(), "", "")
		taken, recorded = append(taken, claim), append(recorded, record.WithAnswer(answer, false))
	}
	claims, _, _ = service.NewShard(epoch, map[string]service.Claim{}, nil).Apply(taken, 1_729_209_600_000, service.DefaultWindow)
	outcomes, _, _ = claims.Apply(recorded, 1_729_209_600_000, service.DefaultWindow)
	return claims, outcomes
}

// TestStoredForm checks that encoding and decoding preserve a shard, and that a
// full one stays within the platform's limit of 1 MB.
func TestStoredForm(t *testing.T) {
	const limit = 1_000_000
	t.Run("empty", func(t *testing.T) {
		expectRoundTrip(t, service.NewShard(0, map[string]service.Claim{}, nil))
	})
	t.Run("each state", func(t *testing.T) {
		claim := service.NewClaim("req-1", "entry-a/1", "f", 1000)
		expectRoundTrip(t, service.NewShard(7, map[string]service.Claim{
			"a": claim, "b": claim.WithState(service.StateReleased), "c": claim.WithState(service.StateNotKept),
			"d": claim.WithAnswer(service.NewAnswer(201, "text/plain", []byte("booked"))),
		}, []uint64{1, 1 << 63}))
	})
	t.Run("a full object fits", func(t *testing.T) {
		forgotten := make([]uint64, service.MaxForgotten)
		for i := range forgotten {
			forgotten[i] = uint64(i) << 40
		}
		for _, size := range []int{0, 100, 1000, service.MaxRecordedBytes} {
			_, outcomes := fullShards(0, size)
			full := service.NewShard(0, outcomes.Claims(), forgotten)
			body, err := platformhttp.EncodeShard(full)
			require.NoError(t, err)
			require.LessOrEqual(t, len(body), limit, "answers of %d bytes", size)
		}
	})
	t.Run("an unknown state is an error", func(t *testing.T) {
		_, err := platformhttp.DecodeShard([]byte(`{"claims": {"a": {"state": "lost"}}}`))
		require.Error(t, err)
	})
}

// BenchmarkClaims claims and records keys at one node, with the number of concurrent
// callers in its name. The store holds encoded objects in memory, and each write to
// it takes 5 ms.
func BenchmarkClaims(b *testing.B) {
	for _, callers := range []int{1, 16, 64, 256} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) { benchmarkClaims(b, callers) })
	}
}

func benchmarkClaims(b *testing.B, callers int) {
	const writeTime = 5 * clock.Millisecond
	ticks := clock.System()
	var mutex sync.Mutex
	objects, versions := map[string][]byte{}, map[string]int64{}
	var stored atomic.Int64
	load := func(_ context.Context, object string) (service.Shard, int64, error) {
		mutex.Lock()
		defer mutex.Unlock()
		if versions[object] == 0 {
			return service.NewShard(0, nil, nil), 0, nil
		}
		shard, err := platformhttp.DecodeShard(objects[object])
		return shard, versions[object], err
	}
	store := func(ctx context.Context, object string, shard service.Shard, condition int64) (int64, error) {
		body, err := platformhttp.EncodeShard(shard)
		ticks.Wait(ctx, writeTime)
		stored.Add(int64(len(body)))
		mutex.Lock()
		defer mutex.Unlock()
		objects[object], versions[object] = body, condition+1
		return condition + 1, err
	}
	ledger := service.NewLedger(ticks, service.DefaultWindow, "entry-a/1729209600000", load, store)
	charge := route.New("charges", route.KindService, "booking").WithNonIdempotent(true)
	answer := service.NewAnswer(201, "application/json", []byte(strings.Repeat("x", 200)))
	var serial atomic.Int64
	var group sync.WaitGroup
	b.ResetTimer()
	for range callers {
		group.Go(func() {
			for i := serial.Add(1); i <= int64(b.N); i = serial.Add(1) {
				key := fmt.Sprintf("%08x-%04x-7000-8000-%012x", int64(ticks.Wall())>>16, int64(ticks.Wall())&0xffff, i)
				req := request.New(fmt.Sprintf("req-%024d", i), "garage", charge, key, request.Prompt{}, ticks.Now()).WithFingerprint("60303ae22b998861")
				if claim, _ := ledger.Claim(b.Context(), req, false); claim == request.ClaimGranted {
					_ = ledger.Record(b.Context(), req, answer, false)
				}
				ledger.End(req, false)
			}
		})
	}
	group.Wait()
	writes, operations := ledger.Writes()
	b.ReportMetric(float64(operations)/float64(writes), "operations/write")
	b.ReportMetric(float64(stored.Load())/float64(writes), "B/write")
	b.ReportMetric(float64(writes)/b.Elapsed().Seconds(), "writes/s")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
}

// BenchmarkStoredForm encodes and decodes an object of 600 recorded claims.
func BenchmarkStoredForm(b *testing.B) {
	const claims = 600
	answer := service.NewAnswer(201, "application/json", []byte(strings.Repeat("x", 200)))
	recorded := map[string]service.Claim{}
	for i := range claims {
		claim := service.NewClaim(fmt.Sprintf("req-%024d", i), "", "60303ae22b998861", 1_729_209_600_000)
		recorded[service.NewKey("garage", fmt.Sprint(i)).ID()] = claim.WithAnswer(answer)
	}
	shard := service.NewShard(1, recorded, nil)
	body, _ := platformhttp.EncodeShard(shard)
	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			_, _ = platformhttp.EncodeShard(shard)
		}
		b.ReportMetric(float64(len(body))/claims, "B/claim")
	})
	b.Run("decode", func(b *testing.B) {
		for b.Loop() {
			_, _ = platformhttp.DecodeShard(body)
		}
	})
}
