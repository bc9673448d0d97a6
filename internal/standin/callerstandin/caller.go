// Package callerstandin is a caller that checks the answers it gets word for
// word against what the stand-in runners must generate.
package callerstandin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"sapphirehead/internal/standin/runnerstandin"
)

// Caller sends requests under the key of one client account.
type Caller struct {
	key  string
	http *http.Client
}

// New returns a caller with the key. It follows no redirects: they lead through
// the balancer, whose part the user of the caller plays.
func New(key string) *Caller {
	stay := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Caller{key: key, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, CheckRedirect: stay}}
}

// Answer is what a caller got.
type Answer struct {
	status int
	kind   string
	text   string
	tokens int
	lastID string
	moved  string
}

// Status returns the HTTP status.
func (answer Answer) Status() int { return answer.status }

// Kind returns the type of the error, or empty.
func (answer Answer) Kind() string { return answer.kind }

// Text returns the body, or the joined text of a chat.
func (answer Answer) Text() string { return answer.text }

// Tokens returns the number of events with text of a streamed chat.
func (answer Answer) Tokens() int { return answer.tokens }

// Moved returns the path at which any entry host gives the answer, or empty.
func (answer Answer) Moved() string { return answer.moved }

// EventError says that a stream ended with an error event, by which the
// system says that the answer is not whole.
type EventError struct{}

func (err *EventError) Error() string { return "the stream ended with an error event" }

// LastEventID returns the id of the last event of a streamed chat, or empty.
func (answer Answer) LastEventID() string { return answer.lastID }

type messageForm struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatForm struct {
	Model       string        `json:"model"`
	Messages    []messageForm `json:"messages"`
	MaxTokens   int           `json:"max_tokens,omitempty"`
	Temperature float64       `json:"temperature"`
	Stream      bool          `json:"stream"`
}

type errorsForm struct {
	Error struct {
		Type string `json:"type"`
	} `json:"error"`
}

type completionForm struct {
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
}

type chunkForm struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// Expected returns the whole answer to a chat.
func Expected(model, content string, maxTokens int) string {
	return strings.Join(runnerstandin.Answer(model, []string{content}, 0, maxTokens), "")
}

// Chat sends a chat and returns the whole answer. If the entry host is leaving,
// the answer may be a path at which any other gives it: see Moved and Result.
func (caller *Caller) Chat(ctx context.Context, address, model, content string, maxTokens int) (Answer, error) {
	reply, err := caller.sendChat(ctx, address, model, content, maxTokens, nil)
	if err != nil {
		return Answer{}, err
	}
	return readWhole(reply)
}

// Result asks for the answer at the path to which the caller was sent.
func (caller *Caller) Result(ctx context.Context, address, path string) (Answer, error) {
	reply, err := caller.send(ctx, http.MethodGet, "http://"+address+path, nil, nil)
	if err != nil {
		return Answer{}, err
	}
	return readWhole(reply)
}

func readWhole(reply *http.Response) (Answer, error) {
	defer reply.Body.Close()
	body, err := io.ReadAll(reply.Body)
	if err != nil {
		return Answer{}, errors.Wrap(err, "read answer")
	}
	switch reply.StatusCode {
	case http.StatusOK:
	case http.StatusSeeOther:
		return Answer{status: reply.StatusCode, moved: reply.Header.Get("Location")}, nil
	default:
		return refused(reply.StatusCode, body), nil
	}
	var form completionForm
	if err := json.Unmarshal(body, &form); err != nil || len(form.Choices) != 1 {
		return Answer{}, errors.Errorf("answer is not a completion: %s", body)
	}
	return Answer{status: reply.StatusCode, text: form.Choices[0].Message.Content}, nil
}

// StreamChat sends a chat and reads its events until the end mark. The
// function progress is called after each event with the number of events.
func (caller *Caller) StreamChat(ctx context.Context, address, model, content string, maxTokens int, progress func(events int)) (Answer, error) {
	return caller.streamChat(ctx, address, model, content, maxTokens, Answer{}, progress)
}

// ReturnChat repeats a streamed chat of which the caller holds a part, and
// returns the answer with that part.
func (caller *Caller) ReturnChat(ctx context.Context, address, model, content string, maxTokens int, held Answer) (Answer, error) {
	return caller.streamChat(ctx, address, model, content, maxTokens, held, func(int) {})
}

func (caller *Caller) streamChat(
	ctx context.Context, address, model, content string, maxTokens int, answer Answer, progress func(events int),
) (Answer, error) {
	reply, err := caller.sendChat(ctx, address, model, content, maxTokens, &answer)
	if err != nil {
		return answer, err
	}
	defer reply.Body.Close()
	if reply.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(reply.Body)
		return refused(reply.StatusCode, body), nil
	}
	answer.status = reply.StatusCode
	scanner := bufio.NewScanner(reply.Body)
	for scanner.Scan() {
		line := scanner.Text()
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case strings.HasPrefix(line, "id: "):
			answer.lastID = strings.TrimPrefix(line, "id: ")
		case strings.HasPrefix(line, "event: error"):
			return answer, &EventError{}
		case !ok:
		case data == "[DONE]":
			return answer, nil
		default:
			if err := answer.add(data); err != nil {
				return answer, err
			}
			progress(answer.tokens)
		}
	}
	return answer, errors.Errorf("the stream was cut after %d events: %v", answer.tokens, scanner.Err())
}

func (answer *Answer) add(data string) error {
	var form chunkForm
	if err := json.Unmarshal([]byte(data), &form); err != nil {
		return errors.Wrap(err, "decode event")
	}
	for _, choice := range form.Choices {
		answer.text += choice.Delta.Content
		answer.tokens++
	}
	return nil
}

// sendChat sends a chat, as a stream if held is given. The caller returns for
// the rest of a stream of which it holds a part.
func (caller *Caller) sendChat(ctx context.Context, address, model, content string, maxTokens int, held *Answer) (*http.Response, error) {
	form := chatForm{Model: model, Messages: []messageForm{{Role: "user", Content: content}}, MaxTokens: maxTokens, Stream: held != nil}
	body, err := json.Marshal(form)
	if err != nil {
		return nil, err
	}
	header := http.Header{}
	if held != nil && held.lastID != "" {
		header.Set("Last-Event-ID", held.lastID)
	}
	return caller.send(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", header, body)
}

// Call sends a call to an application service.
func (caller *Caller) Call(ctx context.Context, method, address, path, idempotencyKey string, body []byte) (Answer, error) {
	header := http.Header{}
	if idempotencyKey != "" {
		header.Set("Idempotency-Key", idempotencyKey)
	}
	reply, err := caller.send(ctx, method, "http://"+address+path, header, body)
	if err != nil {
		return Answer{}, err
	}
	defer reply.Body.Close()
	data, err := io.ReadAll(reply.Body)
	if err != nil {
		return Answer{}, errors.Wrap(err, "read answer")
	}
	if reply.StatusCode >= http.StatusBadRequest {
		return refused(reply.StatusCode, data), nil
	}
	return Answer{status: reply.StatusCode, text: string(data)}, nil
}

func (caller *Caller) send(ctx context.Context, method, target string, header http.Header, body []byte) (*http.Response, error) {
	message, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	message.GetBody = nil
	for name := range header {
		message.Header.Set(name, header.Get(name))
	}
	message.Header.Set("Authorization", "Bearer "+caller.key)
	return caller.http.Do(message)
}

func refused(status int, body []byte) Answer {
	var form errorsForm
	_ = json.Unmarshal(body, &form)
	return Answer{status: status, kind: form.Error.Type, text: string(body)}
}

// CheckText returns an error unless the answer is whole and the expected one.
func CheckText(answer Answer, expected string) error {
	if answer.status != http.StatusOK {
		return fmt.Errorf("status %d: %s", answer.status, answer.text)
	}
	if answer.text != expected {
		return fmt.Errorf("got %q, expected %q", answer.text, expected)
	}
	return nil
}
