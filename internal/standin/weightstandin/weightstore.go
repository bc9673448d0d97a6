// Package weightstandin is a small stand-in for the weight store. It serves the
// names of weights, not their content, and limits the rate of loads.
package weightstandin

import (
	"net/http"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"sapphirehead/internal/standin/standinhttp"
)

// Store is the state of the stand-in.
type Store struct {
	limiter *rate.Limiter
}

// New returns a store that allows the given number of loads per second.
func New(loadsPerSecond float64) *Store {
	return &Store{limiter: rate.NewLimiter(rate.Limit(loadsPerSecond), 1)}
}

// Router returns the HTTP routes of the stand-in.
func (store *Store) Router() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/weights/{model}/{version}", store.serveLoad).Methods(http.MethodPost)
	return router
}

type loadForm struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

func (store *Store) serveLoad(writer http.ResponseWriter, request *http.Request) {
	if !store.limiter.Allow() {
		writer.Header().Set("Retry-After", "1")
		http.Error(writer, "too many loads", http.StatusTooManyRequests)
		return
	}
	vars := mux.Vars(request)
	standinhttp.Write(writer, http.StatusOK, loadForm{Model: vars["model"], Version: vars["version"]})
}
