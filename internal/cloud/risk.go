package cloud

import (
	"math"
	"sync"

	"sapphirehead/internal/clock"
)

// Parameters of the estimate of reclaims.
const (
	// riskHalfLife is the time after which a notice counts half.
	riskHalfLife = 6 * clock.Hour
	// riskPriorHours are host hours without a notice that every kind starts with.
	riskPriorHours = 50.0
	// riskPriorNotices are the notices in those hours.
	riskPriorNotices = 1.0
	// replacementHours is the time for which a host is paid, or missed, when it
	// must be replaced.
	replacementHours = 0.25
	// waveWindow is the time within which notices belong to one wave.
	waveWindow = 5 * clock.Minute
	// waveShare is the share of a kind's hosts that makes notices a wave.
	waveShare = 0.5
	// waveNotices is the least number of notices that makes a wave.
	waveNotices = 2
)

// exposure is how long hosts of a kind ran and how often one was taken back,
// both decayed.
type exposure struct {
	at      clock.Millis
	hours   float64
	notices float64
	hosts   int
	recent  []clock.Millis
}

// Risk learns from notices how often hosts of each kind are taken back. It is
// safe for use by several goroutines.
type Risk struct {
	clock  *clock.Clock
	mutex  sync.Mutex
	byKind map[Kind]*exposure
}

// NewRisk returns an estimate without observations.
func NewRisk(clock *clock.Clock) *Risk {
	return &Risk{clock: clock, byKind: map[Kind]*exposure{}}
}

// Observe takes in that a number of hosts of the kind run from now on.
func (risk *Risk) Observe(kind Kind, hosts int) {
	risk.mutex.Lock()
	defer risk.mutex.Unlock()
	risk.decayed(kind).hosts = hosts
}

// RecordNotice takes in a notice for a host of the kind.
func (risk *Risk) RecordNotice(kind Kind) {
	risk.mutex.Lock()
	defer risk.mutex.Unlock()
	exposure := risk.decayed(kind)
	exposure.notices++
	exposure.recent = append(exposure.recent, exposure.at)
}

// Price returns the offer's price with the cost of replacements.
func (risk *Risk) Price(offer Offer) float64 {
	if !offer.reclaimable {
		return offer.price
	}
	risk.mutex.Lock()
	defer risk.mutex.Unlock()
	exposure := risk.decayed(offer.Kind())
	perHour := (riskPriorNotices + exposure.notices) / (riskPriorHours + exposure.hours)
	return offer.price * (1 + perHour*replacementHours)
}

// Wave reports whether the data centre of the kind is taking back so many hosts
// of it that a start there would not last.
func (risk *Risk) Wave(kind Kind) bool {
	risk.mutex.Lock()
	defer risk.mutex.Unlock()
	exposure := risk.decayed(kind)
	notices := len(exposure.recent)
	return notices >= waveNotices && float64(notices) >= waveShare*float64(exposure.hosts)
}

// decayed brings the kind's exposure to the present.
func (risk *Risk) decayed(kind Kind) *exposure {
	now := risk.clock.Now()
	current, ok := risk.byKind[kind]
	if !ok {
		current = &exposure{at: now}
		risk.byKind[kind] = current
	}
	passed := now - current.at
	decay := math.Exp2(-float64(passed) / float64(riskHalfLife))
	current.hours = current.hours*decay + float64(current.hosts)*float64(passed)/float64(clock.Hour)
	current.notices *= decay
	current.at = now
	for len(current.recent) > 0 && now-current.recent[0] >= waveWindow {
		current.recent = current.recent[1:]
	}
	return current
}
