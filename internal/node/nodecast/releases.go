package nodecast

import (
	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/node/nodepb"
	"sapphirehead/internal/release"
)

func encodeReleases(news release.News) *nodepb.ReleaseNews {
	message := &nodepb.ReleaseNews{}
	message.SetHistoryAgeMillis(int64(news.HistoryAge()))
	var pools, releases, requests, beganAt []uint64
	var ages, left []int64
	for _, report := range news.Sightings() {
		pools, releases = append(pools, uint64(report.Pool())), append(releases, uint64(report.Release()))
		ages = append(ages, int64(report.Age()))
	}
	for _, report := range news.Beginnings() {
		requests, beganAt = append(requests, uint64(report.Request())), append(beganAt, uint64(report.Release()))
		left = append(left, int64(report.Left()))
	}
	message.SetPools(pools)
	message.SetReleases(releases)
	message.SetReleaseAgesMillis(ages)
	message.SetRequests(requests)
	message.SetBeganAt(beganAt)
	message.SetLeftMillis(left)
	return message
}

// decodeReleases reads the news from a message, which may be nil.
func decodeReleases(message *nodepb.ReleaseNews) (release.News, error) {
	pools, requests := message.GetPools(), message.GetRequests()
	if len(message.GetReleases()) != len(pools) || len(message.GetReleaseAgesMillis()) != len(pools) ||
		len(message.GetBeganAt()) != len(requests) || len(message.GetLeftMillis()) != len(requests) {
		return release.News{}, errors.New("decode bulletin: lists of releases that belong together differ in length")
	}
	var sightings []release.SightingReport
	for i, pool := range pools {
		sightings = append(sightings, release.NewSightingReport(
			release.PoolID(pool), release.ID(message.GetReleases()[i]), clock.Millis(message.GetReleaseAgesMillis()[i])))
	}
	var beginnings []release.BeginningReport
	for i, request := range requests {
		beginnings = append(beginnings, release.NewBeginningReport(
			release.RequestID(request), release.ID(message.GetBeganAt()[i]), clock.Millis(message.GetLeftMillis()[i])))
	}
	return release.NewNews(clock.Millis(message.GetHistoryAgeMillis()), sightings, beginnings), nil
}
