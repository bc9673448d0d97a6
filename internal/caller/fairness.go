package caller

import (
	"cmp"
	"math"
	"slices"
	"sync/atomic"
)

const (
	// usageDecay is the factor by which an account's usage decays at each tick.
	usageDecay = 0.98
	// minFairness and maxFairness bound the fairness factor of a density.
	minFairness = 0.25
	maxFairness = 4.0
	// fairnessSmoothing is the exponent with which the factor moves towards its
	// target at each tick.
	fairnessSmoothing = 0.1
)

// usage holds the recent offered and admitted load of an account, in milliseconds
// of batch slots, and the resulting fairness factor as the bits of a float64, or 0
// before the first tick.
type usage struct {
	offered atomic.Int64
	used    atomic.Int64
	factor  atomic.Uint64
}

func (account *Account) recordOffered(cost float64) { account.usage.offered.Add(int64(cost)) }

func (account *Account) recordUsed(cost float64) { account.usage.used.Add(int64(cost)) }

// fairness returns the factor on the density of the account's requests.
func (account *Account) fairness() float64 {
	if bits := account.usage.factor.Load(); bits != 0 {
		return math.Float64frombits(bits)
	}
	return 1
}

// UpdateFairness moves the accounts' factors so that their usage approaches the
// max-min fair shares of the total usage. It is called at each tick, from one
// goroutine.
//
//	used 100 in all, offered A 120, B 60, C 10 -> shares 45, 45, 10
func UpdateFairness(accounts []*Account) {
	offered := make([]float64, len(accounts))
	used := make([]float64, len(accounts))
	total := 0.0
	for i, account := range accounts {
		offered[i], used[i] = float64(account.usage.offered.Load()), float64(account.usage.used.Load())
		total += used[i]
	}
	shares := MaxMin(offered, nil, total)
	for i, account := range accounts {
		target := 1.0
		if shares[i] > 0 && offered[i] > used[i]*1.02 {
			target = min(max(shares[i]/max(used[i], 1), minFairness), maxFairness)
		}
		factor := account.fairness()
		factor = min(max(factor*math.Pow(target, fairnessSmoothing)*math.Pow(factor, -fairnessSmoothing/4), minFairness), maxFairness)
		account.usage.factor.Store(math.Float64bits(factor))
		account.usage.offered.Add(-int64(offered[i] * (1 - usageDecay)))
		account.usage.used.Add(-int64(used[i] * (1 - usageDecay)))
	}
}

// MaxMin returns the weighted max-min fair shares of the total: no share exceeds its
// demand, and none can grow without reducing one that is smaller or equal for its
// weight. Without weights all are equal.
//
//	total 100, demands 120, 60, 10, weights 2, 1, 1 -> shares 60, 30, 10
func MaxMin(demands, weights []float64, total float64) []float64 {
	weight := func(index int) float64 {
		if weights == nil {
			return 1
		}
		return weights[index]
	}
	order := make([]int, len(demands))
	remaining := 0.0
	for i := range order {
		order[i] = i
		remaining += weight(i)
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(demands[a]*weight(b), demands[b]*weight(a))
	})
	shares := make([]float64, len(demands))
	for _, index := range order {
		if remaining <= 0 {
			break
		}
		shares[index] = max(0, min(demands[index], total*weight(index)/remaining))
		total -= shares[index]
		remaining -= weight(index)
	}
	return shares
}
