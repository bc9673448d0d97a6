package cloud

import (
	"cmp"
	"math"
	"slices"
)

// Need is the number of hosts that a pool needs.
type Need struct {
	target    int
	protected int
	maxHosts  int
	classes   []string
}

// NewNeed returns a need of target hosts, of which protected must remain after any
// one data centre reclaims its hosts, with at most maxHosts hosts of the given
// classes.
func NewNeed(target, protected, maxHosts int, classes []string) Need {
	target = min(max(target, 0), maxHosts)
	return Need{target: target, protected: min(max(protected, 0), target), maxHosts: maxHosts, classes: slices.Clone(classes)}
}

// Target returns the number of hosts for the whole demand.
func (need Need) Target() int { return need.target }

// Protected returns the number of hosts for the routes of the highest worth.
func (need Need) Protected() int { return need.protected }

// Plan is the hosts of one pool to start and to drain.
type Plan struct {
	starts    []Offer
	drains    []Host
	protected int
}

// Starts returns an offer for each host to start.
func (plan Plan) Starts() []Offer { return slices.Clone(plan.starts) }

// Drains returns the hosts to drain.
func (plan Plan) Drains() []Host { return slices.Clone(plan.drains) }

// Protected returns the number of hosts of the planned mix that are sure to remain
// after any one data centre reclaims its hosts, at most the protected need.
func (plan Plan) Protected() int { return plan.protected }

// runningPriceFactor is the factor on the price of a running host when it is
// compared with a new one, so that small price changes replace no hosts.
const runningPriceFactor = 0.8

// Planner decides which hosts a pool rents.
//
// It chooses the cheapest mix with at least target hosts, of which protected remain
// after any one data centre reclaims its hosts. With T hosts in all, a data
// centre may have at most T - protected reclaimable ones. For a given T the
// cheapest mix is found by taking offers in order of price up to that bound, and
// the cheapest T is chosen:
//
//	protected 4, reclaimable 1.00 in three data centres, on demand 3.00
//	T=4  four on demand                        12.00
//	T=6  two reclaimable in each data centre    6.00
//
// On-demand hosts serve the protected need only; the rest of the need waits until
// reclaimable hosts are available again. Kinds whose starts the cloud refuses
// contribute only their running hosts.
type Planner struct {
	price   func(offer Offer) float64
	blocked func(kind Kind) bool
}

// NewPlanner returns a planner. The function price returns the price including
// the expected cost of reclaims; blocked reports whether starts of a kind have to
// wait.
func NewPlanner(price func(offer Offer) float64, blocked func(kind Kind) bool) *Planner {
	return &Planner{price: price, blocked: blocked}
}

// option is a number of hosts available through one offer at one price.
type option struct {
	offer   Offer
	price   float64
	limit   int
	running bool
	// dataCentreIndex numbers the data centres of the options from 0.
	dataCentreIndex int
}

// mix is the number of hosts by kind.
type mix map[Kind]int

func (mix mix) total() int {
	sum := 0
	for _, count := range mix {
		sum += count
	}
	return sum
}

// surviving returns the number of hosts that remain after the data centre with
// the most reclaimable hosts reclaims them.
func (mix mix) surviving() int {
	lost := map[string]int{}
	largestLoss := 0
	for kind, count := range mix {
		if kind.reclaimable {
			lost[kind.dataCentre] += count
			largestLoss = max(largestLoss, lost[kind.dataCentre])
		}
	}
	return mix.total() - largestLoss
}

// Plan returns the hosts to start and to drain. The hosts passed in must not
// include leaving or draining ones.
func (planner *Planner) Plan(need Need, offers []Offer, hosts []Host) Plan {
	live, ready := mix{}, mix{}
	for _, host := range hosts {
		live[host.offer.Kind()]++
		if host.ready {
			ready[host.offer.Kind()]++
		}
	}
	options := planner.options(need, offers, hosts, live)
	ideal, protected := cheapest(need, options)
	plan := Plan{protected: protected, starts: offersToStart(ideal, live, options)}
	plan.drains = planner.drains(need, protected, ideal, live, ready, hosts)
	return plan
}

// options returns the available hosts, cheapest first.
func (planner *Planner) options(need Need, offers []Offer, hosts []Host, live mix) []option {
	var options []option
	seen := map[Kind]bool{}
	for _, offer := range offers {
		if !slices.Contains(need.classes, offer.hostClass) || seen[offer.Kind()] {
			continue
		}
		seen[offer.Kind()] = true
		price := planner.price(offer)
		options = append(options, option{offer: offer, price: price * runningPriceFactor, limit: live[offer.Kind()], running: true})
		if !planner.blocked(offer.Kind()) {
			options = append(options, option{offer: offer, price: price, limit: need.maxHosts})
		}
	}
	for _, host := range hosts {
		if kind := host.offer.Kind(); !seen[kind] {
			seen[kind] = true
			options = append(options, option{offer: host.offer, price: planner.price(host.offer), limit: live[kind], running: true})
		}
	}
	slices.SortStableFunc(options, func(a, b option) int {
		return cmp.Or(cmp.Compare(a.price, b.price), cmp.Compare(a.offer.dataCentre, b.offer.dataCentre), cmp.Compare(a.offer.hostClass, b.offer.hostClass))
	})
	return options
}

// cheapest returns the cheapest mix for the need and the protected number of hosts
// that it meets. If the need can't be met, it first reduces the hosts beyond the
// protected need, and then the protected need.
func cheapest(need Need, options []option) (mix, int) {
	filler := newFiller(options, need.protected)
	for protected := need.protected; protected >= 0; protected-- {
		best, bestCost := -1, math.Inf(1)
		for total := need.target; total <= need.maxHosts && total <= need.target+protected; total++ {
			if cost, ok := filler.fill(total, protected); ok && cost < bestCost {
				best, bestCost = total, cost
			}
		}
		for total := need.target - 1; best < 0 && total >= max(protected, 1); total-- {
			if _, ok := filler.fill(total, protected); ok {
				best = total
			}
		}
		if best >= 0 {
			filler.fill(best, protected)
			return filler.mix(), protected
		}
	}
	return mix{}, 0
}

// filler selects hosts from options. Its buffers are reused for each total.
type filler struct {
	options       []option
	onDemand      int
	counts        []int
	perDataCentre []int
}

// newFiller returns a filler that selects at most onDemand on-demand hosts. It sets
// the data centre indexes of the options.
func newFiller(options []option, onDemand int) *filler {
	indexes := map[string]int{}
	for i, option := range options {
		name := option.offer.dataCentre
		if _, ok := indexes[name]; !ok {
			indexes[name] = len(indexes)
		}
		options[i].dataCentreIndex = indexes[name]
	}
	return &filler{options: options, onDemand: onDemand, counts: make([]int, len(options)), perDataCentre: make([]int, len(indexes))}
}

// fill selects total hosts in order of price, with at most total - protected
// reclaimable ones in each data centre. It returns their price for one hour, and
// false if there are too few.
func (filler *filler) fill(total, protected int) (float64, bool) {
	clear(filler.perDataCentre)
	clear(filler.counts)
	cost, remaining, onDemand := 0.0, total, filler.onDemand
	for i := 0; i < len(filler.options) && remaining > 0; i++ {
		option := &filler.options[i]
		count := min(option.limit, remaining)
		if option.offer.reclaimable {
			count = max(min(count, total-protected-filler.perDataCentre[option.dataCentreIndex]), 0)
			filler.perDataCentre[option.dataCentreIndex] += count
		} else {
			count = min(count, onDemand)
			onDemand -= count
		}
		filler.counts[i] = count
		cost += float64(count) * option.price
		remaining -= count
	}
	return cost, remaining == 0
}

// mix returns the hosts that the last fill selected.
func (filler *filler) mix() mix {
	filled := mix{}
	for i, count := range filler.counts {
		if count > 0 {
			filled[filler.options[i].offer.Kind()] += count
		}
	}
	return filled
}

func offersToStart(ideal, live mix, options []option) []Offer {
	var starts []Offer
	for _, option := range options {
		if option.running {
			continue
		}
		for range ideal[option.offer.Kind()] - live[option.offer.Kind()] {
			starts = append(starts, option.offer)
		}
	}
	return starts
}

// drains returns the hosts beyond the ideal mix, those that are not ready first and
// then the most expensive. A ready host is kept if the other ready ones would not
// meet the need without it.
func (planner *Planner) drains(need Need, protected int, ideal, live, ready mix, hosts []Host) []Host {
	candidates := slices.Clone(hosts)
	slices.SortStableFunc(candidates, func(a, b Host) int {
		return cmp.Or(compareReady(a, b), cmp.Compare(planner.price(b.offer), planner.price(a.offer)), cmp.Compare(b.id, a.id))
	})
	var drains []Host
	for _, host := range candidates {
		kind := host.offer.Kind()
		if host.unmanaged || live[kind] <= ideal[kind] {
			continue
		}
		if host.ready {
			ready[kind]--
			if ready.total() < need.target || ready.surviving() < protected {
				ready[kind]++
				continue
			}
		}
		live[kind]--
		drains = append(drains, host)
	}
	return drains
}

// compareReady orders hosts that are not ready first.
func compareReady(a, b Host) int {
	switch {
	case a.ready == b.ready:
		return 0
	case b.ready:
		return -1
	default:
		return 1
	}
}
