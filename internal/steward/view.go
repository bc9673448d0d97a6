package steward

import (
	"context"
	"slices"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/operator"
	"sapphirehead/internal/platform"
	"sapphirehead/internal/platform/platformhttp"
	"sapphirehead/internal/table"
)

const (
	// maxTablesAge is how long the steward acts on tables since they were last
	// confirmed.
	maxTablesAge = 60 * clock.Second
	// tablesInterval is the time between two reads of the tables while the
	// entry host reports no other version.
	tablesInterval = 30 * clock.Second
)

// view is a snapshot of the backend servers, the candidates for leases, and the
// age of the tables.
type view struct {
	servers     []backend.Listing
	candidates  []platform.Candidate
	loadedAt    clock.Millis
	usableUntil clock.Millis
}

// pool returns the backend servers of a pool.
func (view *view) pool(name string) []backend.Listing {
	var servers []backend.Listing
	for _, listed := range view.servers {
		if listed.Server().Pool() == name {
			servers = append(servers, listed)
		}
	}
	return servers
}

// dataCentres returns the data centres in which the pool has backend servers.
func (view *view) dataCentres(pool string) []string {
	var names []string
	for _, listed := range view.pool(pool) {
		if name := listed.Server().DataCentre(); !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// refresh replaces the view. The local entry host reports the active version,
// peer nodes and backend servers without a call to the platform. If it is
// unavailable, tables and hosts are read from the platform.
//
// The steward does not act on tables older than those that it has loaded before or
// that are active at the entry host, nor on tables that could not be confirmed for
// maxTablesAge.
func (steward *Steward) refresh(ctx context.Context) error {
	next := *steward.view.Load()
	minVersion := int64(-1)
	if status, ok := steward.entryStatus(ctx); ok {
		minVersion = status.Self().TablesVersion()
		next.servers, next.candidates = serversOf(status), candidatesOf(status)
	} else {
		servers, err := steward.platform.Hosts(ctx)
		if err != nil {
			return err
		}
		next.servers = servers
	}
	now := steward.clock.Now()
	if minVersion != steward.active.Current().Version() || next.loadedAt == 0 || now-next.loadedAt >= tablesInterval {
		tables, _, err := platformhttp.LoadTables(ctx, steward.store)
		if err != nil {
			steward.view.Store(&next)
			return err
		}
		steward.active.Offer(tables)
		next.loadedAt = now
	}
	if steward.active.Current().Version() >= minVersion {
		next.usableUntil = now + maxTablesAge
	}
	steward.view.Store(&next)
	return nil
}

func (steward *Steward) entryStatus(ctx context.Context) (operator.Status, bool) {
	if steward.entry == nil {
		return operator.Status{}, false
	}
	status, err := steward.entry.Status(ctx)
	if err != nil {
		steward.counters.Add("entryUnanswered", 1)
		return operator.Status{}, false
	}
	return status, true
}

func serversOf(status operator.Status) []backend.Listing {
	servers := make([]backend.Listing, 0, len(status.Servers()))
	for _, server := range status.Servers() {
		listed := backend.NewServer(server.ID(), server.Address(), server.DataCentre(), "", server.Pool())
		servers = append(servers, backend.NewListing(listed, server.Leaving()))
	}
	return servers
}

func candidatesOf(status operator.Status) []platform.Candidate {
	var candidates []platform.Candidate
	for _, member := range status.Members() {
		if !member.Stopping() {
			candidates = append(candidates, platform.NewCandidate(member.Host(), member.DataCentre()))
		}
	}
	return append(candidates, platform.NewCandidate(status.Self().Host(), status.Self().DataCentre()))
}

// tables returns the active tables, and false if they are too old to act on.
func (steward *Steward) tables() (*table.Tables, bool) {
	return steward.active.Current(), steward.clock.Now() < steward.view.Load().usableUntil
}
