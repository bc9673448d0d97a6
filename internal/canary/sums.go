package canary

import "sapphirehead/internal/clock"

// crashUnit is the count of one crash, of which each lost attempt has a part.
const crashUnit = 1000

// Count is the number of answers of one version on one route.
type Count struct {
	answers int64
	failed  int64
	slow    int64
	crashes int64
}

// NewCount returns a count of all answers, of those that failed, of those that were slow,
// and of crashes in thousandths.
func NewCount(answers, failed, slow, crashes int64) Count {
	return Count{answers: answers, failed: failed, slow: slow, crashes: crashes}
}

// Answers returns the number of answers, failed and slow ones included.
func (count Count) Answers() int64 { return count.answers }

// Failed returns the number of answers that reported a failure.
func (count Count) Failed() int64 { return count.failed }

// Slow returns the number of answers that took several times as long as usual.
func (count Count) Slow() int64 { return count.slow }

// Crashes returns the number of crashes in thousandths.
func (count Count) Crashes() int64 { return count.crashes }

// Bad returns the number of bad answers.
func (count Count) Bad() int64 { return count.failed + count.slow + count.crashes/crashUnit }

// IsZero reports whether nothing was counted.
func (count Count) IsZero() bool { return count == Count{} }

func (count Count) plus(added Count) Count {
	return Count{
		answers: count.answers + added.answers, failed: count.failed + added.failed,
		slow: count.slow + added.slow, crashes: count.crashes + added.crashes,
	}
}

// since returns the increase over an earlier count. Counts never fall, so a lower one
// comes from a message that was overtaken by a newer one, and adds nothing.
func (count Count) since(earlier Count) Count {
	return Count{
		answers: max(0, count.answers-earlier.answers), failed: max(0, count.failed-earlier.failed),
		slow: max(0, count.slow-earlier.slow), crashes: max(0, count.crashes-earlier.crashes),
	}
}

// Sum is what one node has counted on a route since it knows the order: the answers of
// the order's version, and of all other versions of the pool.
type Sum struct {
	route     string
	candidate Count
	baseline  Count
}

// NewSum returns the counts of the ordered version and of the others on the route.
func NewSum(route string, candidate, baseline Count) Sum {
	return Sum{route: route, candidate: candidate, baseline: baseline}
}

// Route returns the route.
func (sum Sum) Route() string { return sum.route }

// Candidate returns the count of the ordered version.
func (sum Sum) Candidate() Count { return sum.candidate }

// Baseline returns the count of the other versions.
func (sum Sum) Baseline() Count { return sum.baseline }

// OrderReport is what a node knows of an order and has counted since it knows it.
type OrderReport struct {
	order      Order
	halted     bool
	inProgress int
	sums       []Sum
}

// NewOrderReport returns the report of a node about the order: whether it stopped using
// the version by itself, the attempts that it has in progress at servers of other
// versions, and its sums.
func NewOrderReport(order Order, halted bool, inProgress int, sums []Sum) OrderReport {
	return OrderReport{order: order, halted: halted, inProgress: inProgress, sums: sums}
}

// Order returns the newest state of the order that the node knows.
func (report OrderReport) Order() Order { return report.order }

// Halted reports whether the node stopped using the version by itself.
func (report OrderReport) Halted() bool { return report.halted }

// InProgress returns the attempts in progress at servers of other versions.
func (report OrderReport) InProgress() int { return report.inProgress }

// Sums returns the counts by route.
func (report OrderReport) Sums() []Sum { return report.sums }

// Report is the part of a bulletin that concerns rollouts.
type Report struct {
	age    clock.Millis
	orders []OrderReport
}

// NewReport returns a report with the age of the node's knowledge of all orders.
func NewReport(age clock.Millis, orders []OrderReport) Report {
	return Report{age: age, orders: orders}
}

// Age returns the time since the rollouts were as the node knows them, or a negative
// value if it doesn't know them.
func (report Report) Age() clock.Millis { return report.age }

// Orders returns the orders that the node knows, at most one for each pool.
func (report Report) Orders() []OrderReport { return report.orders }
