// Package platformstandin is a small stand-in for the platform: the object
// API with versions, conditional writes and watches, and the list of hosts, which
// shows changes after a delay. All state is in memory. Faults can be injected.
package platformstandin

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/gorilla/mux"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/standin/standinhttp"
)

// Fault is a failure mode of the stand-in.
type Fault string

// The faults.
const (
	// FaultNone serves normally.
	FaultNone Fault = "none"
	// FaultDown refuses every call with status 503.
	FaultDown Fault = "down"
	// FaultSlow delays each call.
	FaultSlow Fault = "slow"
	// FaultLoseResponse applies writes and closes the connection without a response.
	FaultLoseResponse Fault = "loseAnswer"
)

type objectKey struct {
	kind string
	name string
}

type object struct {
	version int64
	body    []byte
	changed chan struct{}
}

// Host is one entry of the list of hosts.
type Host struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	HostClass  string `json:"hostClass"`
	Pool       string `json:"pool"`
	State      string `json:"state"`
}

type hostsForm struct {
	Hosts []Host `json:"hosts"`
}

type faultForm struct {
	Fault  Fault        `json:"fault"`
	Millis clock.Millis `json:"millis"`
}

// Platform is the state of the stand-in.
type Platform struct {
	clock       *clock.Clock
	listDelay   clock.Millis
	mutex       sync.Mutex
	objects     map[objectKey]*object
	hosts       map[string]Host
	listedHosts []Host
	listVersion int64
	fault       faultForm
	calls       int64
	writes      int64
}

// New returns an empty platform whose list of hosts shows changes after the delay.
func New(clock *clock.Clock, listDelay clock.Millis) *Platform {
	return &Platform{clock: clock, listDelay: listDelay, objects: map[objectKey]*object{}, hosts: map[string]Host{}, fault: faultForm{Fault: FaultNone}}
}

// Router returns the HTTP routes of the stand-in.
func (platform *Platform) Router() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/control/fault", platform.serveFault).Methods(http.MethodPost)
	router.HandleFunc("/control/hosts", platform.serveSetHost).Methods(http.MethodPost)
	router.HandleFunc("/control/hosts/{id}", platform.serveRemoveHost).Methods(http.MethodDelete)
	router.HandleFunc("/control/counts", platform.serveCounts).Methods(http.MethodGet)
	router.HandleFunc("/objects/{kind}/{name}", platform.withFault(platform.serveGet)).Methods(http.MethodGet)
	router.HandleFunc("/objects/{kind}/{name}", platform.withFault(platform.servePut)).Methods(http.MethodPut)
	router.HandleFunc("/hosts", platform.withFault(platform.serveHosts)).Methods(http.MethodGet)
	return router
}

func (platform *Platform) withFault(next http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		platform.mutex.Lock()
		fault := platform.fault
		platform.calls++
		platform.mutex.Unlock()
		switch fault.Fault {
		case FaultDown:
			http.Error(writer, "the platform is down", http.StatusServiceUnavailable)
			return
		case FaultSlow:
			if err := platform.clock.Wait(request.Context(), fault.Millis); err != nil {
				return
			}
		case FaultLoseResponse:
			if request.Method == http.MethodPut {
				next(discardWriter{header: http.Header{}}, request)
				panic(http.ErrAbortHandler)
			}
		case FaultNone:
		}
		next(writer, request)
	}
}

// discardWriter is a response writer that discards the response.
type discardWriter struct{ header http.Header }

func (discardWriter discardWriter) Header() http.Header            { return discardWriter.header }
func (discardWriter discardWriter) Write(data []byte) (int, error) { return len(data), nil }
func (discardWriter discardWriter) WriteHeader(int)                {}

func (platform *Platform) serveFault(writer http.ResponseWriter, request *http.Request) {
	var form faultForm
	if !standinhttp.Read(writer, request, &form) {
		return
	}
	platform.SetFault(form.Fault, form.Millis)
}

// SetFault sets the failure mode, FaultNone to serve normally. The time is the
// delay of FaultSlow.
func (platform *Platform) SetFault(fault Fault, millis clock.Millis) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.fault = faultForm{Fault: fault, Millis: millis}
}

func (platform *Platform) serveSetHost(writer http.ResponseWriter, request *http.Request) {
	var host Host
	if !standinhttp.Read(writer, request, &host) {
		return
	}
	platform.SetHost(host)
}

// SetHost adds or changes a host. The list shows the change after the delay.
func (platform *Platform) SetHost(host Host) {
	platform.mutex.Lock()
	platform.hosts[host.ID] = host
	platform.mutex.Unlock()
	platform.clock.AfterFunc(platform.listDelay, platform.publishHosts)
}

// RemoveHost removes a host. The list shows the change after the delay.
func (platform *Platform) RemoveHost(id string) {
	platform.mutex.Lock()
	delete(platform.hosts, id)
	platform.mutex.Unlock()
	platform.clock.AfterFunc(platform.listDelay, platform.publishHosts)
}

func (platform *Platform) publishHosts() {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.listVersion++
	platform.listedHosts = make([]Host, 0, len(platform.hosts))
	for _, host := range platform.hosts {
		platform.listedHosts = append(platform.listedHosts, host)
	}
}

func (platform *Platform) serveRemoveHost(_ http.ResponseWriter, request *http.Request) {
	platform.RemoveHost(mux.Vars(request)["id"])
}

func (platform *Platform) serveHosts(writer http.ResponseWriter, request *http.Request) {
	platform.mutex.Lock()
	hosts, tag := platform.listedHosts, strconv.Quote("list-"+strconv.FormatInt(platform.listVersion, 10))
	platform.mutex.Unlock()
	writer.Header().Set("ETag", tag)
	if request.Header.Get("If-None-Match") == tag {
		writer.WriteHeader(http.StatusNotModified)
		return
	}
	standinhttp.Write(writer, http.StatusOK, hostsForm{Hosts: hosts})
}

type countsForm struct {
	Calls  int64 `json:"calls"`
	Writes int64 `json:"writes"`
}

func (platform *Platform) serveCounts(writer http.ResponseWriter, _ *http.Request) {
	platform.mutex.Lock()
	form := countsForm{Calls: platform.calls, Writes: platform.writes}
	platform.mutex.Unlock()
	standinhttp.Write(writer, http.StatusOK, form)
}

func (platform *Platform) serveGet(writer http.ResponseWriter, request *http.Request) {
	key := objectKey{kind: mux.Vars(request)["kind"], name: mux.Vars(request)["name"]}
	query := request.URL.Query()
	if query.Get("watch") == "true" {
		platform.awaitChange(request.Context(), key, query.Get("after"), query.Get("waitMillis"))
	}
	platform.mutex.Lock()
	stored, ok := platform.objects[key]
	platform.mutex.Unlock()
	if !ok || stored.version == 0 {
		http.Error(writer, "no such object", http.StatusNotFound)
		return
	}
	writer.Header().Set("ETag", strconv.Quote(strconv.FormatInt(stored.version, 10)))
	writer.Write(stored.body)
}

// awaitChange returns when the object's version differs from after, or when the
// wait in milliseconds has passed.
func (platform *Platform) awaitChange(ctx context.Context, key objectKey, after, wait string) {
	version, _ := strconv.ParseInt(after, 10, 64)
	millis, _ := strconv.ParseInt(wait, 10, 64)
	ctx, cancel := platform.clock.WithTimeout(ctx, clock.Millis(millis))
	defer cancel()
	platform.mutex.Lock()
	stored := platform.ensureObject(key)
	platform.mutex.Unlock()
	if stored.version != version {
		return
	}
	select {
	case <-stored.changed:
	case <-ctx.Done():
	}
}

// ensureObject returns the object, and first creates an empty one at version 0 if
// there is none. The caller holds the mutex.
func (platform *Platform) ensureObject(key objectKey) *object {
	stored, ok := platform.objects[key]
	if !ok {
		stored = &object{changed: make(chan struct{})}
		platform.objects[key] = stored
	}
	return stored
}

func (platform *Platform) servePut(writer http.ResponseWriter, request *http.Request) {
	key := objectKey{kind: mux.Vars(request)["kind"], name: mux.Vars(request)["name"]}
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, 1<<20))
	if err != nil {
		http.Error(writer, "an object holds at most a megabyte", http.StatusRequestEntityTooLarge)
		return
	}
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	stored := platform.ensureObject(key)
	if !conditionHolds(request.Header, stored.version) {
		http.Error(writer, "the version differs", http.StatusPreconditionFailed)
		return
	}
	platform.writes++
	updated := &object{version: stored.version + 1, body: body, changed: make(chan struct{})}
	platform.objects[key] = updated
	close(stored.changed)
	writer.Header().Set("ETag", strconv.Quote(strconv.FormatInt(updated.version, 10)))
}

func conditionHolds(header http.Header, version int64) bool {
	if header.Get("If-None-Match") == "*" {
		return version == 0
	}
	if match := header.Get("If-Match"); match != "" {
		return strings.Trim(match, `"`) == strconv.FormatInt(version, 10)
	}
	return true
}
