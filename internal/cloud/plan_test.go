package cloud_test

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sapphirehead/internal/cloud"
)

var testOffers = []cloud.Offer{
	cloud.NewOffer("lj-a", "gpu", true, 1.0),
	cloud.NewOffer("lj-b", "gpu", true, 1.1),
	cloud.NewOffer("lj-c", "gpu", true, 1.2),
	cloud.NewOffer("lj-a", "gpu", false, 3.0),
	cloud.NewOffer("lj-b", "gpu-large", true, 0.9),
}

var gpuClass = []string{"gpu"}

func plainPrice(offer cloud.Offer) float64 { return offer.Price() }

func neverBlocked(cloud.Kind) bool { return false }

// readyHosts returns ready hosts of the offer.
func readyHosts(offer cloud.Offer, ids ...string) []cloud.Host {
	var hosts []cloud.Host
	for _, id := range ids {
		hosts = append(hosts, cloud.NewHost(id, "runners", offer, false).WithReady(true))
	}
	return hosts
}

// expectPlan checks the number of hosts started through each offer and the ids of
// the drained ones.
func expectPlan(t *testing.T, plan cloud.Plan, starts map[cloud.Offer]int, drains ...string) {
	t.Helper()
	got := map[cloud.Offer]int{}
	for _, offer := range plan.Starts() {
		got[offer]++
	}
	require.Equal(t, starts, got, "starts")
	var drained []string
	for _, host := range plan.Drains() {
		drained = append(drained, host.ID())
	}
	require.Equal(t, drains, drained, "drains")
}

func TestPlan(t *testing.T) {
	planner := cloud.NewPlanner(plainPrice, neverBlocked)
	blocked := func(kinds ...cloud.Kind) *cloud.Planner {
		return cloud.NewPlanner(plainPrice, func(kind cloud.Kind) bool { return slices.Contains(kinds, kind) })
	}
	none := map[cloud.Offer]int{}
	t.Run("the whole need is protected: spread with headroom, not on demand", func(t *testing.T) {
		plan := planner.Plan(cloud.NewNeed(4, 4, 20, gpuClass), testOffers, nil)
		expectPlan(t, plan, map[cloud.Offer]int{testOffers[0]: 2, testOffers[1]: 2, testOffers[2]: 2})
		require.Equal(t, 4, plan.Protected())
	})
	t.Run("nothing protected: the cheapest", func(t *testing.T) {
		expectPlan(t, planner.Plan(cloud.NewNeed(4, 0, 20, gpuClass), testOffers, nil), map[cloud.Offer]int{testOffers[0]: 4})
	})
	t.Run("another class of the pool is cheaper", func(t *testing.T) {
		plan := planner.Plan(cloud.NewNeed(4, 0, 20, []string{"gpu", "gpu-large"}), testOffers, nil)
		expectPlan(t, plan, map[cloud.Offer]int{testOffers[4]: 4})
	})
	t.Run("a refused data centre is left out", func(t *testing.T) {
		plan := blocked(testOffers[0].Kind()).Plan(cloud.NewNeed(4, 2, 20, gpuClass), testOffers, nil)
		expectPlan(t, plan, map[cloud.Offer]int{testOffers[1]: 2, testOffers[2]: 2})
	})
	t.Run("every reclaimable kind is refused: on demand for the protected need only", func(t *testing.T) {
		plan := blocked(testOffers[0].Kind(), testOffers[1].Kind(), testOffers[2].Kind()).Plan(cloud.NewNeed(6, 3, 20, gpuClass), testOffers, nil)
		expectPlan(t, plan, map[cloud.Offer]int{testOffers[3]: 3})
	})
	t.Run("every kind is refused: running hosts stay", func(t *testing.T) {
		all := blocked(testOffers[0].Kind(), testOffers[1].Kind(), testOffers[2].Kind(), testOffers[3].Kind())
		expectPlan(t, all.Plan(cloud.NewNeed(6, 3, 20, gpuClass), testOffers, readyHosts(testOffers[0], "h1", "h2")), none)
	})
	t.Run("small differences of price replace no hosts", func(t *testing.T) {
		expectPlan(t, planner.Plan(cloud.NewNeed(2, 0, 20, gpuClass), testOffers, readyHosts(testOffers[2], "h1", "h2")), none)
	})
	t.Run("the most expensive are drained when the need falls", func(t *testing.T) {
		hosts := append(readyHosts(testOffers[0], "h1", "h2"), readyHosts(testOffers[3], "h3")...)
		expectPlan(t, planner.Plan(cloud.NewNeed(2, 0, 20, gpuClass), testOffers, hosts), none, "h3")
	})
	t.Run("a host is drained only once its replacement is ready", func(t *testing.T) {
		hosts := readyHosts(testOffers[3], "h3")
		need := cloud.NewNeed(1, 0, 20, gpuClass)
		expectPlan(t, planner.Plan(need, testOffers, hosts), map[cloud.Offer]int{testOffers[0]: 1})
		hosts = append(hosts, cloud.NewHost("h4", "runners", testOffers[0], false))
		expectPlan(t, planner.Plan(need, testOffers, hosts), none)
		hosts[1] = hosts[1].WithReady(true)
		expectPlan(t, planner.Plan(need, testOffers, hosts), none, "h3")
	})
	t.Run("unmanaged hosts count and stay", func(t *testing.T) {
		hosts := []cloud.Host{cloud.NewHost("other", "runners", testOffers[0].WithPrice(0), false).WithReady(true).WithUnmanaged(true)}
		expectPlan(t, planner.Plan(cloud.NewNeed(2, 0, 20, gpuClass), testOffers, hosts), map[cloud.Offer]int{testOffers[0]: 1})
		expectPlan(t, planner.Plan(cloud.NewNeed(0, 0, 20, gpuClass), testOffers, hosts), none)
	})
	t.Run("no more than the pool allows", func(t *testing.T) {
		plan := planner.Plan(cloud.NewNeed(9, 9, 4, gpuClass), testOffers, nil)
		require.Len(t, plan.Starts(), 4)
	})
}

// surviving returns the number of hosts that remain after any data centre reclaims
// its hosts.
func surviving(counts []int) int {
	total, lost := 0, map[string]int{}
	largestLoss := 0
	for i, count := range counts {
		total += count
		if testOffers[i].Reclaimable() {
			lost[testOffers[i].DataCentre()] += count
			largestLoss = max(largestLoss, lost[testOffers[i].DataCentre()])
		}
	}
	return total - largestLoss
}

// leastCost returns the cost of the cheapest mix of the first four offers, by
// trying every one.
func leastCost(target, protected, maxHosts int) float64 {
	best := math.Inf(1)
	for code := range int(math.Pow(float64(maxHosts+1), 4)) {
		counts := []int{code % (maxHosts + 1), code / (maxHosts + 1) % (maxHosts + 1), code / (maxHosts + 1) / (maxHosts + 1) % (maxHosts + 1), code / (maxHosts + 1) / (maxHosts + 1) / (maxHosts + 1)}
		total, cost := 0, 0.0
		for i, count := range counts {
			total += count
			cost += float64(count) * testOffers[i].Price()
		}
		if total >= target && total <= maxHosts && surviving(counts) >= protected && counts[3] <= protected {
			best = min(best, cost)
		}
	}
	return best
}

// TestPlanIsCheapest compares the plan with an exhaustive search over all mixes.
func TestPlanIsCheapest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxHosts := rapid.IntRange(1, 9).Draw(t, "max")
		target := rapid.IntRange(0, maxHosts).Draw(t, "target")
		protected := rapid.IntRange(0, target).Draw(t, "protected")
		plan := cloud.NewPlanner(plainPrice, neverBlocked).Plan(cloud.NewNeed(target, protected, maxHosts, gpuClass), testOffers, nil)
		counts, cost := make([]int, 4), 0.0
		for _, offer := range plan.Starts() {
			counts[slices.Index(testOffers, offer)]++
			cost += offer.Price()
		}
		if least := leastCost(target, protected, maxHosts); math.Abs(cost-least) > 1e-9 || surviving(counts) < protected {
			t.Fatal(fmt.Sprintf("mix %v costs %.2f and keeps %d: the cheapest costs %.2f", counts, cost, surviving(counts), least))
		}
	})
}
