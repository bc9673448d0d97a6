package edge

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"

	"sapphirehead/internal/operator/operatorhttp"
	"sapphirehead/platform/store"
)

// serveRollouts responds with what this node knows of rollouts.
func (edge *Edge) serveRollouts(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "application/json")
	json.NewEncoder(writer).Encode(edge.rolloutsForm())
}

func (edge *Edge) rolloutsForm() operatorhttp.RolloutsForm {
	form := operatorhttp.RolloutsForm{Host: edge.settings.Load().Host(), On: edge.hasRollouts(), Rollouts: []operatorhttp.RolloutForm{}}
	if !form.On {
		return form
	}
	tracker := edge.rollouts.tracker
	decisions := edge.rollouts.decisions()
	for _, order := range tracker.Orders() {
		rollout := operatorhttp.NewRolloutForm(order, tracker.Verdict(order.Pool()), tracker.Halted(order.Pool(), order.Version()))
		if deadline := order.Deadline(); deadline != 0 && !order.State().IsFinal() {
			rollout.LeftMillis = int64(deadline - edge.trueTime())
		}
		if object, _ := edge.rollouts.objects.forPool(order.Pool()); object.Version() == order.Revision() {
			rollout.Reason = store.RolloutReason(object)
		}
		if decision, ok := decisions[order.Pool()]; ok && !decision.MustWrite() && !order.State().IsFinal() && decision.Order().Version() == order.Version() {
			rollout.Waiting = decision.Reason()
		}
		rollout.Servers = edge.versionServers(order.Pool())
		form.Rollouts = append(form.Rollouts, rollout)
	}
	return form
}

// versionServers returns the number of the pool's servers that take requests, by version.
func (edge *Edge) versionServers(pool string) []operatorhttp.VersionServersForm {
	counts := map[string]int{}
	for _, server := range edge.fleet.Current().Pool(pool) {
		if !server.Leaving() {
			counts[server.Software()]++
		}
	}
	servers := []operatorhttp.VersionServersForm{}
	for version, count := range counts {
		servers = append(servers, operatorhttp.VersionServersForm{Version: version, Servers: count})
	}
	slices.SortFunc(servers, func(a, b operatorhttp.VersionServersForm) int { return cmp.Compare(a.Version, b.Version) })
	return servers
}
