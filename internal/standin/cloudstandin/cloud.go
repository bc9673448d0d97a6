// Package cloudstandin is a small stand-in for the cloud API: offers of hosts,
// starts and stops of hosts, and reclaim notices, which are read by long polls.
package cloudstandin

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"github.com/gorilla/mux"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/standin/standinhttp"
)

// Host is one rented host.
type Host struct {
	ID          string `json:"id"`
	DataCentre  string `json:"dataCentre"`
	HostClass   string `json:"hostClass"`
	Pool        string `json:"pool"`
	Reclaimable bool   `json:"reclaimable"`
	State       string `json:"state"`
	RequestID   string `json:"requestId"`
}

// Offer is the price and capacity of a host class in a data centre.
type Offer struct {
	DataCentre   string  `json:"dataCentre"`
	HostClass    string  `json:"hostClass"`
	Reclaimable  bool    `json:"reclaimable"`
	PricePerHour float64 `json:"pricePerHour"`
	Capacity     int     `json:"capacity"`
}

// Notice announces that a host will be reclaimed.
type Notice struct {
	Sequence     int64        `json:"sequence"`
	HostID       string       `json:"hostId"`
	NoticeMillis clock.Millis `json:"noticeMillis"`
}

// Faults are the injected failures and delays of the stand-in.
type Faults struct {
	// Refuse lists data centres in which no host can be started.
	Refuse []string `json:"refuse"`
	// LoseStarts is the number of upcoming starts whose responses are lost.
	LoseStarts int `json:"loseStarts"`
	// BootMillis is the time from a start until the host is live.
	BootMillis clock.Millis `json:"bootMillis"`
}

const (
	stateStarting = "starting"
	stateLive     = "live"
	stateLeaving  = "leaving"
	stateGone     = "gone"
)

// Cloud is the state of the stand-in.
type Cloud struct {
	clock          *clock.Clock
	start          func(host Host) error
	notifyLeaving  func(host Host, notice clock.Millis)
	stop           func(host Host)
	mutex          sync.Mutex
	offers         []Offer
	hosts          map[string]Host
	notices        []Notice
	changed        chan struct{}
	faults         Faults
	lastHostNumber int
}

// New returns a cloud with the offers. The functions start a host, notify it that
// it will be reclaimed, and stop it.
func New(clock *clock.Clock, offers []Offer, start func(host Host) error, notifyLeaving func(host Host, notice clock.Millis), stop func(host Host)) *Cloud {
	return &Cloud{clock: clock, start: start, notifyLeaving: notifyLeaving, stop: stop, offers: offers, hosts: map[string]Host{}, changed: make(chan struct{})}
}

// Router returns the HTTP routes of the stand-in.
func (cloud *Cloud) Router() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/offers", cloud.serveOffers).Methods(http.MethodGet)
	router.HandleFunc("/v1/hosts", cloud.serveHosts).Methods(http.MethodGet)
	router.HandleFunc("/v1/hosts", cloud.serveStart).Methods(http.MethodPost)
	router.HandleFunc("/v1/hosts/{id}", cloud.serveStop).Methods(http.MethodDelete)
	router.HandleFunc("/v1/notices", cloud.serveNotices).Methods(http.MethodGet)
	router.HandleFunc("/control/reclaim", cloud.serveReclaim).Methods(http.MethodPost)
	router.HandleFunc("/control/faults", cloud.serveFaults).Methods(http.MethodPost)
	router.HandleFunc("/control/offers", cloud.serveSetOffers).Methods(http.MethodPost)
	return router
}

type offersForm struct {
	Offers []Offer `json:"offers"`
}

func (cloud *Cloud) serveOffers(writer http.ResponseWriter, _ *http.Request) {
	cloud.mutex.Lock()
	defer cloud.mutex.Unlock()
	standinhttp.Write(writer, http.StatusOK, offersForm{Offers: cloud.offers})
}

func (cloud *Cloud) serveSetOffers(writer http.ResponseWriter, request *http.Request) {
	var form offersForm
	if !standinhttp.Read(writer, request, &form) {
		return
	}
	cloud.mutex.Lock()
	defer cloud.mutex.Unlock()
	cloud.offers = form.Offers
}

type hostsForm struct {
	Hosts []Host `json:"hosts"`
}

func (cloud *Cloud) serveHosts(writer http.ResponseWriter, _ *http.Request) {
	cloud.mutex.Lock()
	defer cloud.mutex.Unlock()
	form := hostsForm{Hosts: []Host{}}
	for _, host := range cloud.hosts {
		form.Hosts = append(form.Hosts, host)
	}
	standinhttp.Write(writer, http.StatusOK, form)
}

func (cloud *Cloud) serveStart(writer http.ResponseWriter, request *http.Request) {
	var requested Host
	if !standinhttp.Read(writer, request, &requested) {
		return
	}
	host, repeated, ok := cloud.admit(requested)
	if !ok {
		http.Error(writer, "no capacity for this class of host", http.StatusConflict)
		return
	}
	if !repeated {
		if err := cloud.boot(host); err != nil {
			http.Error(writer, err.Error(), http.StatusInternalServerError)
			return
		}
	}
	if cloud.losesResponse() {
		panic(http.ErrAbortHandler)
	}
	standinhttp.Write(writer, http.StatusCreated, host)
}

// boot starts a host, after the boot time if one is set.
func (cloud *Cloud) boot(host Host) error {
	cloud.mutex.Lock()
	delay := cloud.faults.BootMillis
	cloud.mutex.Unlock()
	if delay == 0 {
		return cloud.start(host)
	}
	cloud.clock.AfterFunc(delay, func() {
		if cloud.finishBoot(host.ID) {
			_ = cloud.start(host)
		}
	})
	return nil
}

// finishBoot marks a starting host as live. It returns false if the host is no
// longer starting, because it was stopped or reclaimed meanwhile.
func (cloud *Cloud) finishBoot(id string) bool {
	cloud.mutex.Lock()
	defer cloud.mutex.Unlock()
	host := cloud.hosts[id]
	if host.State != stateStarting {
		return false
	}
	host.State = stateLive
	cloud.hosts[id] = host
	return true
}

func (cloud *Cloud) losesResponse() bool {
	cloud.mutex.Lock()
	defer cloud.mutex.Unlock()
	if cloud.faults.LoseStarts == 0 {
		return false
	}
	cloud.faults.LoseStarts--
	return true
}

func (cloud *Cloud) serveFaults(writer http.ResponseWriter, request *http.Request) {
	var faults Faults
	if standinhttp.Read(writer, request, &faults) {
		cloud.SetFaults(faults)
	}
}

// SetFaults replaces the injected failures and delays.
func (cloud *Cloud) SetFaults(faults Faults) {
	cloud.mutex.Lock()
	defer cloud.mutex.Unlock()
	cloud.faults = faults
}

// Hosts returns every host that is not gone.
func (cloud *Cloud) Hosts() []Host {
	cloud.mutex.Lock()
	defer cloud.mutex.Unlock()
	var hosts []Host
	for _, host := range cloud.hosts {
		if host.State != stateGone {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// admit registers a host. If the request id was seen before, it returns the host of
// that request and repeated is true; if there is no capacity, ok is false.
func (cloud *Cloud) admit(requested Host) (host Host, repeated, ok bool) {
	cloud.mutex.Lock()
	defer cloud.mutex.Unlock()
	used, capacity := 0, 0
	for _, host := range cloud.hosts {
		if requested.RequestID != "" && host.RequestID == requested.RequestID {
			return host, true, true
		}
		if host.DataCentre == requested.DataCentre && host.HostClass == requested.HostClass && host.Reclaimable == requested.Reclaimable && host.State != stateGone {
			used++
		}
	}
	for _, offer := range cloud.offers {
		if offer.DataCentre == requested.DataCentre && offer.HostClass == requested.HostClass && offer.Reclaimable == requested.Reclaimable {
			capacity = offer.Capacity
		}
	}
	if used >= capacity || slices.Contains(cloud.faults.Refuse, requested.DataCentre) {
		return Host{}, false, false
	}
	cloud.lastHostNumber++
	requested.ID = "host-" + strconv.Itoa(cloud.lastHostNumber)
	requested.State = stateLive
	if cloud.faults.BootMillis > 0 {
		requested.State = stateStarting
	}
	cloud.hosts[requested.ID] = requested
	return requested, false, true
}

func (cloud *Cloud) serveStop(writer http.ResponseWriter, request *http.Request) {
	host, ok := cloud.setState(mux.Vars(request)["id"], stateGone)
	if !ok {
		http.Error(writer, "no such host", http.StatusNotFound)
		return
	}
	cloud.stop(host)
	writer.WriteHeader(http.StatusNoContent)
}

func (cloud *Cloud) setState(id, state string) (Host, bool) {
	cloud.mutex.Lock()
	defer cloud.mutex.Unlock()
	host, ok := cloud.hosts[id]
	if !ok {
		return Host{}, false
	}
	host.State = state
	cloud.hosts[id] = host
	return host, true
}

// Adopt registers a live host that was not started through the API.
func (cloud *Cloud) Adopt(host Host) {
	cloud.mutex.Lock()
	defer cloud.mutex.Unlock()
	host.State = stateLive
	cloud.hosts[host.ID] = host
}

type noticesForm struct {
	Notices []Notice `json:"notices"`
}

func (cloud *Cloud) serveNotices(writer http.ResponseWriter, request *http.Request) {
	after, _ := strconv.ParseInt(request.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(request.URL.Query().Get("waitMillis"), 10, 64)
	ctx, cancel := cloud.clock.WithTimeout(request.Context(), clock.Millis(wait))
	defer cancel()
	standinhttp.Write(writer, http.StatusOK, noticesForm{Notices: cloud.awaitNotices(ctx, after)})
}

func (cloud *Cloud) awaitNotices(ctx context.Context, after int64) []Notice {
	for {
		cloud.mutex.Lock()
		notices := cloud.notices[min(after, int64(len(cloud.notices))):]
		changed := cloud.changed
		cloud.mutex.Unlock()
		if len(notices) > 0 {
			return notices
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return []Notice{}
		}
	}
}

type reclaimForm struct {
	HostID       string       `json:"hostId"`
	DataCentre   string       `json:"dataCentre"`
	NoticeMillis clock.Millis `json:"noticeMillis"`
}

func (cloud *Cloud) serveReclaim(writer http.ResponseWriter, request *http.Request) {
	var form reclaimForm
	if !standinhttp.Read(writer, request, &form) {
		return
	}
	cloud.Reclaim(form.HostID, form.DataCentre, form.NoticeMillis)
}

// Reclaim announces the reclaim of a host, or of every reclaimable host of a data
// centre, and stops the hosts after the notice.
func (cloud *Cloud) Reclaim(hostID, dataCentre string, notice clock.Millis) {
	cloud.mutex.Lock()
	var reclaimed []Host
	for id, host := range cloud.hosts {
		if (host.State == stateLive || host.State == stateStarting) && (id == hostID || (dataCentre != "" && host.DataCentre == dataCentre && host.Reclaimable)) {
			host.State = stateLeaving
			cloud.hosts[id] = host
			reclaimed = append(reclaimed, host)
			cloud.notices = append(cloud.notices, Notice{Sequence: int64(len(cloud.notices)) + 1, HostID: id, NoticeMillis: notice})
		}
	}
	close(cloud.changed)
	cloud.changed = make(chan struct{})
	cloud.mutex.Unlock()
	for _, host := range reclaimed {
		cloud.notifyLeaving(host, notice)
		cloud.clock.AfterFunc(notice, func() {
			if stopped, ok := cloud.setState(host.ID, stateGone); ok {
				cloud.stop(stopped)
			}
		})
	}
}
