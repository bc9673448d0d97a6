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

// gateFixture is a gate with accounts. It counts the admitted requests by account
// and by route.
type gateFixture struct {
	gate     *Gate
	accounts []*Account
	admitted map[string]int
}

func newGateFixture(accounts ...*Account) *gateFixture {
	random := rand.New(rand.NewPCG(1, 2))
	return &gateFixture{gate: NewGate(random.Float64), accounts: accounts, admitted: map[string]int{}}
}

// offer offers a number of requests of the account on the route, with the
// estimated queue in milliseconds.
func (fixture *gateFixture) offer(account *Account, routeConfig route.Route, queue float64, times int) {
	for range times {
		if fixture.gate.Admit(NewOffer(account, routeConfig, queue, queue, offerCost)) == nil {
			fixture.admitted[account.Name()]++
			fixture.admitted[routeConfig.Name()]++
		}
	}
}

func (fixture *gateFixture) tick() {
	fixture.gate.Tick()
	UpdateFairness(fixture.accounts)
}

func expectNotRun(t *testing.T, err error, minRetryAfter clock.Millis) {
	t.Helper()
	var notRun *request.NotRunError
	require.ErrorAs(t, err, &notRun)
	require.GreaterOrEqual(t, notRun.RetryAfter(), minRetryAfter)
}

func TestGate(t *testing.T) {
	account := func(name string) *Account { return NewAccount(name, 0) }
	t.Run("without a queue nothing is refused", func(t *testing.T) {
		fixture := newGateFixture(account("garage-north"))
		fixture.offer(fixture.accounts[0], deskRoute, 0, 10)
		fixture.tick()
		fixture.offer(fixture.accounts[0], reportsRoute, 0, 10)
		require.Equal(t, 10, fixture.admitted["reports"])
	})
	t.Run("a request past its target is refused", func(t *testing.T) {
		fixture := newGateFixture(account("garage-north"))
		late := float64(deskRoute.FirstToken()) + 700
		expectNotRun(t, fixture.gate.Admit(NewOffer(fixture.accounts[0], deskRoute, late, 0, offerCost)), 700)
	})
	t.Run("with a queue the lowest density is refused first", func(t *testing.T) {
		fixture := newGateFixture(account("garage-north"))
		for range 15 {
			queue := 500.0
			if fixture.gate.RefusedShare() >= 0.2 {
				queue = targetQueueMillis
			}
			fixture.offer(fixture.accounts[0], deskRoute, queue, 5)
			fixture.offer(fixture.accounts[0], reportsRoute, queue, 5)
			fixture.tick()
		}
		require.Equal(t, 75, fixture.admitted["desk"])
		require.Less(t, fixture.admitted["reports"], 60)
	})
	t.Run("past the lowest density a share of the next is refused", func(t *testing.T) {
		fixture := newGateFixture(account("garage-north"))
		fixture.offer(fixture.accounts[0], deskRoute, 0, 10)
		fixture.offer(fixture.accounts[0], reportsRoute, 0, 10)
		require.Equal(t, &cutoff{bucket: bucketOf(2), share: 0.5}, fixture.gate.cutoffFor(0.75))
	})
	t.Run("an account within its fair share is refused less", func(t *testing.T) {
		fixture := newGateFixture(account("large"), account("small"))
		for range 200 {
			fixture.offer(fixture.accounts[0], deskRoute, 200, 18)
			fixture.offer(fixture.accounts[1], deskRoute, 200, 2)
			fixture.tick()
		}
		large, small := float64(fixture.admitted["large"])/(200*18), float64(fixture.admitted["small"])/(200*2)
		require.Greater(t, small, large*1.3)
	})
	t.Run("shares are max-min", func(t *testing.T) {
		require.Equal(t, []float64{45, 45, 10}, MaxMin([]float64{120, 60, 10}, nil, 100))
	})
	t.Run("shares follow the weights", func(t *testing.T) {
		require.Equal(t, []float64{60, 30, 10}, MaxMin([]float64{120, 60, 10}, []float64{2, 1, 1}, 100))
	})
}
