package backend

import (
	"cmp"
	"slices"
	"sync/atomic"

	"sapphirehead/internal/clock"
)

// Slowdown is how long work takes at a server at a time, in relation to the usual time.
type Slowdown struct {
	factor float64
	at     clock.Millis
}

// Factor returns the time that work takes in relation to the usual time.
func (slowdown *Slowdown) Factor() float64 { return slowdown.factor }

// At returns when the server reported it, to this node or to a peer.
func (slowdown *Slowdown) At() clock.Millis { return slowdown.at }

// Slowdown returns the latest slowdown known of the server, or nil if it reports none.
func (server *Server) Slowdown() *Slowdown { return server.slowdown.Load() }

// SetSlowdown records a slowdown that the server reported to this node or to a peer at the
// time, unless a later one is known.
func (server *Server) SetSlowdown(factor float64, at clock.Millis) {
	next := &Slowdown{factor: min(max(factor, minSlowdown), maxSlowdown), at: at}
	for {
		current := server.slowdown.Load()
		if current != nil && current.at >= at {
			return
		}
		if server.slowdown.CompareAndSwap(current, next) {
			return
		}
	}
}

// SlowdownReport is a slowdown that a server reported to the sender of news.
type SlowdownReport struct {
	server uint64
	factor float64
	age    clock.Millis
}

// NewSlowdownReport returns a report of the server with the hash of its key, by its age.
func NewSlowdownReport(server uint64, factor float64, age clock.Millis) SlowdownReport {
	return SlowdownReport{server: server, factor: factor, age: age}
}

// Server returns the hash of the server's key.
func (report SlowdownReport) Server() uint64 { return report.server }

// Factor returns the time that work took in relation to the usual time.
func (report SlowdownReport) Factor() float64 { return report.factor }

// Age returns the time since the report.
func (report SlowdownReport) Age() clock.Millis { return report.age }

// RateObservation is an observation of a server's rate (Rate.Observe).
type RateObservation struct {
	server    uint64
	logarithm float64
}

// NewRateObservation returns an observation of the server with the hash of its key.
func NewRateObservation(server uint64, logarithm float64) RateObservation {
	return RateObservation{server: server, logarithm: logarithm}
}

// Server returns the hash of the server's key.
func (observation RateObservation) Server() uint64 { return observation.server }

// Logarithm returns the logarithm of the observed time in relation to the pool's.
func (observation RateObservation) Logarithm() float64 { return observation.logarithm }

// SpeedNews is what a node has lately learned of the speed of servers that share their
// hosts with other work. Observations are numbered from the start of the process, so that
// a peer counts each once, although several bulletins have it.
type SpeedNews struct {
	slowdowns    []SlowdownReport
	first        int64
	observations []RateObservation
}

// NewSpeedNews returns news; first is the number of the first observation.
func NewSpeedNews(slowdowns []SlowdownReport, first int64, observations []RateObservation) SpeedNews {
	return SpeedNews{slowdowns: slowdowns, first: first, observations: observations}
}

// Slowdowns returns the latest slowdowns that servers reported to the sender itself.
func (news SpeedNews) Slowdowns() []SlowdownReport { return news.slowdowns }

// First returns the number of the first observation.
func (news SpeedNews) First() int64 { return news.first }

// Observations returns the latest observations of the sender itself.
func (news SpeedNews) Observations() []RateObservation { return news.observations }

const (
	// newsCount is the number of observations and of slowdowns, the latest ones, that are
	// passed on. It keeps bulletins small: 16 of each are 400 bytes.
	newsCount = 16
	// newsAge is the age up to which they are, so that a peer gets each in one bulletin or
	// two: with 295 nodes the bulletins to a peer are 1.2 s apart.
	newsAge = 1500 * clock.Millisecond
)

// SpeedLog holds what this node has lately observed of servers, to be passed on. It is safe
// for concurrent use.
type SpeedLog struct {
	added   atomic.Int64
	entries [newsCount]atomic.Pointer[speedEntry]
}

type speedEntry struct {
	number      int64
	observation RateObservation
	at          clock.Millis
}

// Add records an observation.
func (log *SpeedLog) Add(observation RateObservation, now clock.Millis) {
	number := log.added.Add(1)
	log.entries[number%newsCount].Store(&speedEntry{number: number, observation: observation, at: now})
}

// News returns the news for peers, with the slowdowns that the servers reported to this
// node.
func (log *SpeedLog) News(servers []*Server, now clock.Millis) SpeedNews {
	news := SpeedNews{}
	last := log.added.Load()
	for number := max(1, last-newsCount+1); number <= last; number++ {
		entry := log.entries[number%newsCount].Load()
		if entry == nil || entry.number != number || now-entry.at > newsAge {
			// It is being written, or already replaced.
			news.first, news.observations = 0, nil
			continue
		}
		if news.first == 0 {
			news.first = number
		}
		news.observations = append(news.observations, entry.observation)
	}
	for _, server := range servers {
		if load := server.Load(); load != nil && load.SharesHost() && now-load.At() <= newsAge {
			news.slowdowns = append(news.slowdowns, NewSlowdownReport(server.Hash(), load.Slowdown(), now-load.At()))
		}
	}
	slices.SortFunc(news.slowdowns, func(a, b SlowdownReport) int {
		return cmp.Or(cmp.Compare(a.age, b.age), cmp.Compare(a.server, b.server))
	})
	news.slowdowns = news.slowdowns[:min(newsCount, len(news.slowdowns))]
	return news
}
