package caller

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
	"sapphirehead/internal/route"
)

var (
	deskRoute    = route.New("desk", route.KindChat, "runners").WithWorth(4)
	reportsRoute = route.New("reports", route.KindChat, "runners").WithWorth(1)
)

const offerCost = 2000

// gateRun offers desk and reports requests of each account in turn, a tick for
// each round, and counts what is admitted.
type gateRun struct {
	gate     *Gate
	accounts []*Account
	admitted map[string]int
}

func newGateRun(accounts ...*Account) *gateRun {
	random := rand.New(rand.NewPCG(1, 2))
	return &gateRun{gate: NewGate(random.Float64), accounts: accounts, admitted: map[string]int{}}
}

// offer offers so many requests of the account on the route at a queue.
func (run *gateRun) offer(account *Account, on route.Route, queue float64, times int) {
	for range times {
		if run.gate.Admit(NewOffer(account, on, queue, queue, offerCost)) == nil {
			run.admitted[account.Name()]++
			run.admitted[on.Name()]++
		}
	}
}

func (run *gateRun) tick() {
	run.gate.Tick()
	UpdateFairness(run.accounts)
}

func expectNotRun(t *testing.T, err error, leastRetryAfter clock.Millis) {
	t.Helper()
	var notRun *request.NotRunError
	require.ErrorAs(t, err, &notRun)
	require.GreaterOrEqual(t, notRun.RetryAfter(), leastRetryAfter)
}

func TestGate(t *testing.T) {
	account := func(name string) *Account { return NewAccount(name, 0) }
	t.Run("without a queue nothing is refused, however little it is worth", func(t *testing.T) {
		run := newGateRun(account("garage-north"))
		run.offer(run.accounts[0], deskRoute, 0, 10)
		run.tick()
		run.offer(run.accounts[0], reportsRoute, 0, 10)
		require.Equal(t, 10, run.admitted["reports"])
	})
	t.Run("past the target it is not run", func(t *testing.T) {
		run := newGateRun(account("garage-north"))
		late := float64(deskRoute.FirstToken()) + 700
		expectNotRun(t, run.gate.Admit(NewOffer(run.accounts[0], deskRoute, late, 0, offerCost)), 700)
	})
	t.Run("with a queue the least worth for its cost goes first", func(t *testing.T) {
		run := newGateRun(account("garage-north"))
		for range 15 {
			queue := 500.0
			if run.gate.RefusedShare() >= 0.2 {
				queue = wantedQueue
			}
			run.offer(run.accounts[0], deskRoute, queue, 5)
			run.offer(run.accounts[0], reportsRoute, queue, 5)
			run.tick()
		}
		require.Equal(t, 75, run.admitted["desk"])
		require.Less(t, run.admitted["reports"], 60)
	})
	t.Run("past all of the least worth, a share of the next goes", func(t *testing.T) {
		run := newGateRun(account("garage-north"))
		run.offer(run.accounts[0], deskRoute, 0, 10)
		run.offer(run.accounts[0], reportsRoute, 0, 10)
		require.Equal(t, &cut{bucket: bucketOf(2), share: 0.5}, run.gate.cutOf(0.75))
	})
	t.Run("an account within its share is served before one far above", func(t *testing.T) {
		run := newGateRun(account("large"), account("small"))
		for range 200 {
			run.offer(run.accounts[0], deskRoute, 200, 18)
			run.offer(run.accounts[1], deskRoute, 200, 2)
			run.tick()
		}
		large, small := float64(run.admitted["large"])/(200*18), float64(run.admitted["small"])/(200*2)
		require.Greater(t, small, large*1.3)
	})
	t.Run("shares are max-min", func(t *testing.T) {
		require.Equal(t, []float64{45, 45, 10}, maxMin([]float64{120, 60, 10}, 100))
	})
}
