package callerhttp

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
)

type statusForm struct {
	Status string `json:"status"`
}

type modelForm struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelsForm struct {
	Object string      `json:"object"`
	Data   []modelForm `json:"data"`
}

type messageForm struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content,omitempty"`
}

type streamOptionsForm struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatForm struct {
	Model               string             `json:"model"`
	Messages            []messageForm      `json:"messages"`
	MaxTokens           int                `json:"max_tokens"`
	MaxCompletionTokens int                `json:"max_completion_tokens"`
	Seed                int64              `json:"seed"`
	Temperature         *float64           `json:"temperature"`
	TopP                *float64           `json:"top_p"`
	Stream              bool               `json:"stream"`
	StreamOptions       *streamOptionsForm `json:"stream_options"`
	N                   int                `json:"n"`
	contents            []string
}

type contentPartForm struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// decodeChat decodes the body of a chat call. Unknown fields are allowed, as
// stock client libraries send them. Errors are *CallError.
func decodeChat(body []byte) (chatForm, error) {
	var form chatForm
	if err := json.Unmarshal(body, &form); err != nil {
		return form, newCallError(http.StatusBadRequest, "badRequest", "the body is not a chat request: "+err.Error())
	}
	switch {
	case form.Model == "":
		return form, newCallError(http.StatusBadRequest, "badRequest", "model: missing")
	case len(form.Messages) == 0:
		return form, newCallError(http.StatusBadRequest, "badRequest", "messages: at least one is needed")
	case form.MaxTokens < 0 || form.MaxCompletionTokens < 0:
		return form, newCallError(http.StatusBadRequest, "badRequest", "max_tokens: allowed is 0 or more")
	case form.N > 1:
		return form, newCallError(http.StatusBadRequest, "badRequest", "n: only one answer is given for each request")
	}
	for i, message := range form.Messages {
		content, err := decodeContent(message.Content)
		if err != nil {
			return form, newCallError(http.StatusBadRequest, "badRequest", fmt.Sprintf("messages[%d].content: allowed are a string or parts of type text", i))
		}
		form.contents = append(form.contents, content)
	}
	return form, nil
}

func decodeContent(raw json.RawMessage) (string, error) {
	if len(raw) == 0 {
		return "", nil
	}
	var text string
	if err := json.Unmarshal(raw, &text); err == nil {
		return text, nil
	}
	var parts []contentPartForm
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", err
	}
	var joined strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return "", fmt.Errorf("part of type %q", part.Type)
		}
		joined.WriteString(part.Text)
	}
	return joined.String(), nil
}

func (form chatForm) prompt() request.Prompt {
	messages := make([]request.Message, 0, len(form.Messages))
	for i, message := range form.Messages {
		messages = append(messages, request.NewMessage(message.Role, form.contents[i]))
	}
	return request.NewPrompt(form.Model, messages, max(form.MaxTokens, form.MaxCompletionTokens), form.Seed).
		WithSampling(request.NewSampling(form.Temperature, form.TopP))
}

func (form chatForm) includeUsage() bool {
	return form.StreamOptions != nil && form.StreamOptions.IncludeUsage
}

type responseMessageForm struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type choiceForm struct {
	Index        int                 `json:"index"`
	Message      responseMessageForm `json:"message"`
	FinishReason string              `json:"finish_reason"`
}

type usageForm struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type completionForm struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []choiceForm `json:"choices"`
	Usage   usageForm    `json:"usage"`
}

type deltaForm struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type chunkChoiceForm struct {
	Index        int       `json:"index"`
	Delta        deltaForm `json:"delta"`
	FinishReason *string   `json:"finish_reason"`
}

type chunkForm struct {
	ID      string            `json:"id"`
	Object  string            `json:"object"`
	Created int64             `json:"created"`
	Model   string            `json:"model"`
	Choices []chunkChoiceForm `json:"choices"`
	Usage   *usageForm        `json:"usage,omitempty"`
}

const finishReasonStop = "stop"

func (handler *Handler) bufferedChat(writer http.ResponseWriter, message *http.Request, req *request.Request, follow Follow) {
	var text strings.Builder
	count := 0
	err := follow(message.Context(), 0, func(_ int, tokens []string) error {
		for _, token := range tokens {
			text.WriteString(token)
		}
		count += len(tokens)
		return nil
	})
	if isMoved(err) {
		seeOther(writer, "/v1/results/"+req.ID())
		return
	}
	if err != nil {
		writeError(writer, req.ID(), err)
		return
	}
	writeJSON(writer, http.StatusOK, completionForm{
		ID: req.ID(), Object: "chat.completion", Created: handler.wallSeconds(), Model: req.Prompt().Model(),
		Choices: []choiceForm{{Message: responseMessageForm{Role: "assistant", Content: text.String()}, FinishReason: finishReasonStop}},
		Usage:   usageOf(req, count),
	})
}

func (handler *Handler) streamChat(writer http.ResponseWriter, message *http.Request, req *request.Request, follow Follow, offset int, includeUsage bool) {
	stream := newEventWriter(writer, req, handler.wallSeconds())
	stream.count = offset
	err := follow(message.Context(), offset, stream.deliver)
	if err != nil {
		stream.fail(err)
		return
	}
	stream.finish(includeUsage)
}

func (handler *Handler) wallSeconds() int64 { return int64(handler.clock.Wall() / clock.Second) }

func usageOf(req *request.Request, completion int) usageForm {
	prompt := req.Prompt().Length()
	return usageForm{PromptTokens: prompt, CompletionTokens: completion, TotalTokens: prompt + completion}
}

// eventWriter writes a response as server-sent events. The id of an event
// contains the request id and the number of tokens up to and including the
// event's. A caller that sends it as Last-Event-ID resumes after that token.
type eventWriter struct {
	writer  http.ResponseWriter
	flusher *http.ResponseController
	req     *request.Request
	created int64
	started bool
	count   int
}

func newEventWriter(writer http.ResponseWriter, req *request.Request, created int64) *eventWriter {
	return &eventWriter{writer: writer, flusher: http.NewResponseController(writer), req: req, created: created}
}

func (stream *eventWriter) start() {
	if stream.started {
		return
	}
	stream.started = true
	stream.writer.Header().Set("Content-Type", "text/event-stream")
	stream.writer.Header().Set("Cache-Control", "no-cache")
	stream.writer.WriteHeader(http.StatusOK)
}

func (stream *eventWriter) deliver(offset int, tokens []string) error {
	stream.start()
	delta := deltaForm{Content: strings.Join(tokens, "")}
	if offset == 0 {
		delta.Role = "assistant"
	}
	stream.count = offset + len(tokens)
	return stream.write([]chunkChoiceForm{{Delta: delta}}, nil)
}

func (stream *eventWriter) write(choices []chunkChoiceForm, usage *usageForm) error {
	data, err := json.Marshal(chunkForm{
		ID: stream.req.ID(), Object: "chat.completion.chunk", Created: stream.created, Model: stream.req.Prompt().Model(), Choices: choices, Usage: usage,
	})
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(stream.writer, "id: %s\ndata: %s\n\n", request.EventID(stream.req.ID(), stream.count), data); err != nil {
		return err
	}
	return stream.flusher.Flush()
}

func (stream *eventWriter) finish(includeUsage bool) {
	stream.start()
	reason := finishReasonStop
	if err := stream.write([]chunkChoiceForm{{FinishReason: &reason}}, nil); err != nil {
		return
	}
	if includeUsage {
		usage := usageOf(stream.req, stream.count)
		if err := stream.write([]chunkChoiceForm{}, &usage); err != nil {
			return
		}
	}
	fmt.Fprint(stream.writer, "data: [DONE]\n\n")
	stream.flusher.Flush()
}

// fail ends the stream with an event of type error and without the end mark. If
// another entry host continues the response, the caller is redirected there; if
// events have been sent already, the connection is aborted instead, so that the
// caller doesn't take them for the complete response.
func (stream *eventWriter) fail(err error) {
	if isMoved(err) && stream.started {
		panic(http.ErrAbortHandler)
	}
	if isMoved(err) {
		seeOther(stream.writer, "/v1/streams/"+stream.req.ID()+"?offset="+strconv.Itoa(stream.count))
		return
	}
	if !stream.started {
		writeError(stream.writer, stream.req.ID(), err)
		return
	}
	_, form := encodeError(stream.req.ID(), err)
	data, _ := json.Marshal(form)
	fmt.Fprintf(stream.writer, "event: error\ndata: %s\n\n", data)
	stream.flusher.Flush()
}
