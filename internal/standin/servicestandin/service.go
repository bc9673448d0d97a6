// Package servicestandin is a small stand-in for an application service: POST runs
// an action with a side effect, GET looks up a status. It counts the runs of each
// idempotency key, so that tests detect an action that ran twice.
package servicestandin

import (
	"fmt"
	"io"
	"net/http"
	"sync"

	"github.com/gorilla/mux"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/standin/standinhttp"
)

// Service is the state of the stand-in.
type Service struct {
	clock    *clock.Clock
	name     string
	workTime clock.Millis
	mutex    sync.Mutex
	runs     map[string]int
	total    int
}

// New returns a service that takes the time workTime for each call.
func New(clock *clock.Clock, name string, workTime clock.Millis) *Service {
	return &Service{clock: clock, name: name, workTime: workTime, runs: map[string]int{}}
}

// Router returns the HTTP routes of the stand-in.
func (service *Service) Router() http.Handler {
	router := mux.NewRouter()
	router.Use(echoRequestID)
	router.HandleFunc("/control/runs", service.serveRuns).Methods(http.MethodGet)
	router.PathPrefix("/").Methods(http.MethodPost).HandlerFunc(service.serveAction)
	router.PathPrefix("/").Methods(http.MethodGet).HandlerFunc(service.serveStatus)
	return router
}

// echoRequestID sends the request's id back with each answer.
func echoRequestID(next http.Handler) http.Handler {
	const header = "X-Request-Id"
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if id := request.Header.Get(header); id != "" {
			writer.Header().Set(header, id)
		}
		next.ServeHTTP(writer, request)
	})
}

type runsForm struct {
	Runs  map[string]int `json:"runs"`
	Total int            `json:"total"`
}

func (service *Service) serveRuns(writer http.ResponseWriter, _ *http.Request) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	standinhttp.Write(writer, http.StatusOK, runsForm{Runs: service.runs, Total: service.total})
}

type actionForm struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Serial  int    `json:"serial"`
	Body    string `json:"body"`
}

func (service *Service) serveAction(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, 1<<20))
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	key := request.Header.Get("X-Client-Account") + "/" + request.Header.Get("Idempotency-Key")
	service.mutex.Lock()
	service.total++
	service.runs[key]++
	serial := service.total
	service.mutex.Unlock()
	if service.clock.Wait(request.Context(), service.workTime) != nil {
		return
	}
	standinhttp.Write(writer, http.StatusCreated, actionForm{Service: service.name, Path: request.URL.Path, Serial: serial, Body: string(body)})
}

func (service *Service) serveStatus(writer http.ResponseWriter, request *http.Request) {
	if service.clock.Wait(request.Context(), service.workTime) != nil {
		return
	}
	fmt.Fprintf(writer, "status of %s\n", request.URL.Path)
}
