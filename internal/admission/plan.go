package admission

import (
	"cmp"
	"slices"
	"strings"

	"sapphirehead/internal/caller"
	"sapphirehead/internal/clock"
)

// plan says which fraction of each class is admitted. It does not change once made.
type plan struct {
	madeAt   clock.Millis
	age      clock.Millis
	capacity float64
	offered  float64
	// shares are the shares of the accounts in cost per second.
	shares    map[string]float64
	fractions map[Class]fractions
	// unknown is the fraction of a class that no node has been offered yet.
	unknown float64
}

// fractions are the admitted fractions of a class's new and returned requests.
type fractions struct {
	fresh float64
	again float64
}

func (plan *plan) fraction(class Class, returned bool) float64 {
	known, ok := plan.fractions[class]
	switch {
	case !ok:
		return plan.unknown
	case returned:
		return known.again
	default:
		return known.fresh
	}
}

// accountDemand is what an account asks for.
type accountDemand struct {
	name    string
	weight  float64
	offered float64
	usual   float64
	urgent  float64
	classes []*classDemand
}

type classDemand struct {
	class   Class
	control *classControl
}

// newPlan divides the capacity among the accounts and, within each, by rank. Within a
// class callers that return come first.
func (control *control) newPlan(weight func(string) float64, capacity float64) *plan {
	accounts := control.demands(weight)
	shares := divide(accounts, capacity)
	made := &plan{capacity: capacity, shares: make(map[string]float64, len(accounts)), fractions: make(map[Class]fractions, len(control.classes)), unknown: 1}
	for i, account := range accounts {
		made.shares[account.name] = shares[i]
		left := shares[i]
		for _, demand := range account.classes {
			offered := demand.control.offered
			given := min(offered, left)
			left -= given
			made.fractions[demand.class] = split(given, offered, demand.control.returned)
		}
	}
	return made
}

// split returns the fractions at which the given part of a class's offered rate is
// admitted.
func split(given, offered, returned float64) fractions {
	if given >= offered {
		return fractions{fresh: 1, again: 1}
	}
	returned = min(returned, offered)
	split := fractions{again: 1}
	if returned > given {
		split.again = given / returned
	}
	if fresh := offered - returned; fresh > 0 {
		split.fresh = max(0, given-returned) / fresh
	}
	return split
}

// demands returns the accounts with their classes in order of rank.
func (control *control) demands(weight func(string) float64) []*accountDemand {
	byName := map[string]*accountDemand{}
	for class, rates := range control.classes {
		account := byName[class.account]
		if account == nil {
			account = &accountDemand{name: class.account, weight: weight(class.account)}
			byName[class.account] = account
		}
		offered := rates.offered
		account.offered += offered
		account.usual += rates.usual
		if class.rank == 0 {
			account.urgent += min(offered, usualRankShare*rates.usual)
		}
		account.classes = append(account.classes, &classDemand{class: class, control: rates})
	}
	accounts := make([]*accountDemand, 0, len(byName))
	for _, account := range byName {
		account.usual = min(account.offered, usualSlack*account.usual)
		slices.SortFunc(account.classes, func(a, b *classDemand) int { return cmp.Compare(a.class.rank, b.class.rank) })
		accounts = append(accounts, account)
	}
	slices.SortFunc(accounts, func(a, b *accountDemand) int { return strings.Compare(a.name, b.name) })
	return accounts
}

// divide returns the weighted max-min shares of the capacity. What an account usually asks
// for is its own before others get more than their usual; if there is not enough for
// that, its usual requests of rank 0 are.
func divide(accounts []*accountDemand, capacity float64) []float64 {
	offered, weights := make([]float64, len(accounts)), make([]float64, len(accounts))
	usual, urgent := make([]float64, len(accounts)), make([]float64, len(accounts))
	totalUsual, totalUrgent := 0.0, 0.0
	for i, account := range accounts {
		offered[i], weights[i], usual[i], urgent[i] = account.offered, account.weight, account.usual, account.urgent
		totalUsual += usual[i]
		totalUrgent += urgent[i]
	}
	switch {
	case totalUsual <= capacity:
		return withFloors(offered, weights, usual, capacity)
	case totalUrgent <= capacity:
		return withFloors(offered, weights, urgent, capacity)
	default:
		return caller.MaxMin(offered, weights, capacity)
	}
}

// withFloors returns the weighted max-min shares of the capacity in which none is below
// its floor. The floors together do not exceed the capacity.
func withFloors(offered, weights, floors []float64, capacity float64) []float64 {
	raised := make([]bool, len(offered))
	for {
		demands := slices.Clone(offered)
		left := capacity
		for i, isRaised := range raised {
			if isRaised {
				demands[i] = 0
				left -= floors[i]
			}
		}
		shares, changed := caller.MaxMin(demands, weights, left), false
		for i := range shares {
			if raised[i] {
				shares[i] = floors[i]
			} else if shares[i] < floors[i] {
				raised[i], changed = true, true
			}
		}
		if !changed {
			return shares
		}
	}
}
