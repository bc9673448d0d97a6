package entry

import (
	"context"
	"maps"
	"net/http"
	"slices"

	"sapphirehead/internal/node/nodepb"
	"sapphirehead/internal/operator"
	"sapphirehead/internal/operator/operatorhttp"
	"sapphirehead/internal/platform"
	"sapphirehead/internal/platform/platformhttp"
	"sapphirehead/internal/pool"
)

// status returns the status report for operators.
func (entry *Entry) status() operator.Status {
	entry.gossip.Refresh(context.Background(), entry.active.Current().Version())
	var servers []operator.ServerStatus
	now := entry.clock.Now()
	for _, server := range entry.fleet.Current().Servers() {
		servers = append(servers, operator.NewServerStatus(
			server.ID(), server.Address(), server.DataCentre(), server.Pool(), server.Leaving(), server.Circuit().State(now).String(), server.InFlight(), server.Failures(),
		))
	}
	return operator.NewStatus(entry.members.Self(), entry.members.Live(), servers)
}

func (entry *Entry) operatorHandler() http.Handler {
	return operatorhttp.New(entry.operatorToken, entry.commitEdit, entry.tables.Stored, entry.readHistory, entry.status, entry.leases,
		entry.drainNode, entry.drainServer, entry.clusterBurn, entry.refuseOperator).Router()
}

func (entry *Entry) refuseOperator(remote, name, reason string) {
	entry.counters.Add("operatorsRefused", 1)
	entry.log.Warn().Str("remote", remote).Str("operator", name).Str("reason", reason).Msg("operator refused")
}

// leases reads the leases of each pool of runners: the hosts lease, and the
// orders lease of each data centre with this node, a member or a backend server.
func (entry *Entry) leases(ctx context.Context) ([]operator.LeaseStatus, error) {
	dataCentres := map[string]bool{entry.settings.DataCentre(): true}
	for _, member := range entry.members.Live() {
		dataCentres[member.DataCentre()] = true
	}
	for _, server := range entry.fleet.Current().Servers() {
		dataCentres[server.DataCentre()] = true
	}
	var leases []operator.LeaseStatus
	for _, poolConfig := range entry.active.Current().Pools() {
		if poolConfig.Kind() != pool.KindRunner {
			continue
		}
		names := []string{platform.HostsLease(poolConfig.Name())}
		for _, dataCentre := range slices.Sorted(maps.Keys(dataCentres)) {
			names = append(names, platform.OrdersLease(poolConfig.Name(), dataCentre))
		}
		for _, name := range names {
			record, version, err := platformhttp.LoadLease(ctx, entry.store, name)
			if err != nil {
				return nil, err
			}
			if version == platform.VersionNone {
				continue
			}
			holder := record.Holder()
			if record.Released() {
				holder = ""
			}
			leases = append(leases, operator.NewLeaseStatus(name, holder, 0).WithFence(version))
		}
	}
	return leases, nil
}

// drainServer marks a backend server as leaving on an operator's request. Peers
// receive it like any other evidence.
func (entry *Entry) drainServer(by, id string) error {
	if entry.fleet.Current().Server(id) == nil {
		return operator.NewNotFoundError("backend server", id)
	}
	entry.log.Info().Str("operator", by).Str("backendServer", id).Msg("operator drains a backend server")
	entry.addEvidence(id)
	return nil
}

// drainNode makes this node or a peer shut down gracefully.
func (entry *Entry) drainNode(ctx context.Context, by, host string) error {
	if host == entry.settings.Host() {
		entry.stopForOperator(by)
		return nil
	}
	for _, member := range entry.members.Live() {
		if member.Host() == host {
			_, err := entry.links.Call(ctx, member.Address(), nodepb.Call_builder{Drain: nodepb.Drain_builder{Operator: &by}.Build()}.Build())
			return err
		}
	}
	return operator.NewNotFoundError("entry host", host)
}

// stopForOperator begins a graceful shutdown on an operator's request.
func (entry *Entry) stopForOperator(by string) {
	entry.log.Info().Str("operator", by).Msg("operator drains this entry host")
	entry.requestStop()
}
