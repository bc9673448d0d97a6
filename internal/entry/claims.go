package entry

import (
	"context"
	"strconv"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/logging"
	"sapphirehead/internal/node"
	"sapphirehead/internal/node/nodepb"
	"sapphirehead/internal/platform/platformhttp"
	"sapphirehead/internal/rendezvous"
	"sapphirehead/internal/request"
	"sapphirehead/internal/service"
)

// Timeouts and intervals of claims.
const (
	// forwardTimeout bounds the wait for the owner of a claim object.
	forwardTimeout = 500 * clock.Millisecond
	// queryTimeout bounds the wait for the holder of a claim.
	queryTimeout = 200 * clock.Millisecond
	// recordTimeout bounds how long a response waits for its outcome to be
	// recorded.
	recordTimeout = 500 * clock.Millisecond
	// claimRetryInterval is the time between retries of unrecorded operations.
	claimRetryInterval = 250 * clock.Millisecond
	// claimRetryTimeout bounds these retries before the process ends.
	claimRetryTimeout = 5 * clock.Second
)

func (entry *Entry) newLedger() *service.Ledger {
	holder := entry.settings.Host() + "/" + strconv.FormatInt(entry.incarnation, 10)
	return service.NewLedger(entry.clock, service.DefaultWindow, holder, entry.loadShard, entry.commitShard).
		WithPeers(entry.forwardClaim, entry.queryHolder, func() int { return len(entry.members.Live()) + 1 }, jittered)
}

// generateResponse generates a response and ends its claim.
func (entry *Entry) generateResponse(ctx context.Context, response *Response) {
	entry.driver.Run(ctx, response)
	_, err := response.journal.State().Finished()
	entry.endClaim(response.Request(), err)
}

// endClaim reports to the ledger that the request has ended.
func (entry *Entry) endClaim(req *request.Request, err error) {
	if req.NeedsClaim() {
		var notRun *request.NotRunError
		entry.ledger.End(req, errors.As(err, &notRun))
	}
}

// claim claims the right to run a request. If the platform is unavailable, a
// service that itself refuses repeated keys is called without a claim.
func (entry *Entry) claim(ctx context.Context, req *request.Request) (request.Claim, service.Answer) {
	refusesRepeat := entry.refusesRepeat(req)
	claim, answer := entry.ledger.Claim(ctx, req, refusesRepeat)
	if claim == request.ClaimUnavailable && refusesRepeat {
		entry.counters.Add("claimsLeftToService", 1)
		return request.ClaimGranted, answer
	}
	if claim == request.ClaimUnavailable {
		entry.counters.Add("claimsUnavailable", 1)
	}
	return claim, answer
}

func (entry *Entry) refusesRepeat(req *request.Request) bool {
	poolConfig, ok := entry.active.Current().Pool(req.Route().Pool())
	return ok && poolConfig.RefusesRepeat()
}

// record stores the outcome and waits up to recordTimeout for it. The write
// then continues in the background.
func (entry *Entry) record(ctx context.Context, req *request.Request, answer service.Answer) error {
	done := make(chan error, 1)
	background := context.WithoutCancel(ctx)
	entry.recording.Go(func() {
		err := entry.ledger.Record(background, req, answer, entry.refusesRepeat(req))
		if err != nil {
			entry.counters.Add("outcomesNotRecorded", 1)
			entry.log.Warn().Err(err).Str(logging.FieldRequestID, req.ID()).Msg("outcome not recorded")
		}
		done <- err
	})
	limited, cancel := entry.clock.WithTimeout(background, recordTimeout)
	defer cancel()
	select {
	case err := <-done:
		return err
	case <-limited.Done():
		return context.Cause(limited)
	}
}

// retryClaims retries operations that the platform did not confirm.
func (entry *Entry) retryClaims(ctx context.Context) {
	for ctx.Err() == nil {
		entry.ledger.RetryBacklog(ctx)
		entry.clock.Wait(ctx, jittered(claimRetryInterval))
	}
}

// retryRemainingClaims retries unrecorded outcomes and releases before the
// process ends.
func (entry *Entry) retryRemainingClaims(kill context.Context) {
	if kill.Err() != nil {
		return
	}
	entry.recording.Wait()
	ctx, cancel := entry.clock.WithTimeout(kill, claimRetryTimeout)
	defer cancel()
	for ctx.Err() == nil && !entry.ledger.RetryBacklog(ctx) {
		entry.clock.Wait(ctx, jittered(claimRetryInterval))
	}
}

func (entry *Entry) loadShard(ctx context.Context, object string) (service.Shard, int64, error) {
	return platformhttp.LoadShard(ctx, entry.store, object)
}

func (entry *Entry) commitShard(ctx context.Context, object string, claims service.Shard, condition int64) (int64, error) {
	return platformhttp.CommitShard(ctx, entry.store, object, claims, condition)
}

// forwardClaim sends the operation to the owner of its object.
func (entry *Entry) forwardClaim(ctx context.Context, operation service.Operation) (service.Verdict, bool) {
	owner, ok := entry.claimOwner(operation.Place().Object())
	if !ok {
		return service.Verdict{}, false
	}
	call := nodepb.Call_builder{ClaimOperation: claimMessage(operation)}.Build()
	reply, err := entry.callWithin(ctx, forwardTimeout, owner.Address(), call)
	if err != nil {
		entry.counters.Add("claimForwardsFailed", 1)
		return service.Verdict{}, true
	}
	return verdictOf(reply.GetClaimVerdict()), true
}

// claimOwner returns the peer that owns the object, or false if this node owns
// it.
func (entry *Entry) claimOwner(object string) (node.Member, bool) {
	hosts := []string{entry.settings.Host()}
	members := map[string]node.Member{}
	for _, member := range entry.members.Live() {
		if !member.Stopping() {
			hosts = append(hosts, member.Host())
			members[member.Host()] = member
		}
	}
	owner, ok := members[rendezvous.Best(object, hosts)]
	return owner, ok
}

// queryHolder asks the process that holds a claim whether its request is
// certain never to run. A process that has ended cannot confirm this.
func (entry *Entry) queryHolder(ctx context.Context, holder, nonce string) bool {
	for _, member := range entry.members.Live() {
		if holder != member.Host()+"/"+strconv.FormatInt(member.Incarnation(), 10) {
			continue
		}
		call := nodepb.Call_builder{ClaimQuery: nodepb.ClaimQuery_builder{Holder: &holder, Nonce: &nonce}.Build()}.Build()
		reply, err := entry.callWithin(ctx, queryTimeout, member.Address(), call)
		return err == nil && reply.GetClaimStatus().GetNeverRuns()
	}
	return false
}

// callWithin calls a peer and stops waiting after the timeout. The call itself
// continues until its link's timeout.
func (entry *Entry) callWithin(ctx context.Context, timeout clock.Millis, address string, call *nodepb.Call) (*nodepb.Reply, error) {
	type outcome struct {
		reply *nodepb.Reply
		err   error
	}
	done := make(chan outcome, 1)
	background := context.WithoutCancel(ctx)
	go func() {
		reply, err := entry.links.Call(background, address, call)
		done <- outcome{reply: reply, err: err}
	}()
	limited, cancel := entry.clock.WithTimeout(ctx, timeout)
	defer cancel()
	select {
	case result := <-done:
		return result.reply, result.err
	case <-limited.Done():
		return nil, context.Cause(limited)
	}
}

func (entry *Entry) handleClaimOperation(message *nodepb.ClaimOperation) *nodepb.Reply {
	verdict := entry.ledger.HandleForwarded(context.Background(), operationOf(message))
	return nodepb.Reply_builder{ClaimVerdict: verdictMessage(verdict)}.Build()
}

func (entry *Entry) handleClaimQuery(query *nodepb.ClaimQuery) *nodepb.Reply {
	never := query.GetHolder() == entry.ledger.Holder() && entry.ledger.NeverRuns(query.GetNonce())
	return nodepb.Reply_builder{ClaimStatus: nodepb.ClaimStatus_builder{NeverRuns: &never}.Build()}.Build()
}
