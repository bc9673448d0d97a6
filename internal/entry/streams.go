package entry

import (
	"github.com/pkg/errors"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/node/nodepb"
	"sapphirehead/internal/request"
	"sapphirehead/internal/route"
)

// streamMessage encodes the state that another node needs to continue a
// response.
func (entry *Entry) streamMessage(req *request.Request, state *request.JournalState) *nodepb.Stream {
	finished, err := state.Finished()
	message := nodepb.Stream_builder{
		RequestId:  new(req.ID()),
		Account:    new(req.Account()),
		Route:      new(req.Route().Name()),
		Key:        new(req.Key()),
		Prompt:     promptMessage(req.Prompt()),
		LeftMillis: new(int64(req.Deadline() - entry.clock.Now())),
		Tokens:     state.Tokens(),
		Whole:      new(finished && err == nil),
		Streamed:   new(req.Streamed()),
	}.Build()
	if server, streamID := state.Source(); server != nil {
		message.SetServer(serverMessage(server))
		message.SetStreamId(streamID)
	}
	return message
}

func promptMessage(prompt request.Prompt) *nodepb.Prompt {
	message := nodepb.Prompt_builder{
		Model: new(prompt.Model()), MaxTokens: new(int64(prompt.MaxTokens())), Seed: new(prompt.Seed()),
		Sampling: nodepb.Sampling_builder{Temperature: prompt.Sampling().Temperature(), TopP: prompt.Sampling().TopP()}.Build(),
	}.Build()
	var turns []*nodepb.Turn
	for _, turn := range prompt.Messages() {
		turns = append(turns, nodepb.Turn_builder{Role: new(turn.Role()), Content: new(turn.Content())}.Build())
	}
	message.SetTurns(turns)
	return message
}

func promptOf(message *nodepb.Prompt) request.Prompt {
	turns := make([]request.Message, 0, len(message.GetTurns()))
	for _, turn := range message.GetTurns() {
		turns = append(turns, request.NewMessage(turn.GetRole(), turn.GetContent()))
	}
	prompt := request.NewPrompt(message.GetModel(), turns, int(message.GetMaxTokens()), message.GetSeed())
	var temperature, topP *float64
	if sampling := message.GetSampling(); sampling.HasTemperature() {
		temperature = new(sampling.GetTemperature())
	}
	if sampling := message.GetSampling(); sampling.HasTopP() {
		topP = new(sampling.GetTopP())
	}
	return prompt.WithSampling(request.NewSampling(temperature, topP))
}

func serverMessage(server *backend.Server) *nodepb.Server {
	return nodepb.Server_builder{
		Id: new(server.ID()), Address: new(server.Address()), DataCentre: new(server.DataCentre()),
		HostClass: new(server.HostClass()), Pool: new(server.Pool()),
	}.Build()
}

// serverOf returns the listed server with the message's ID, or a server built
// from the message if it is not listed at this node.
func (entry *Entry) serverOf(message *nodepb.Server) *backend.Server {
	if message == nil {
		return nil
	}
	if listed := entry.fleet.Current().Server(message.GetId()); listed != nil {
		return listed
	}
	return backend.NewServer(message.GetId(), message.GetAddress(), message.GetDataCentre(), message.GetHostClass(), message.GetPool())
}

// adoptStream continues a response that another node began.
func (entry *Entry) adoptStream(message *nodepb.Stream) (*Response, error) {
	reqRoute, ok := entry.routeNamed(message.GetRoute())
	if !ok {
		return nil, errors.Errorf("route %q is not in the tables in force", message.GetRoute())
	}
	received := entry.clock.Now() + clock.Millis(message.GetLeftMillis()) - reqRoute.Deadline()
	req := request.New(message.GetRequestId(), message.GetAccount(), reqRoute, message.GetKey(), promptOf(message.GetPrompt()), received).
		WithStreamed(message.GetStreamed())
	entry.counters.Add("streamsAdopted", 1)
	return entry.responses.Adopt(req, &ResumePoint{
		tokens:   message.GetTokens(),
		source:   streamSource{server: entry.serverOf(message.GetServer()), streamID: message.GetStreamId()},
		complete: message.GetWhole(),
	}), nil
}

func (entry *Entry) routeNamed(name string) (route.Route, bool) {
	for _, candidate := range entry.active.Current().Routes() {
		if candidate.Name() == name {
			return candidate, true
		}
	}
	return route.Route{}, false
}
