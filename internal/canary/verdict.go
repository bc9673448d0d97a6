package canary

// Verdict is what the merged evidence shows about the version of an order.
type Verdict struct {
	halted   bool
	suspect  bool
	doubtful bool
	grave    bool
	reason   string
	routes   []Sum
}

// NewVerdict returns a verdict: whether the version is shown to be bad, whether there is
// some evidence against it, the reason as text, and the merged counts by route.
func NewVerdict(halted, suspect bool, reason string, routes []Sum) Verdict {
	return Verdict{halted: halted, suspect: suspect, reason: reason, routes: routes}
}

// WithDoubt returns the verdict with much evidence against the version, though not enough
// to show that it is bad. It is grave if it consists of more than a handful of failures.
func (verdict Verdict) WithDoubt(grave bool) Verdict {
	verdict.suspect, verdict.doubtful, verdict.grave = true, true, grave
	return verdict
}

// Halted reports whether the version is shown to be bad.
func (verdict Verdict) Halted() bool { return verdict.halted }

// Suspect reports whether there is some evidence against the version.
func (verdict Verdict) Suspect() bool { return verdict.suspect }

// Reason returns why the version is bad or suspect as text, or "".
func (verdict Verdict) Reason() string { return verdict.reason }

// Routes returns the merged counts of all nodes by route.
func (verdict Verdict) Routes() []Sum { return verdict.routes }
