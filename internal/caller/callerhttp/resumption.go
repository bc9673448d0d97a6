package callerhttp

import (
	"net/http"
	"strconv"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"sapphirehead/internal/caller"
	"sapphirehead/internal/request"
)

// resumptionRetryAfter is the Retry-After of refused resumptions in seconds.
const resumptionRetryAfter = "1"

func isMoved(err error) bool {
	var moved *request.MovedError
	return errors.As(err, &moved)
}

// seeOther redirects the caller to a path that every entry host serves. The path
// has no host, so the caller reaches it through the balancer. The connection is
// closed, so that the balancer can choose another node.
func seeOther(writer http.ResponseWriter, path string) {
	writer.Header().Set("Location", path)
	writer.Header().Set("Connection", "close")
	writer.WriteHeader(http.StatusSeeOther)
}

// resumeChat serves a caller that repeats its request with Last-Event-ID.
func (handler *Handler) resumeChat(writer http.ResponseWriter, message *http.Request, account *caller.Account, eventID string, form chatForm) {
	id, count, ok := request.ParseEventID(eventID)
	if !ok {
		writeError(writer, "", newEventIDError())
		return
	}
	resumption := request.NewResumption(id, account.Name(), count).WithPrompt(form.prompt())
	handler.serveResumption(writer, message, account, resumption, form.Stream, form.includeUsage())
}

// serveStream serves the rest of a stream by the id of its request.
func (handler *Handler) serveStream(writer http.ResponseWriter, message *http.Request) {
	account, err := handler.account(message)
	if err != nil {
		writeError(writer, "", err)
		return
	}
	id := mux.Vars(message)["id"]
	count := 0
	if eventID := message.Header.Get(HeaderLastEventID); eventID != "" {
		named, received, ok := request.ParseEventID(eventID)
		if !ok || named != id {
			writeError(writer, "", newEventIDError())
			return
		}
		count = received
	} else if text := message.URL.Query().Get("offset"); text != "" {
		count, err = strconv.Atoi(text)
		if err != nil || count < 0 {
			writeError(writer, "", newCallError(http.StatusBadRequest, "badRequest", "offset: allowed is a number of tokens from 0"))
			return
		}
	}
	handler.serveResumption(writer, message, account, request.NewResumption(id, account.Name(), count), true, false)
}

// serveResult serves the complete response of a request by its id.
func (handler *Handler) serveResult(writer http.ResponseWriter, message *http.Request) {
	account, err := handler.account(message)
	if err != nil {
		writeError(writer, "", err)
		return
	}
	handler.serveResumption(writer, message, account, request.NewResumption(mux.Vars(message)["id"], account.Name(), 0), false, false)
}

func (handler *Handler) serveResumption(
	writer http.ResponseWriter, message *http.Request, account *caller.Account, resumption request.Resumption, streamed, includeUsage bool,
) {
	if _, ok := request.ParseID(resumption.ID()); !ok {
		writeError(writer, "", request.NewStreamNotFoundError(resumption.ID()))
		return
	}
	writer.Header().Set(HeaderRequestID, resumption.ID())
	release, err := handler.admit(account, nil)
	if err != nil {
		writer.Header().Set("Retry-After", resumptionRetryAfter)
		writeError(writer, resumption.ID(), newCallError(http.StatusServiceUnavailable, errorTypeUnavailable, "the answer can't be read here now: ask again"))
		return
	}
	defer release()
	req, follow, err := handler.find(message.Context(), resumption)
	if err != nil {
		writeError(writer, resumption.ID(), err)
		return
	}
	if streamed {
		handler.streamChat(writer, message, req, follow, resumption.Offset(), includeUsage)
		return
	}
	handler.bufferedChat(writer, message, req, follow)
}

func newEventIDError() *CallError {
	return newCallError(http.StatusBadRequest, "badRequest", HeaderLastEventID+": allowed is the id of an event of ours")
}
