package release

import "sapphirehead/internal/clock"

// News is what a node tells its peers about releases.
type News struct {
	// historyAge is the time for which the sightings are complete.
	historyAge clock.Millis
	sightings  []SightingReport
	beginnings []BeginningReport
}

// NewNews returns sightings that are complete for the time, and beginnings of streams.
func NewNews(historyAge clock.Millis, sightings []SightingReport, beginnings []BeginningReport) News {
	return News{historyAge: historyAge, sightings: sightings, beginnings: beginnings}
}

// HistoryAge returns the time for which the sightings are complete.
func (news News) HistoryAge() clock.Millis { return news.historyAge }

// Sightings returns the releases that served lately.
func (news News) Sightings() []SightingReport { return news.sightings }

// Beginnings returns where streams began.
func (news News) Beginnings() []BeginningReport { return news.beginnings }

// SightingReport is a release that served, and the time since it was last seen.
type SightingReport struct {
	pool    PoolID
	release ID
	age     clock.Millis
}

// NewSightingReport returns a report on the release in the pool.
func NewSightingReport(pool PoolID, release ID, age clock.Millis) SightingReport {
	return SightingReport{pool: pool, release: release, age: age}
}

// Pool returns the pool.
func (report SightingReport) Pool() PoolID { return report.pool }

// Release returns the release.
func (report SightingReport) Release() ID { return report.release }

// Age returns the time since the release was last seen.
func (report SightingReport) Age() clock.Millis { return report.age }

// BeginningReport is the release that brought the first event of a stream.
type BeginningReport struct {
	request RequestID
	release ID
	left    clock.Millis
}

// NewBeginningReport returns a report on the stream of the request, which can be taken up
// for the time left.
func NewBeginningReport(request RequestID, release ID, left clock.Millis) BeginningReport {
	return BeginningReport{request: request, release: release, left: left}
}

// Request returns the request that brought the first event.
func (report BeginningReport) Request() RequestID { return report.request }

// Release returns the release.
func (report BeginningReport) Release() ID { return report.release }

// Left returns the time for which the stream can be taken up.
func (report BeginningReport) Left() clock.Millis { return report.left }
