package runnerstandin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"github.com/gorilla/mux"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/standin/standinhttp"
)

// Runner is the state of the stand-in.
type Runner struct {
	clock            *clock.Clock
	name             string
	decodeTime       clock.Millis
	prefillRate      int
	ignoresFence     bool
	slots            chan struct{}
	lifetime         context.Context
	mutex            sync.Mutex
	cache            *prefixCache
	models           []modelForm
	streams          map[string]*stream
	fence            int64
	role             string
	running          int
	queued           int
	waitingTokens    int
	leaving          bool
	generated        int64
	recomputed       int64
	lastStreamNumber int64
}

// stream is one generation. It continues without a client connection.
type stream struct {
	id      string
	prompt  promptForm
	tokens  []string
	ready   int
	ended   bool
	changed chan struct{}
	cancel  context.CancelFunc
}

const (
	// defaultPrefillRate is the number of prompt tokens processed in a millisecond.
	defaultPrefillRate = 20
	// cacheBlocks is the capacity of the prefix cache in blocks.
	cacheBlocks = 512
)

// New returns a runner that processes up to slots requests concurrently and takes
// the time decodeTime for each token. Its generations stop when the context lifetime
// ends.
func New(lifetime context.Context, clock *clock.Clock, name string, slots int, decodeTime clock.Millis, models []string, ignoresFence bool) *Runner {
	runner := &Runner{
		clock:        clock,
		name:         name,
		decodeTime:   decodeTime,
		prefillRate:  defaultPrefillRate,
		ignoresFence: ignoresFence,
		slots:        make(chan struct{}, slots),
		lifetime:     lifetime,
		cache:        newPrefixCache(cacheBlocks),
		streams:      map[string]*stream{},
		role:         "serve",
	}
	for _, model := range models {
		runner.models = append(runner.models, modelForm{Name: model, Version: "v1"})
	}
	return runner
}

// Router returns the HTTP routes of the stand-in.
func (runner *Runner) Router() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/chat/completions", runner.serveChat).Methods(http.MethodPost)
	router.HandleFunc("/v1/streams/{id}", runner.serveResume).Methods(http.MethodGet)
	router.HandleFunc("/v1/streams/{id}", runner.serveCancel).Methods(http.MethodDelete)
	router.HandleFunc("/v1/kv/{id}", runner.serveExport).Methods(http.MethodGet)
	router.HandleFunc("/v1/kv", runner.serveImport).Methods(http.MethodPost)
	router.HandleFunc("/v1/orders", runner.serveOrder).Methods(http.MethodPost)
	router.HandleFunc("/v1/state", runner.serveState).Methods(http.MethodGet)
	router.HandleFunc("/v1/cache-events", runner.serveCacheEvents).Methods(http.MethodGet)
	router.HandleFunc("/control/leave", runner.serveLeave).Methods(http.MethodPost)
	return router
}

type messageForm struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type promptForm struct {
	Model     string        `json:"model"`
	Messages  []messageForm `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Seed      int64         `json:"seed"`
	Stream    bool          `json:"stream"`
	Sapphire  struct {
		RequestID string   `json:"requestId"`
		Tokens    []string `json:"tokens"`
	} `json:"sapphire"`
}

func (form promptForm) contents() []string {
	contents := make([]string, 0, len(form.Messages))
	for _, message := range form.Messages {
		contents = append(contents, message.Content)
	}
	return contents
}

func (runner *Runner) serveChat(writer http.ResponseWriter, request *http.Request) {
	var form promptForm
	if !standinhttp.Read(writer, request, &form) {
		return
	}
	tokens := GenerateTokens(form.Model, form.contents(), form.Seed, form.MaxTokens)
	priorTokens := form.Sapphire.Tokens
	if len(priorTokens) > len(tokens) || !slices.Equal(priorTokens, tokens[:len(priorTokens)]) {
		http.Error(writer, "the tokens so far are not of this answer", http.StatusUnprocessableEntity)
		return
	}
	if !runner.accepts(form.Model) {
		runner.writeLoad(writer.Header())
		http.Error(writer, "not run: the runner is leaving or lacks the model", http.StatusServiceUnavailable)
		return
	}
	created := runner.startStream(form, tokens, len(priorTokens), false)
	runner.writeStream(request.Context(), writer, created, len(priorTokens))
}

func (runner *Runner) accepts(model string) bool {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	return !runner.leaving && slices.ContainsFunc(runner.models, func(known modelForm) bool {
		return known.Name == model || slices.Contains(known.Adapters, model)
	})
}

// startStream starts a generation whose first ready tokens are already known. An
// imported generation needs no prefill, as its KV cache was transferred.
func (runner *Runner) startStream(form promptForm, tokens []string, ready int, imported bool) *stream {
	ctx, cancel := context.WithCancel(runner.lifetime)
	runner.mutex.Lock()
	runner.lastStreamNumber++
	created := &stream{id: runner.name + "-" + strconv.FormatInt(runner.lastStreamNumber, 10), prompt: form, tokens: tokens, ready: ready, changed: make(chan struct{}), cancel: cancel}
	runner.streams[created.id] = created
	prompt := append(PromptTokens(form.contents()), tokens[:ready]...)
	work := len(prompt) - runner.cache.reuse(form.Model, prompt)
	if imported {
		work = 0
	}
	if ready > 0 {
		runner.recomputed += int64(work)
	}
	runner.queued++
	runner.waitingTokens += work
	runner.mutex.Unlock()
	go runner.generate(ctx, created, work)
	return created
}

func (runner *Runner) generate(ctx context.Context, created *stream, work int) {
	select {
	case runner.slots <- struct{}{}:
	case <-ctx.Done():
		runner.addLoad(-1, 0, -work)
		runner.advance(created, 0, true)
		return
	}
	defer func() { <-runner.slots }()
	runner.addLoad(-1, 1, 0)
	defer runner.addLoad(0, -1, 0)
	err := runner.clock.Wait(ctx, clock.Millis(work/runner.prefillRate))
	runner.addLoad(0, 0, -work)
	for err == nil && created.ready < len(created.tokens) {
		err = runner.clock.Wait(ctx, runner.decodeTime)
		if err == nil {
			runner.advance(created, 1, false)
		}
	}
	runner.advance(created, 0, true)
}

func (runner *Runner) addLoad(queued, running, waitingTokens int) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	runner.queued += queued
	runner.running += running
	runner.waitingTokens += waitingTokens
}

func (runner *Runner) advance(stream *stream, tokens int, ended bool) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	stream.ready += tokens
	stream.ended = stream.ended || ended
	runner.generated += int64(tokens)
	close(stream.changed)
	stream.changed = make(chan struct{})
}

func (runner *Runner) writeLoad(header http.Header) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	header.Set("X-Load-Running", strconv.Itoa(runner.running))
	header.Set("X-Load-Queued", strconv.Itoa(runner.queued))
	header.Set("X-Load-Tokens", strconv.Itoa(runner.waitingTokens))
	if runner.leaving {
		header.Set("X-Leaving", "true")
	}
}

type deltaForm struct {
	Content string `json:"content"`
}

type choiceForm struct {
	Index        int       `json:"index"`
	Delta        deltaForm `json:"delta"`
	FinishReason *string   `json:"finish_reason"`
}

type extensionForm struct {
	Offset  int      `json:"offset"`
	Tokens  []string `json:"tokens,omitempty"`
	Total   int      `json:"total,omitempty"`
	Leaving bool     `json:"leaving,omitempty"`
}

type chunkForm struct {
	ID       string        `json:"id"`
	Object   string        `json:"object"`
	Choices  []choiceForm  `json:"choices"`
	Sapphire extensionForm `json:"sapphire"`
}

// writeStream writes the stream's events from the token offset until its end.
func (runner *Runner) writeStream(ctx context.Context, writer http.ResponseWriter, stream *stream, offset int) {
	runner.writeLoad(writer.Header())
	writer.Header().Set("X-Stream-Id", stream.id)
	writer.Header().Set("X-Request-Id", stream.prompt.Sapphire.RequestID)
	writer.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(writer)
	flusher.Flush()
	for {
		runner.mutex.Lock()
		ready, ended, changed, leaving := stream.ready, stream.ended, stream.changed, runner.leaving
		runner.mutex.Unlock()
		if offset < ready {
			tokens := stream.tokens[offset:ready]
			writeChunk(writer, stream.id, choiceForm{Delta: deltaForm{Content: join(tokens)}}, extensionForm{Offset: offset, Tokens: tokens, Leaving: leaving})
			offset = ready
		}
		if offset == len(stream.tokens) {
			reason := "stop"
			writeChunk(writer, stream.id, choiceForm{FinishReason: &reason}, extensionForm{Offset: offset, Total: offset, Leaving: leaving})
			fmt.Fprint(writer, "data: [DONE]\n\n")
			return
		}
		flusher.Flush()
		if ended {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		case <-runner.lifetime.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func join(tokens []string) string {
	text := ""
	for _, token := range tokens {
		text += token
	}
	return text
}

func writeChunk(writer http.ResponseWriter, id string, choice choiceForm, extension extensionForm) {
	data, _ := json.Marshal(chunkForm{ID: id, Object: "chat.completion.chunk", Choices: []choiceForm{choice}, Sapphire: extension})
	fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", extension.Offset+len(extension.Tokens), data)
}
