package nodecast

import (
	"github.com/pkg/errors"

	"sapphirehead/internal/canary"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/node"
	"sapphirehead/internal/node/nodepb"
)

// countNumbers is the number of numbers that make up one count.
const countNumbers = 4

// encodeRollouts returns nil if the sender takes no part in rollouts.
func encodeRollouts(bulletin node.Bulletin) *nodepb.RolloutReport {
	report, takesPart := bulletin.Rollouts()
	if !takesPart {
		return nil
	}
	message := &nodepb.RolloutReport{}
	message.SetAgeMillis(int64(report.Age()))
	forms := make([]*nodepb.RolloutOrder, 0, len(report.Orders()))
	for _, orderReport := range report.Orders() {
		forms = append(forms, encodeRolloutOrder(orderReport))
	}
	message.SetOrders(forms)
	return message
}

func encodeRolloutOrder(report canary.OrderReport) *nodepb.RolloutOrder {
	order, form := report.Order(), &nodepb.RolloutOrder{}
	form.SetPool(order.Pool())
	form.SetVersion(order.Version())
	form.SetDurationMillis(int64(order.Duration()))
	form.SetRevision(order.Revision())
	form.SetOrderedAtMillis(int64(order.OrderedAt()))
	form.SetState(int32(order.State()))
	form.SetShare(order.Share())
	form.SetWithdrawn(order.Withdrawn())
	form.SetReplaces(order.Replaces())
	form.SetHalted(report.Halted())
	form.SetInProgress(int32(report.InProgress()))
	var routes []string
	var candidate, baseline []int64
	for _, sum := range report.Sums() {
		routes = append(routes, sum.Route())
		candidate = appendCount(candidate, sum.Candidate())
		baseline = appendCount(baseline, sum.Baseline())
	}
	form.SetRoutes(routes)
	form.SetCandidate(candidate)
	form.SetBaseline(baseline)
	return form
}

func appendCount(numbers []int64, count canary.Count) []int64 {
	return append(numbers, count.Answers(), count.Failed(), count.Slow(), count.Crashes())
}

// decodeRollouts adds the report, which may be missing, to the bulletin.
func decodeRollouts(bulletin node.Bulletin, message *nodepb.RolloutReport) (node.Bulletin, error) {
	if message == nil {
		return bulletin, nil
	}
	orders := make([]canary.OrderReport, 0, len(message.GetOrders()))
	for _, form := range message.GetOrders() {
		report, err := decodeRolloutOrder(form)
		if err != nil {
			return node.Bulletin{}, err
		}
		orders = append(orders, report)
	}
	return bulletin.WithRollouts(canary.NewReport(clock.Millis(message.GetAgeMillis()), orders)), nil
}

func decodeRolloutOrder(form *nodepb.RolloutOrder) (canary.OrderReport, error) {
	numbers := countNumbers * len(form.GetRoutes())
	state, share := canary.State(form.GetState()), form.GetShare()
	switch {
	case form.GetPool() == "" || form.GetVersion() == "" || form.GetDurationMillis() <= 0 || form.GetInProgress() < 0:
		return canary.OrderReport{}, errors.New("decode bulletin: a rollout lacks its pool, version or duration")
	case len(form.GetCandidate()) != numbers || len(form.GetBaseline()) != numbers:
		return canary.OrderReport{}, errors.New("decode bulletin: lists of a rollout that belong together differ in length")
	case state < canary.StateOrdered || state > canary.StateRolledBack:
		return canary.OrderReport{}, errors.Errorf("decode bulletin: a rollout has the state %d", state)
	case !(share >= 0 && share <= 1):
		return canary.OrderReport{}, errors.Errorf("decode bulletin: a rollout has the share %v", share)
	}
	order := canary.NewOrder(form.GetPool(), form.GetVersion(), clock.Millis(form.GetDurationMillis()), form.GetRevision())
	if replaces := form.GetReplaces(); replaces != "" {
		order = order.WithStatus(replaces, canary.StateOrdered, 0, 0)
	}
	order = order.WithStatus(form.GetVersion(), state, share, clock.Millis(form.GetOrderedAtMillis()))
	if form.GetWithdrawn() {
		order = order.WithWithdrawn(form.GetRevision())
	}
	sums := make([]canary.Sum, 0, len(form.GetRoutes()))
	for i, route := range form.GetRoutes() {
		sums = append(sums, canary.NewSum(route, countAt(form.GetCandidate(), i), countAt(form.GetBaseline(), i)))
	}
	return canary.NewOrderReport(order, form.GetHalted(), int(form.GetInProgress()), sums), nil
}

// countAt returns the count at the index, whose numbers are not below 0.
func countAt(numbers []int64, index int) canary.Count {
	part := numbers[countNumbers*index : countNumbers*(index+1)]
	return canary.NewCount(max(0, part[0]), max(0, part[1]), max(0, part[2]), max(0, part[3]))
}
