package cloud

import (
	"math"
	"sync"

	"sapphirehead/internal/clock"
)

// Parameters of the reclaim estimate.
const (
	// riskHalfLife is the time after which the weight of a notice has halved.
	riskHalfLife = 6 * clock.Hour
	// riskPriorHours are the host hours assumed for every kind before observations.
	riskPriorHours = 50.0
	// riskPriorNotices are the notices in those hours.
	riskPriorNotices = 1.0
	// replacementHours is the time lost with each replacement: a host is missing, or
	// is paid for without use.
	replacementHours = 0.25
	// waveWindow is the time within which notices count as one wave.
	waveWindow = 5 * clock.Minute
	// waveShare is the least number of notices in a wave, relative to the kind's
	// running hosts.
	waveShare = 0.5
	// waveNotices is the least number of notices in a wave.
	waveNotices = 2
)

// exposure is the host hours of a kind and the number of its reclaims, both with
// exponential decay.
type exposure struct {
	updatedAt     clock.Millis
	hours         float64
	notices       float64
	hosts         int
	recentNotices []clock.Millis
}

// Risk estimates from notices how often hosts of each kind are reclaimed. It is
// safe for concurrent use.
type Risk struct {
	clock  *clock.Clock
	mutex  sync.Mutex
	byKind map[Kind]*exposure
}

// NewRisk returns a risk estimate without observations.
func NewRisk(clock *clock.Clock) *Risk {
	return &Risk{clock: clock, byKind: map[Kind]*exposure{}}
}

// Observe records the number of running hosts of the kind.
func (risk *Risk) Observe(kind Kind, hosts int) {
	risk.mutex.Lock()
	defer risk.mutex.Unlock()
	risk.decayed(kind).hosts = hosts
}

// RecordNotice records a notice for a host of the kind.
func (risk *Risk) RecordNotice(kind Kind) {
	risk.mutex.Lock()
	defer risk.mutex.Unlock()
	exposure := risk.decayed(kind)
	exposure.notices++
	exposure.recentNotices = append(exposure.recentNotices, exposure.updatedAt)
}

// Price returns the offer's price for one hour, including the expected cost of
// replacing reclaimed hosts.
func (risk *Risk) Price(offer Offer) float64 {
	if !offer.reclaimable {
		return offer.price
	}
	risk.mutex.Lock()
	defer risk.mutex.Unlock()
	exposure := risk.decayed(offer.Kind())
	noticesPerHour := (riskPriorNotices + exposure.notices) / (riskPriorHours + exposure.hours)
	return offer.price * (1 + noticesPerHour*replacementHours)
}

// Wave reports whether a wave of reclaims is in progress, in which a new host of
// the kind would soon be reclaimed too.
func (risk *Risk) Wave(kind Kind) bool {
	risk.mutex.Lock()
	defer risk.mutex.Unlock()
	exposure := risk.decayed(kind)
	notices := len(exposure.recentNotices)
	return notices >= waveNotices && float64(notices) >= waveShare*float64(exposure.hosts)
}

// decayed returns the kind's exposure, decayed to the present.
func (risk *Risk) decayed(kind Kind) *exposure {
	now := risk.clock.Now()
	current, ok := risk.byKind[kind]
	if !ok {
		current = &exposure{updatedAt: now}
		risk.byKind[kind] = current
	}
	elapsed := now - current.updatedAt
	decay := math.Exp2(-float64(elapsed) / float64(riskHalfLife))
	current.hours = current.hours*decay + float64(current.hosts)*float64(elapsed)/float64(clock.Hour)
	current.notices *= decay
	current.updatedAt = now
	for len(current.recentNotices) > 0 && now-current.recentNotices[0] >= waveWindow {
		current.recentNotices = current.recentNotices[1:]
	}
	return current
}
