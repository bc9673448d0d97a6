package entry

import (
	"context"
	"net/http"

	"sapphirehead/internal/operator"
	"sapphirehead/internal/operator/operatorhttp"
)

// status returns the report for operators.
func (entry *Entry) status() operator.Status {
	entry.fellows.Refresh(context.Background(), entry.inForce.Current().Version())
	var servers []operator.ServerStatus
	for _, server := range entry.fleet.Current().Servers() {
		servers = append(servers, operator.NewServerStatus(
			server.ID(), server.Address(), server.DataCentre(), server.Pool(), server.Leaving(), server.InFlight(), server.Failures(),
		))
	}
	return operator.NewStatus(entry.members.Self(), entry.members.Live(), servers)
}

func (entry *Entry) operatorHandler() http.Handler {
	refuse := func(remote, reason string) {
		entry.log.Warn().Str("remote", remote).Str("reason", reason).Msg("operator refused")
	}
	return operatorhttp.New(entry.settings.OperatorToken(), entry.tables.Commit, entry.tables.Stored, entry.status, refuse).Router()
}
