package placement

import (
	"math"

	"sapphirehead/internal/backend"
)

// newsFrom is the latest observation that was received from a process.
type newsFrom struct {
	incarnation int64
	number      int64
}

// News returns what this node has lately learned of the speed of servers, for peers.
func (placement *Placement) News() backend.SpeedNews {
	return placement.log.News(placement.fleet.Current().Servers(), placement.clock.Now())
}

// Merge applies the news from a process on the host. It must be called by one goroutine.
func (placement *Placement) Merge(host string, incarnation int64, news backend.SpeedNews) {
	now, servers := placement.clock.Now(), placement.fleet.Current()
	for _, report := range news.Slowdowns() {
		if server := servers.ServerWithHash(report.Server()); server != nil {
			server.SetSlowdown(report.Factor(), now-max(0, report.Age()))
		}
	}
	if len(news.Observations()) == 0 {
		return
	}
	from := placement.merged[host]
	if from.incarnation != incarnation {
		from = newsFrom{incarnation: incarnation}
	}
	for i, observation := range news.Observations() {
		server := servers.ServerWithHash(observation.Server())
		if number := news.First() + int64(i); number <= from.number || server == nil {
			continue
		}
		noise := math.Sqrt(placement.Speed(server.Pool()).state.Load().variance)
		server.Rate().Observe(observation.Logarithm(), noise, now)
	}
	from.number = max(from.number, news.First()+int64(len(news.Observations()))-1)
	placement.merged[host] = from
}
