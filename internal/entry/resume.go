package entry

import (
	"context"

	"github.com/pkg/errors"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/caller/callerhttp"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/node"
	"sapphirehead/internal/node/nodepb"
	"sapphirehead/internal/request"
	"sapphirehead/internal/route"
	"sapphirehead/internal/service"
)

const (
	// resumeSuccessors is the number of a node's successors that are queried
	// for its responses.
	resumeSuccessors = 3
	// peerQueryTimeout bounds the query of peers for a response.
	peerQueryTimeout = 1500 * clock.Millisecond
	// hintTimeout bounds the wait for the node that has the response once there
	// is a hint, which identifies only the stream.
	hintTimeout = 300 * clock.Millisecond
)

func isMoved(err error) bool {
	var moved *request.MovedError
	return errors.As(err, &moved)
}

func isUnattended(err error) bool {
	var unattended *request.UnattendedError
	return errors.As(err, &unattended)
}

// chat generates the response to a new request and delivers its tokens in
// order.
func (entry *Entry) chat(ctx context.Context, req *request.Request, deliver func(offset int, tokens []string) error) error {
	return entry.responses.Begin(req).Follow(ctx, 0, deliver)
}

// call runs a call to an application service. A call with side effects is not
// cancelled when its caller disconnects, so that its outcome is recorded.
func (entry *Entry) call(ctx context.Context, req *request.Request, call service.Call) (service.Answer, error) {
	if req.Route().NonIdempotent() {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(entry.responses.ctx, cancel)
	defer stop()
	answer, err := entry.driver.Call(ctx, req, call)
	entry.endClaim(req, err)
	return answer, err
}

// find returns the response that a caller resumes.
func (entry *Entry) find(ctx context.Context, resumption request.Resumption) (*request.Request, callerhttp.Follow, error) {
	response, err := entry.findResponse(ctx, resumption)
	if err != nil {
		return nil, nil, err
	}
	if !resumption.Matches(response.Request()) {
		return nil, nil, request.NewStreamNotFoundError(resumption.ID())
	}
	return response.Request(), response.Follow, nil
}

// findResponse looks for the response at this node, then at the node that
// accepted the request and its successors. They hand it over, or return a hint
// about the stream that generates it. If no node has either, the request runs
// again, but only if the caller has received nothing or a second run would
// generate the same tokens.
func (entry *Entry) findResponse(ctx context.Context, resumption request.Resumption) (*Response, error) {
	if response, ok := entry.responses.Find(resumption.ID()); ok && !response.replaceable() {
		return response, nil
	}
	stream, hint, hinted := entry.queryPeers(ctx, resumption)
	if stream != nil {
		return entry.adoptStream(stream)
	}
	if response, ok := entry.responses.Find(resumption.ID()); ok && resumption.Matches(response.Request()) {
		return entry.resumeOwn(response), nil
	}
	if hinted {
		return entry.adoptHint(resumption, hint)
	}
	return entry.rerun(resumption)
}

// resumeOwn continues a response that this node gave up, from its tokens so
// far.
func (entry *Entry) resumeOwn(response *Response) *Response {
	state := response.journal.State()
	server, streamID := state.Source()
	_, err := state.Finished()
	resume := &ResumePoint{tokens: state.Tokens()}
	if !isUnattended(err) {
		resume.source = streamSource{server: server, streamID: streamID}
	}
	return entry.responses.Adopt(response.Request(), resume)
}

// adoptHint reads the hinted stream from its beginning, since the tokens before
// the caller's offset are needed if the generation has to move.
func (entry *Entry) adoptHint(resumption request.Resumption, hint node.Hint) (*Response, error) {
	prompt, hasPrompt := resumption.Prompt()
	reqRoute, ok := entry.hintedRoute(hint)
	if !ok || hint.AccountHash() != node.Hash(resumption.Account()) || (hasPrompt && uint32(prompt.Hash()) != hint.PromptHash()) {
		return nil, request.NewStreamNotFoundError(resumption.ID())
	}
	if !hasPrompt {
		prompt = request.NewPrompt(reqRoute.Model(), nil, 0, 0)
	}
	req := request.New(resumption.ID(), resumption.Account(), reqRoute, "", prompt, hint.Deadline()-reqRoute.Deadline()).WithStreamed(true).WithDelivered(resumption.Offset())
	if !hasPrompt {
		req = req.WithoutPrompt()
	}
	entry.counters.Add("streamsAdoptedByHint", 1)
	server := entry.hintedServer(hint, reqRoute.Pool())
	return entry.responses.Adopt(req, &ResumePoint{source: streamSource{server: server, streamID: hint.StreamID()}}), nil
}

func (entry *Entry) hintedRoute(hint node.Hint) (route.Route, bool) {
	for _, candidate := range entry.active.Current().Routes() {
		if node.Hash(candidate.Name()) == hint.RouteHash() {
			return candidate, true
		}
	}
	return route.Route{}, false
}

func (entry *Entry) hintedServer(hint node.Hint, pool string) *backend.Server {
	for _, server := range entry.fleet.Current().Pool(pool) {
		if node.Hash(server.ID()) == hint.ServerHash() {
			return server
		}
	}
	return nil
}

func (entry *Entry) rerun(resumption request.Resumption) (*Response, error) {
	prompt, hasPrompt := resumption.Prompt()
	if !hasPrompt {
		return nil, request.NewStreamNotFoundError(resumption.ID())
	}
	reqRoute, ok := entry.active.Current().RouteForModel(prompt.Model())
	switch {
	case !ok:
		return nil, request.NewStreamNotFoundError(resumption.ID())
	case reqRoute.NonIdempotent():
		return nil, request.NewOutcomeUnknownError(resumption.ID(), "no entry host knows of it")
	case resumption.Offset() > 0 && !prompt.Deterministic():
		return nil, request.NewIncompleteError(resumption.ID(), "its generation is lost, and another would differ from what the caller holds")
	}
	entry.counters.Add("requestsRunAgain", 1)
	req := request.New(resumption.ID(), resumption.Account(), reqRoute, "", prompt, entry.clock.Now()).WithStreamed(true).WithDelivered(resumption.Offset())
	return entry.responses.Begin(req), nil
}

// queryPeers queries all nodes that may have the response concurrently.
func (entry *Entry) queryPeers(ctx context.Context, resumption request.Resumption) (stream *nodepb.Stream, hint node.Hint, hinted bool) {
	ctx, cancel := entry.clock.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	hint, hinted = entry.hints.Find(resumption.ID())
	candidates := entry.candidates(resumption.ID())
	replies := make(chan *nodepb.Reply, len(candidates))
	call := nodepb.Call_builder{StreamQuery: nodepb.StreamQuery_builder{RequestId: new(resumption.ID()), Account: new(resumption.Account())}.Build()}.Build()
	for _, candidate := range candidates {
		entry.responses.group.Go(func() {
			reply, _ := entry.links.Call(ctx, candidate.Address(), call)
			replies <- reply
		})
	}
	tag, _ := request.ParseID(resumption.ID())
	waitCtx, stop := ctx, func() {}
	defer func() { stop() }()
	for range candidates {
		if hinted && waitCtx == ctx {
			waitCtx, stop = entry.clock.WithTimeout(ctx, hintTimeout)
		}
		select {
		case reply := <-replies:
			switch {
			case reply.HasStream():
				return reply.GetStream(), hint, hinted
			case reply.HasHint():
				hint, hinted = hintOf(reply.GetHint(), tag, entry.clock.Now()), true
			}
		case <-waitCtx.Done():
			return nil, hint, hinted
		}
	}
	return nil, hint, hinted
}

// candidates returns the peers that may have a response: the node that accepted
// the request, and its successors both with and without the nodes that are
// stopping.
func (entry *Entry) candidates(id string) []node.Member {
	tag, _ := request.ParseID(id)
	live := entry.members.Live()
	chosen := append(node.Successors(tag, live, resumeSuccessors), node.Successors(tag, notStopping(live), resumeSuccessors)...)
	for _, member := range live {
		if node.Tag(member.Host()) == tag {
			chosen = append(chosen, member)
		}
	}
	added := map[string]bool{entry.settings.Host(): true}
	var candidates []node.Member
	for _, member := range chosen {
		if !added[member.Host()] {
			added[member.Host()] = true
			candidates = append(candidates, member)
		}
	}
	return candidates
}

func notStopping(members []node.Member) []node.Member {
	var running []node.Member
	for _, member := range members {
		if !member.Stopping() {
			running = append(running, member)
		}
	}
	return running
}

func (entry *Entry) tag() uint32 { return node.Tag(entry.settings.Host()) }
