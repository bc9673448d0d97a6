package caller

import (
	"math"
	"slices"
	"sync/atomic"
)

const (
	// usageDecay is the part of an account's usage that is kept at each tick.
	usageDecay = 0.98
	// Bounds of the factor by which fairness changes a density.
	minFairness = 0.25
	maxFairness = 4.0
	// fairnessSmoothing is how fast the factor moves towards its aim.
	fairnessSmoothing = 0.1
)

// usage is what an account offered and used lately, in milliseconds of places
// in batches, and the factor that follows from it.
type usage struct {
	offered atomic.Int64
	used    atomic.Int64
	factor  atomic.Uint64
}

func (account *Account) recordOffered(cost float64) { account.usage.offered.Add(int64(cost)) }

func (account *Account) recordUsed(cost float64) { account.usage.used.Add(int64(cost)) }

// fairness returns the factor for the density of the account's requests.
func (account *Account) fairness() float64 {
	if bits := account.usage.factor.Load(); bits != 0 {
		return math.Float64frombits(bits)
	}
	return 1
}

// UpdateFairness moves the accounts' factors towards their weighted max-min
// shares of what is used in all. It is called with each tick, from one
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
	shares := maxMin(offered, total)
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

// maxMin divides the total so that nobody gets more than it asks for, and
// nobody could get more without one who has less getting less.
func maxMin(demands []float64, total float64) []float64 {
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		if demands[a] < demands[b] {
			return -1
		}
		return 1
	})
	shares := make([]float64, len(demands))
	for i, index := range order {
		shares[index] = min(demands[index], total/float64(len(order)-i))
		total -= shares[index]
	}
	return shares
}
