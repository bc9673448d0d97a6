package entry

import (
	"context"
	"net/http"

	"sapphirehead/internal/operator"
	"sapphirehead/internal/operator/operatorhttp"
	"sapphirehead/internal/table"
)

// status returns the report for operators.
func (entry *Entry) status() operator.Status {
	var servers []operator.ServerStatus
	for _, server := range entry.fleet.Current().Servers() {
		servers = append(servers, operator.NewServerStatus(
			server.ID(), server.Address(), server.DataCentre(), server.Pool(), server.Leaving(), server.InFlight(), server.Failures(),
		))
	}
	return operator.NewStatus(entry.self(), entry.members.Live(), servers)
}

func (entry *Entry) operatorHandler() http.Handler {
	stored := func(ctx context.Context) (*table.Tables, error) {
		tables, _, err := entry.loadTables(ctx)
		return tables, err
	}
	refuse := func(remote, reason string) {
		entry.log.Warn().Str("remote", remote).Str("reason", reason).Msg("operator refused")
	}
	return operatorhttp.New(entry.settings.OperatorToken(), entry.commitEdit, stored, entry.status, refuse).Router()
}
