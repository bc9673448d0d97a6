package nodecast

import (
	"math"

	"github.com/pkg/errors"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/node/nodepb"
)

// Units of the numbers in messages.
const (
	percent           = 100.0
	logarithmsPerUnit = 1000.0
)

// encodeSpeeds returns the message, or nil if there is no news.
func encodeSpeeds(news backend.SpeedNews) *nodepb.SpeedNews {
	if len(news.Slowdowns()) == 0 && len(news.Observations()) == 0 {
		return nil
	}
	message := &nodepb.SpeedNews{}
	var slow, observed []uint64
	var percents, ages, logarithms []int32
	for _, report := range news.Slowdowns() {
		slow, percents = append(slow, report.Server()), append(percents, int32(math.Round(report.Factor()*percent)))
		ages = append(ages, int32(report.Age()))
	}
	for _, observation := range news.Observations() {
		observed = append(observed, observation.Server())
		logarithms = append(logarithms, int32(math.Round(observation.Logarithm()*logarithmsPerUnit)))
	}
	message.SetSlowServers(slow)
	message.SetSlowPercents(percents)
	message.SetAgesMillis(ages)
	message.SetFirst(news.First())
	message.SetObservedServers(observed)
	message.SetLogarithms(logarithms)
	return message
}

// decodeSpeeds reads the news from a message, which may be nil.
func decodeSpeeds(message *nodepb.SpeedNews) (backend.SpeedNews, error) {
	slow, observed := message.GetSlowServers(), message.GetObservedServers()
	percents, ages, logarithms := message.GetSlowPercents(), message.GetAgesMillis(), message.GetLogarithms()
	if len(percents) != len(slow) || len(ages) != len(slow) || len(logarithms) != len(observed) {
		return backend.SpeedNews{}, errors.New("decode bulletin: lists of speeds that belong together differ in length")
	}
	var slowdowns []backend.SlowdownReport
	for i, server := range slow {
		if percents[i] <= 0 || ages[i] < 0 {
			return backend.SpeedNews{}, errors.Errorf("decode bulletin: work takes %d percent of the time, reported %d ms ago", percents[i], ages[i])
		}
		slowdowns = append(slowdowns, backend.NewSlowdownReport(server, float64(percents[i])/percent, clock.Millis(ages[i])))
	}
	var observations []backend.RateObservation
	for i, server := range observed {
		observations = append(observations, backend.NewRateObservation(server, float64(logarithms[i])/logarithmsPerUnit))
	}
	return backend.NewSpeedNews(slowdowns, message.GetFirst(), observations), nil
}
