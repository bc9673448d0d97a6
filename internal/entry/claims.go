package entry

import (
	"context"

	"sapphirehead/internal/logging"
	"sapphirehead/internal/platform/platformhttp"
	"sapphirehead/internal/request"
	"sapphirehead/internal/service"
)

func (entry *Entry) claim(ctx context.Context, to *request.Request) (request.Claim, service.Answer) {
	return entry.ledger.Claim(ctx, to.Account(), to.Key(), to.ID())
}

func (entry *Entry) record(ctx context.Context, to *request.Request, answer service.Answer) error {
	err := entry.ledger.Record(ctx, to.Account(), to.Key(), to.ID(), answer)
	if err != nil {
		entry.log.Warn().Err(err).Str(logging.FieldRequestID, to.ID()).Msg("outcome not recorded")
	}
	return err
}

func (entry *Entry) loadShard(ctx context.Context, shard int) (service.Shard, int64, error) {
	return platformhttp.LoadShard(ctx, entry.store, shard)
}

func (entry *Entry) commitShard(ctx context.Context, shard int, claims service.Shard, condition int64) error {
	return platformhttp.CommitShard(ctx, entry.store, shard, claims, condition)
}
