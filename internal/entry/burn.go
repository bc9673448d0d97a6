package entry

import (
	"context"
	"sync"

	"sapphirehead/internal/burn"
	"sapphirehead/internal/caller"
	"sapphirehead/internal/caller/callerhttp"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/node/nodepb"
	"sapphirehead/internal/request"
	"sapphirehead/internal/service"
)

// trackedChat runs a chat and counts whether it met its route's targets.
func (entry *Entry) trackedChat(ctx context.Context, req *request.Request, deliver func(offset int, tokens []string) error) error {
	tracker := entry.meter.Begin(req)
	err := entry.chat(ctx, req, trackTokens(tracker, deliver))
	entry.endTracking(tracker, req, err)
	return err
}

// trackedCall runs a call and counts whether it met its route's targets.
func (entry *Entry) trackedCall(ctx context.Context, req *request.Request, call service.Call) (service.Answer, error) {
	tracker := entry.meter.Begin(req)
	answer, err := entry.call(ctx, req, call)
	entry.endTracking(tracker, req, err)
	return answer, err
}

// trackedFind finds the response that a caller resumes, and counts whether its
// remainder met the targets. The interrupted connection was not counted.
func (entry *Entry) trackedFind(ctx context.Context, resumption request.Resumption) (*request.Request, callerhttp.Follow, error) {
	req, follow, err := entry.find(ctx, resumption)
	if err != nil {
		return nil, nil, err
	}
	return req, func(ctx context.Context, offset int, deliver func(offset int, tokens []string) error) error {
		tracker := entry.meter.Begin(req)
		tracker.Resumed()
		err := follow(ctx, offset, trackTokens(tracker, deliver))
		entry.endTracking(tracker, req, err)
		return err
	}, nil
}

func trackTokens(tracker *burn.Tracker, deliver func(offset int, tokens []string) error) func(offset int, tokens []string) error {
	return func(offset int, tokens []string) error {
		tracker.RecordTokens()
		err := deliver(offset, tokens)
		if err != nil {
			tracker.Disconnected()
		}
		return err
	}
}

// trackedClaim claims the right to run, and records a replay of a recorded answer,
// whose worth was counted with the original run.
func (entry *Entry) trackedClaim(ctx context.Context, req *request.Request) (request.Claim, service.Answer) {
	claim, answer := entry.claim(ctx, req)
	if claim == request.ClaimRecorded {
		entry.replays.Store(req.ID(), struct{}{})
	}
	return claim, answer
}

func (entry *Entry) endTracking(tracker *burn.Tracker, req *request.Request, err error) {
	if req.NeedsClaim() {
		if _, replayed := entry.replays.LoadAndDelete(req.ID()); replayed {
			tracker.Replayed()
		}
	}
	tracker.End(err)
}

// trackedAdmit admits a request and counts a refusal. req is nil for a caller
// that resumes a response.
func (entry *Entry) trackedAdmit(account *caller.Account, req *request.Request) (release func(), err error) {
	release, err = entry.dispatcher.admit(account, req)
	if err != nil && req != nil {
		entry.meter.Begin(req).End(err)
	}
	return release, err
}

// burnTimeout bounds the collection of reports from peers.
const burnTimeout = 3 * clock.Second

// clusterBurn merges this node's report with those of the live peers.
func (entry *Entry) clusterBurn(ctx context.Context) burn.Report {
	ctx, cancel := entry.clock.WithTimeout(ctx, burnTimeout)
	defer cancel()
	members := entry.members.Live()
	reports := make([]burn.Report, len(members)+1)
	reports[len(members)] = entry.meter.Report()
	var group sync.WaitGroup
	for i, member := range members {
		group.Go(func() { reports[i] = entry.peerBurn(ctx, member.Address()) })
	}
	group.Wait()
	return burn.Merge(reports...)
}

func (entry *Entry) peerBurn(ctx context.Context, address string) burn.Report {
	reply, err := entry.links.Call(ctx, address, nodepb.Call_builder{BurnQuery: &nodepb.BurnQuery{}}.Build())
	if err != nil || !reply.HasBurnReport() {
		return burn.Report{}.WithMissing(1)
	}
	return burnReportOf(reply.GetBurnReport())
}

func burnReportMessage(report burn.Report) *nodepb.BurnReport {
	message := &nodepb.BurnReport{}
	message.SetObjective(report.Objective())
	var rows []*nodepb.BurnRow
	for _, row := range report.Rows() {
		encoded := &nodepb.BurnRow{}
		encoded.SetRoute(row.Route())
		encoded.SetAccount(row.Account())
		var windows []*nodepb.BurnCounts
		for window := range burn.WindowCount {
			windows = append(windows, countsMessage(row.Counts(burn.Window(window))))
		}
		encoded.SetWindows(windows)
		rows = append(rows, encoded)
	}
	message.SetRows(rows)
	var points []*nodepb.BurnPoint
	for _, point := range report.Points() {
		encoded := &nodepb.BurnPoint{}
		encoded.SetRoute(point.Route())
		encoded.SetAtMillis(int64(point.At()))
		encoded.SetCounts(countsMessage(point.Counts()))
		points = append(points, encoded)
	}
	message.SetPoints(points)
	return message
}

func countsMessage(counts burn.Counts) *nodepb.BurnCounts {
	message := &nodepb.BurnCounts{}
	var by []int64
	for outcome := range burn.OutcomeCount {
		by = append(by, counts.Count(burn.Outcome(outcome)))
	}
	message.SetByOutcome(by)
	message.SetWorthMillis(counts.WorthMillis())
	return message
}

func burnReportOf(message *nodepb.BurnReport) burn.Report {
	rows := make([]burn.Row, 0, len(message.GetRows()))
	for _, row := range message.GetRows() {
		var windows [burn.WindowCount]burn.Counts
		for i, counts := range row.GetWindows() {
			if i < len(windows) {
				windows[i] = countsOf(counts)
			}
		}
		rows = append(rows, burn.NewRow(row.GetRoute(), row.GetAccount(), windows))
	}
	points := make([]burn.Point, 0, len(message.GetPoints()))
	for _, point := range message.GetPoints() {
		points = append(points, burn.NewPoint(point.GetRoute(), clock.Millis(point.GetAtMillis()), countsOf(point.GetCounts())))
	}
	return burn.NewReport(message.GetObjective(), 1, 0, rows, points)
}

func countsOf(message *nodepb.BurnCounts) burn.Counts {
	var by [burn.OutcomeCount]int64
	for i, count := range message.GetByOutcome() {
		if i < len(by) {
			by[i] = count
		}
	}
	return burn.NewCounts(by, message.GetWorthMillis())
}
