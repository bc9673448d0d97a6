package node

import (
	"sapphirehead/internal/admission"
	"sapphirehead/internal/backend"
	"sapphirehead/internal/canary"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/quarantine"
	"sapphirehead/internal/release"
)

// Usage is the consumption of a client account, or the demand for a pool, by
// name.
type Usage struct {
	name     string
	requests int64
	tokens   int64
}

// NewUsage returns the usage under the name.
func NewUsage(name string, requests, tokens int64) Usage {
	return Usage{name: name, requests: requests, tokens: tokens}
}

// Name returns the name of the account or pool.
func (usage Usage) Name() string { return usage.name }

// Requests returns the number of requests.
func (usage Usage) Requests() int64 { return usage.requests }

// Tokens returns the number of tokens.
func (usage Usage) Tokens() int64 { return usage.tokens }

// ServerWork is the work that a node has in progress at a backend server.
type ServerWork struct {
	server   uint64
	attempts int
	tokens   int
}

// NewServerWork returns the attempts in progress and the prompt tokens that wait
// at the server with the hash of its key.
func NewServerWork(server uint64, attempts, tokens int) ServerWork {
	return ServerWork{server: server, attempts: attempts, tokens: tokens}
}

// Server returns the hash of the server's key.
func (work ServerWork) Server() uint64 { return work.server }

// Attempts returns the number of attempts in progress.
func (work ServerWork) Attempts() int { return work.attempts }

// Tokens returns the prompt tokens that wait for prefill.
func (work ServerWork) Tokens() int { return work.tokens }

// WindowRuns is the number of requests of an account that began to run in a
// window of true time.
type WindowRuns struct {
	window  int64
	account string
	runs    int64
}

// NewWindowRuns returns the runs of the account in the window.
func NewWindowRuns(window int64, account string, runs int64) WindowRuns {
	return WindowRuns{window: window, account: account, runs: runs}
}

// Window returns the number of the window.
func (runs WindowRuns) Window() int64 { return runs.window }

// Account returns the name of the client account.
func (runs WindowRuns) Account() string { return runs.account }

// Runs returns the number of requests.
func (runs WindowRuns) Runs() int64 { return runs.runs }

// Bulletin is the state that a node sends to its peers. Sums count from the
// start of the process.
type Bulletin struct {
	host        string
	address     string
	incarnation int64
	sequence    int64
	wall        clock.Millis
	stopping    bool
	accounts    []Usage
	servers     []ServerWork
	pools       []Usage
	windows     []WindowRuns
	// configuration is the version that is active at the sender, or 0.
	configuration int64
	leaving       []uint64
	uptime        clock.Millis
	// configurationAge is the time since the store's latest response to the sender
	// about the configuration.
	configurationAge clock.Millis
	evidence         quarantine.Evidence
	serverLimits     []ServerLimit
	reportedWindow   int64
	releases         release.News
	// listService is the time for which the store has answered the sender's reads of the
	// list of servers, or 0.
	listService clock.Millis
	speeds      backend.SpeedNews
	// rollouts is nil if the sender takes no part in rollouts.
	rollouts  *canary.Report
	admission []admission.Sums
}

// NewBulletin returns a bulletin of the process on the host, which receives
// bulletins at the address; wall is its time of day.
func NewBulletin(host, address string, incarnation, sequence int64, wall clock.Millis, stopping bool) Bulletin {
	return Bulletin{host: host, address: address, incarnation: incarnation, sequence: sequence, wall: wall, stopping: stopping}
}

// WithConfiguration returns a copy with the version of the active configuration, and
// the time since the store's latest response about it.
func (bulletin Bulletin) WithConfiguration(version int64, age clock.Millis) Bulletin {
	bulletin.configuration, bulletin.configurationAge = version, age
	return bulletin
}

// ConfigurationAge returns the time since the store's latest response to the sender
// about the configuration.
func (bulletin Bulletin) ConfigurationAge() clock.Millis { return bulletin.configurationAge }

// WithReportedWindow returns a copy with the latest window whose usage the sender knows to
// have been committed for a report, or 0.
func (bulletin Bulletin) WithReportedWindow(window int64) Bulletin {
	bulletin.reportedWindow = window
	return bulletin
}

// ReportedWindow returns the latest window whose usage the sender knows to have been
// committed for a report, or 0.
func (bulletin Bulletin) ReportedWindow() int64 { return bulletin.reportedWindow }

// WithUptime returns a copy with the time since the start of the sender's process.
func (bulletin Bulletin) WithUptime(uptime clock.Millis) Bulletin {
	bulletin.uptime = uptime
	return bulletin
}

// Uptime returns the time since the start of the sender's process, by its monotonic
// clock.
func (bulletin Bulletin) Uptime() clock.Millis { return bulletin.uptime }

// Configuration returns the version of the configuration that is active at the
// sender, or 0 if it has none.
func (bulletin Bulletin) Configuration() int64 { return bulletin.configuration }

// WithLeaving returns a copy with the hashes of the keys of leaving backend
// servers.
func (bulletin Bulletin) WithLeaving(servers []uint64) Bulletin {
	bulletin.leaving = servers
	return bulletin
}

// Leaving returns the hashes of the keys of leaving backend servers.
func (bulletin Bulletin) Leaving() []uint64 { return bulletin.leaving }

// WithEvidence returns a copy with what the sender knows of prompt parts that crash
// backend servers.
func (bulletin Bulletin) WithEvidence(evidence quarantine.Evidence) Bulletin {
	bulletin.evidence = evidence
	return bulletin
}

// Evidence returns what the sender knows of prompt parts that crash backend servers.
func (bulletin Bulletin) Evidence() quarantine.Evidence { return bulletin.evidence }

// WithServerLimits returns a copy with what the sender knows of the limits of backend
// servers.
func (bulletin Bulletin) WithServerLimits(limits []ServerLimit) Bulletin {
	bulletin.serverLimits = limits
	return bulletin
}

// ServerLimits returns what the sender knows of the limits of backend servers.
func (bulletin Bulletin) ServerLimits() []ServerLimit { return bulletin.serverLimits }

// WithReleases returns a copy with what the sender knows of software versions and of the
// streams that they began.
func (bulletin Bulletin) WithReleases(news release.News) Bulletin {
	bulletin.releases = news
	return bulletin
}

// Releases returns what the sender knows of software versions and of the streams that
// they began.
func (bulletin Bulletin) Releases() release.News { return bulletin.releases }

// WithListService returns a copy with the time for which the store has answered the
// sender's reads of the list of servers without a failure, or 0 if it doesn't or the sender
// can't tell.
func (bulletin Bulletin) WithListService(service clock.Millis) Bulletin {
	bulletin.listService = service
	return bulletin
}

// ListService returns the time for which the store has answered the sender's reads of the
// list of servers without a failure, or 0 if it doesn't or the sender can't tell.
func (bulletin Bulletin) ListService() clock.Millis { return bulletin.listService }

// WithSpeeds returns a copy with what the sender has lately learned of the speed of servers.
func (bulletin Bulletin) WithSpeeds(news backend.SpeedNews) Bulletin {
	bulletin.speeds = news
	return bulletin
}

// Speeds returns what the sender has lately learned of the speed of servers.
func (bulletin Bulletin) Speeds() backend.SpeedNews { return bulletin.speeds }

// WithRollouts returns a copy with what the sender knows of rollouts and has counted.
func (bulletin Bulletin) WithRollouts(report canary.Report) Bulletin {
	bulletin.rollouts = &report
	return bulletin
}

// Rollouts returns what the sender knows of rollouts and has counted, and false if it takes
// no part in them.
func (bulletin Bulletin) Rollouts() (canary.Report, bool) {
	if bulletin.rollouts == nil {
		return canary.Report{}, false
	}
	return *bulletin.rollouts, true
}

// WithAdmission returns a copy with the sums by which nodes admit requests alike, by pool.
func (bulletin Bulletin) WithAdmission(sums []admission.Sums) Bulletin {
	bulletin.admission = sums
	return bulletin
}

// Admission returns the sums by which nodes admit requests alike, by pool.
func (bulletin Bulletin) Admission() []admission.Sums { return bulletin.admission }

// WithUsage returns a copy with the node's usage and load.
func (bulletin Bulletin) WithUsage(accounts []Usage, servers []ServerWork, pools []Usage, windows []WindowRuns) Bulletin {
	bulletin.accounts, bulletin.servers, bulletin.pools, bulletin.windows = accounts, servers, pools, windows
	return bulletin
}

// newerThan reports whether the bulletin was sent after the other one of the
// same host.
func (bulletin Bulletin) newerThan(other Bulletin) bool {
	if bulletin.incarnation != other.incarnation {
		return bulletin.incarnation > other.incarnation
	}
	return bulletin.sequence > other.sequence
}

// Host returns the name of the sender's host.
func (bulletin Bulletin) Host() string { return bulletin.host }

// Address returns the address at which the sender receives bulletins.
func (bulletin Bulletin) Address() string { return bulletin.address }

// Incarnation returns the number of the process start, which rises with each
// start.
func (bulletin Bulletin) Incarnation() int64 { return bulletin.incarnation }

// Sequence returns the number of the bulletin.
func (bulletin Bulletin) Sequence() int64 { return bulletin.sequence }

// Wall returns the sender's time of day.
func (bulletin Bulletin) Wall() clock.Millis { return bulletin.wall }

// Stopping reports whether the sender is stopping.
func (bulletin Bulletin) Stopping() bool { return bulletin.stopping }

// Accounts returns the tokens that client accounts used.
func (bulletin Bulletin) Accounts() []Usage { return bulletin.accounts }

// Servers returns the work in progress at backend servers.
func (bulletin Bulletin) Servers() []ServerWork { return bulletin.servers }

// Pools returns the demand for pools.
func (bulletin Bulletin) Pools() []Usage { return bulletin.pools }

// Windows returns the runs of the latest windows.
func (bulletin Bulletin) Windows() []WindowRuns { return bulletin.windows }
