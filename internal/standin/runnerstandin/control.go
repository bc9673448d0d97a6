package runnerstandin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"

	"github.com/gorilla/mux"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/standin/standinhttp"
)

func (runner *Runner) findStream(id string) *stream {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	return runner.streams[id]
}

func (runner *Runner) serveResume(writer http.ResponseWriter, request *http.Request) {
	found := runner.findStream(mux.Vars(request)["id"])
	offset, err := strconv.Atoi(request.URL.Query().Get("offset"))
	if found == nil || err != nil || offset < 0 || offset > len(found.tokens) {
		http.Error(writer, "no such stream or offset", http.StatusNotFound)
		return
	}
	runner.writeStream(request.Context(), writer, found, offset)
}

func (runner *Runner) serveCancel(writer http.ResponseWriter, request *http.Request) {
	found := runner.findStream(mux.Vars(request)["id"])
	if found == nil {
		http.Error(writer, "no such stream", http.StatusNotFound)
		return
	}
	found.cancel()
	runner.mutex.Lock()
	delete(runner.streams, found.id)
	runner.mutex.Unlock()
	writer.WriteHeader(http.StatusNoContent)
}

// kvForm is the state of a generation as it is transferred between runners.
type kvForm struct {
	StreamID string     `json:"streamId"`
	Prompt   promptForm `json:"prompt"`
	Tokens   []string   `json:"tokens"`
	Ready    int        `json:"ready"`
	Bytes    int64      `json:"bytes"`
}

// kvBytesPerToken is the size of the KV cache of one token.
const kvBytesPerToken = 128 << 10

// serveExport stops the generation and returns its state.
func (runner *Runner) serveExport(writer http.ResponseWriter, request *http.Request) {
	found := runner.findStream(mux.Vars(request)["id"])
	if found == nil {
		http.Error(writer, "no such stream", http.StatusNotFound)
		return
	}
	found.cancel()
	runner.mutex.Lock()
	form := kvForm{StreamID: found.id, Prompt: found.prompt, Tokens: found.tokens, Ready: found.ready, Bytes: int64(found.ready) * kvBytesPerToken}
	runner.mutex.Unlock()
	standinhttp.Write(writer, http.StatusOK, form)
}

type importForm struct {
	From     string `json:"from"`
	StreamID string `json:"streamId"`
}

// serveImport fetches a generation's state from another runner and continues it.
func (runner *Runner) serveImport(writer http.ResponseWriter, request *http.Request) {
	var form importForm
	if !standinhttp.Read(writer, request, &form) {
		return
	}
	exportRequest, err := http.NewRequestWithContext(request.Context(), http.MethodGet, "http://"+form.From+"/v1/kv/"+form.StreamID, nil)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	response, err := http.DefaultClient.Do(exportRequest)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadGateway)
		return
	}
	defer response.Body.Close()
	var state kvForm
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&state) != nil || state.Ready > len(state.Tokens) {
		http.Error(writer, "the other runner gave no state", http.StatusBadGateway)
		return
	}
	moved := runner.startStream(state.Prompt, state.Tokens, state.Ready, true)
	standinhttp.Write(writer, http.StatusOK, importForm{From: form.From, StreamID: moved.id})
}

type modelForm struct {
	Name     string   `json:"name"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

// orderForm is the complete desired state of the runner.
type orderForm struct {
	Fence  int64       `json:"fence"`
	Models []modelForm `json:"models"`
	Role   string      `json:"role"`
}

type stateForm struct {
	Fence      int64       `json:"fence"`
	Models     []modelForm `json:"models"`
	Role       string      `json:"role"`
	Running    int         `json:"running"`
	Queued     int         `json:"queued"`
	Tokens     int         `json:"tokens"`
	Leaving    bool        `json:"leaving"`
	Generated  int64       `json:"generated"`
	Recomputed int64       `json:"recomputed"`
}

func (runner *Runner) serveOrder(writer http.ResponseWriter, request *http.Request) {
	var form orderForm
	if !standinhttp.Read(writer, request, &form) {
		return
	}
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	if form.Fence < runner.fence && !runner.ignoresFence {
		http.Error(writer, "the fencing number is old", http.StatusConflict)
		return
	}
	runner.fence = max(runner.fence, form.Fence)
	runner.models = slices.Clone(form.Models)
	runner.role = form.Role
	runner.leaving = runner.leaving || form.Role == "drain"
	writer.WriteHeader(http.StatusNoContent)
}

func (runner *Runner) serveState(writer http.ResponseWriter, _ *http.Request) {
	runner.mutex.Lock()
	form := stateForm{
		Fence: runner.fence, Models: runner.models, Role: runner.role, Running: runner.running, Queued: runner.queued, Tokens: runner.waitingTokens,
		Leaving: runner.leaving, Generated: runner.generated, Recomputed: runner.recomputed,
	}
	runner.mutex.Unlock()
	standinhttp.Write(writer, http.StatusOK, form)
}

type cacheEventsForm struct {
	Events []cacheEvent `json:"events"`
}

func (runner *Runner) serveCacheEvents(writer http.ResponseWriter, request *http.Request) {
	after, _ := strconv.ParseInt(request.URL.Query().Get("after"), 10, 64)
	form := cacheEventsForm{Events: []cacheEvent{}}
	runner.mutex.Lock()
	for _, event := range runner.cache.events {
		if event.Sequence > after {
			form.Events = append(form.Events, event)
		}
	}
	runner.mutex.Unlock()
	standinhttp.Write(writer, http.StatusOK, form)
}

type leaveForm struct {
	NoticeMillis clock.Millis `json:"noticeMillis"`
}

func (runner *Runner) serveLeave(writer http.ResponseWriter, request *http.Request) {
	var form leaveForm
	if !standinhttp.Read(writer, request, &form) {
		return
	}
	runner.SetLeaving()
}

// SetLeaving marks the runner as leaving. It refuses new requests and reports that it is
// leaving with its responses.
func (runner *Runner) SetLeaving() {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	runner.leaving = true
}
