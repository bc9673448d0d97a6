package pool

import (
	"maps"
	"slices"

	"sapphirehead/internal/clock"
)

// Rental holds the terms on which the backend servers of a pool are rented. Its
// bounds apply to each data centre, to reclaimable and other servers together.
type Rental struct {
	minServers       int
	maxServers       int
	startup          clock.Millis
	reclaimablePrice float64
	prices           map[string]float64
}

// NewRental returns terms with the bounds for each data centre, the time from an
// order until the server accepts requests, the price of a reclaimable server as a
// share of another's (0 if there are none), and the relative price by data centre.
func NewRental(minServers, maxServers int, startup clock.Millis, reclaimablePrice float64, prices map[string]float64) Rental {
	return Rental{minServers: minServers, maxServers: maxServers, startup: startup, reclaimablePrice: reclaimablePrice, prices: maps.Clone(prices)}
}

// MinServers returns the minimum number of servers in a data centre.
func (rental Rental) MinServers() int { return rental.minServers }

// MaxServers returns the maximum number of servers in a data centre.
func (rental Rental) MaxServers() int { return rental.maxServers }

// Startup returns the time from an order until the server accepts requests.
func (rental Rental) Startup() clock.Millis { return rental.startup }

// ReclaimablePrice returns the price of a reclaimable server as a share of
// another's, or 0 if there are none.
func (rental Rental) ReclaimablePrice() float64 { return rental.reclaimablePrice }

// Price returns the relative price of a server in the data centre.
func (rental Rental) Price(dataCentre string) float64 { return rental.prices[dataCentre] }

// DataCentres returns the data centres that have a price, in order of name.
func (rental Rental) DataCentres() []string { return slices.Sorted(maps.Keys(rental.prices)) }

// Autoscaled reports whether the autoscaler sets the size of the pool.
func (rental Rental) Autoscaled() bool { return rental.maxServers > 0 }
