package chaos

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/standin/platformstandin"
	"sapphirehead/internal/standin/relay"
)

// fault is a fault that is injected and undone later.
type fault struct {
	name   string
	inject func(ctx context.Context) error
	undo   func(ctx context.Context) error
	// platformUse is how the fault uses the platform's stand-in.
	platformUse platformUse
}

// platformUse is how a fault uses the platform's stand-in.
type platformUse int

const (
	// platformUnused: no call to the stand-in.
	platformUnused platformUse = iota
	// platformCalled: the fault's functions call the stand-in.
	platformCalled
	// platformStopped: the stand-in responds to no call until the fault is undone.
	platformStopped
)

// excludes reports whether the faults must not overlap, since one calls the
// platform's stand-in while the other has stopped it.
func (fault fault) excludes(other fault) bool {
	return fault.platformUse != platformUnused && other.platformUse != platformUnused &&
		(fault.platformUse == platformStopped || other.platformUse == platformStopped)
}

// noticeMillis is the time from the notice of a reclaim until the hosts stop.
const noticeMillis = 1500

// relayDelay is the delay of each piece of data at a slow relay.
const relayDelay = 20 * clock.Millisecond

// slowMillis is the delay of each call of a slow platform.
const slowMillis = 300

// injector creates and injects the faults.
type injector struct {
	system    *system
	operators *operators
	random    *rand.Rand
	versions  *versions
	tally     *Tally
}

func noop(context.Context) error { return nil }

// faults returns all faults in an order given by the seed. Operators race twice.
func (injector *injector) faults() []fault {
	entries := injector.system.entries
	list := []fault{
		injector.killRunner(), injector.killEntry(entries[0]), injector.killSteward(entries[1]),
		injector.pauseEntry(entries[1]), injector.pausePlatform(), injector.pauseSteward(entries[2]),
		injector.restartEntry(entries[2]), injector.reclaimDataCentre(),
		injector.breakPlatform(platformstandin.FaultDown, 0), injector.breakPlatform(platformstandin.FaultLoseResponse, 0),
		injector.breakPlatform(platformstandin.FaultSlow, slowMillis),
		injector.relayFault("cut relays", func(relay *relay.Relay) { relay.Cut() }),
		injector.relayFault("silent relays", func(relay *relay.Relay) { relay.Silence(relayBoth) }),
		injector.relayFault("relays silent towards the entry hosts", func(relay *relay.Relay) { relay.Silence(relayFrom) }),
		injector.slowRelays(), injector.peerLinks(),
		injector.raceOperators("operators race"), injector.raceOperators("operators race again"),
	}
	injector.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

const (
	relayBoth = relay.Both
	relayFrom = relay.FromTarget
)

// killRunner kills a runner. Its undo function starts another one and only then
// removes the killed one from the platform's list.
func (injector *injector) killRunner() fault {
	system := injector.system
	killed := ""
	inject := func(context.Context) error {
		ids := slices.Sorted(maps.Keys(system.runners))
		killed = ids[injector.random.IntN(len(ids))]
		system.runners[killed].Kill()
		return nil
	}
	undo := func(ctx context.Context) error {
		delete(system.runners, killed)
		if err := system.startRunner(ctx, dataCentres[0]); err != nil {
			return err
		}
		return platformstandin.Unregister(ctx, system.platform.Address("api"), killed)
	}
	return fault{name: "runner killed", inject: inject, undo: withRetry(system, undo), platformUse: platformCalled}
}

// killEntry kills an entry host and restarts it.
func (injector *injector) killEntry(entry *entryHost) fault {
	inject := func(context.Context) error {
		entry.process.Load().kill()
		return nil
	}
	undo := func(ctx context.Context) error {
		if err := injector.system.startEntry(entry); err != nil {
			return err
		}
		return injector.system.awaitReady(ctx, entry)
	}
	return fault{name: "entry host killed", inject: inject, undo: undo}
}

// restartEntry stops an entry host gracefully and restarts it. It may not cut a
// request.
func (injector *injector) restartEntry(entry *entryHost) fault {
	system := injector.system
	inject := func(ctx context.Context) error {
		stopping := entry.process.Load()
		stopping.stopping.Store(true)
		if err := stopping.process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		err := system.await(ctx, entry.name+" is still ready after SIGTERM", func(ctx context.Context) bool {
			return !system.readyAt(ctx, stopping.address())
		})
		stopping.ready.Store(false)
		return err
	}
	undo := func(ctx context.Context) error {
		if err := entry.process.Load().process.Wait(); err != nil {
			return errors.Wrap(err, entry.name+" did not stop cleanly")
		}
		if err := system.startEntry(entry); err != nil {
			return err
		}
		return system.awaitReady(ctx, entry)
	}
	return fault{name: "entry host restarted", inject: inject, undo: undo}
}

// pauseEntry pauses the process of an entry host with SIGSTOP. The balancer keeps
// sending it requests.
func (injector *injector) pauseEntry(entry *entryHost) fault {
	inject := func(context.Context) error { return entry.process.Load().pause() }
	undo := func(context.Context) error { return entry.process.Load().resume() }
	return fault{name: "entry host paused", inject: inject, undo: undo}
}

func (injector *injector) killSteward(entry *entryHost) fault {
	inject := func(context.Context) error {
		entry.steward.Load().Kill()
		return nil
	}
	undo := func(context.Context) error { return injector.system.startSteward(entry) }
	return fault{name: "steward killed", inject: inject, undo: undo}
}

// pauseSteward pauses a steward for longer than its lease.
func (injector *injector) pauseSteward(entry *entryHost) fault {
	inject := func(context.Context) error { return entry.steward.Load().Signal(syscall.SIGSTOP) }
	undo := func(context.Context) error { return entry.steward.Load().Signal(syscall.SIGCONT) }
	return fault{name: "steward paused", inject: inject, undo: undo}
}

func (injector *injector) pausePlatform() fault {
	inject := func(context.Context) error { return injector.system.platform.Signal(syscall.SIGSTOP) }
	undo := func(context.Context) error { return injector.system.platform.Signal(syscall.SIGCONT) }
	return fault{name: "platform paused", inject: inject, undo: undo, platformUse: platformStopped}
}

func (injector *injector) breakPlatform(kind platformstandin.Fault, millis int64) fault {
	set := func(kind platformstandin.Fault) func(ctx context.Context) error {
		return withRetry(injector.system, func(ctx context.Context) error {
			return platformstandin.InjectFault(ctx, injector.system.platform.Address("api"), kind, millis)
		})
	}
	return fault{name: "platform " + string(kind), inject: set(kind), undo: set(platformstandin.FaultNone), platformUse: platformCalled}
}

// relayFault applies the function to the relays to services and to a random half of
// those to runners. Its undo function does so again.
func (injector *injector) relayFault(name string, apply func(relay *relay.Relay)) fault {
	half := func(context.Context) error {
		for _, hostRelay := range injector.system.relays {
			if hostRelay.service || injector.random.IntN(2) == 0 {
				apply(hostRelay.relay)
			}
		}
		return nil
	}
	return fault{name: name, inject: half, undo: half}
}

func (injector *injector) slowRelays() fault {
	set := func(delay clock.Millis) func(context.Context) error {
		return func(context.Context) error {
			for _, hostRelay := range injector.system.relays {
				hostRelay.relay.Delay(delay)
			}
			return nil
		}
	}
	return fault{name: "slow relays", inject: set(relayDelay), undo: set(0)}
}

// peerLinks silences the links between the entry hosts, and later cuts them.
func (injector *injector) peerLinks() fault {
	each := func(apply func(relay *relay.Relay)) func(context.Context) error {
		return func(context.Context) error {
			for _, entry := range injector.system.entries {
				apply(entry.relay)
			}
			return nil
		}
	}
	return fault{
		name:   "peer links silent, then cut",
		inject: each(func(relay *relay.Relay) { relay.Silence(relayBoth) }), undo: each(func(relay *relay.Relay) { relay.Cut() }),
	}
}

func (injector *injector) raceOperators(name string) fault {
	inject := func(ctx context.Context) error {
		injector.operators.race(ctx)
		return nil
	}
	return fault{name: name, inject: inject, undo: noop}
}

type cloudHostForm struct {
	ID          string `json:"id"`
	DataCentre  string `json:"dataCentre"`
	Reclaimable bool   `json:"reclaimable"`
	State       string `json:"state"`
}

type cloudHostsForm struct {
	Hosts []cloudHostForm `json:"hosts"`
}

type reclaimForm struct {
	DataCentre   string `json:"dataCentre"`
	NoticeMillis int64  `json:"noticeMillis"`
}

// reclaimDataCentre reclaims the reclaimable hosts of the data centre that has most
// of them.
func (injector *injector) reclaimDataCentre() fault {
	inject := func(ctx context.Context) error {
		hosts, err := injector.system.cloudHosts(ctx)
		if err != nil {
			return err
		}
		inDataCentre := map[string]int{}
		most := dataCentres[0]
		for _, host := range hosts {
			if host.Reclaimable && host.State == "live" {
				inDataCentre[host.DataCentre]++
			}
		}
		for _, dataCentre := range dataCentres {
			if inDataCentre[dataCentre] > inDataCentre[most] {
				most = dataCentre
			}
		}
		if inDataCentre[most] == 0 {
			return errors.New("the cloud has no live reclaimable host")
		}
		body, err := json.Marshal(reclaimForm{DataCentre: most, NoticeMillis: noticeMillis})
		if err != nil {
			return err
		}
		return injector.system.control(ctx, "/control/reclaim", body)
	}
	return fault{name: "data centre reclaimed", inject: inject, undo: noop}
}

func (system *system) cloudHosts(ctx context.Context) ([]cloudHostForm, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+system.cloud.Address("api")+"/v1/hosts", nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var form cloudHostsForm
	return form.Hosts, errors.Wrap(json.NewDecoder(response.Body).Decode(&form), "decode the cloud's hosts")
}

func (system *system) control(ctx context.Context, path string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+system.cloud.Address("api")+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("%s: status %s", path, response.Status)
	}
	return nil
}

// readyAt reports whether the entry host at the address is ready.
func (system *system) readyAt(ctx context.Context, address string) bool {
	ctx, cancel := system.clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// withRetry returns a function that repeats a call to a stand-in until it succeeds,
// at most for startTimeout.
func withRetry(system *system, call func(ctx context.Context) error) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		var last error
		err := system.await(ctx, "a call to a stand-in keeps failing", func(ctx context.Context) bool {
			ctx, cancel := system.clock.WithTimeout(ctx, callTimeout)
			defer cancel()
			last = call(ctx)
			return last == nil
		})
		if err != nil {
			return last
		}
		return nil
	}
}
