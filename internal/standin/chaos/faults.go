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

// fault is one thing that goes wrong and is put right again later.
type fault struct {
	name   string
	induce func(ctx context.Context) error
	heal   func(ctx context.Context) error
}

// noticeMillis is the notice of a reclaim.
const noticeMillis = 1500

// relayDelay holds back each piece of data of a slow relay.
const relayDelay = 20 * clock.Millisecond

// slowMillis is the wait before each answer of a slow platform.
const slowMillis = 300

// director induces faults.
type director struct {
	system    *system
	operators *operators
	random    *rand.Rand
	versions  *versions
	tally     *Tally
}

func nothing(context.Context) error { return nil }

// faults returns every fault once, in an order given by the seed.
func (director *director) faults() []fault {
	entries := director.system.entries
	list := []fault{
		director.killRunner(), director.killEntry(entries[0]), director.killSteward(entries[1]),
		director.pauseEntry(entries[1]), director.pausePlatform(), director.pauseSteward(entries[2]),
		director.restartEntry(entries[2]), director.reclaimDataCentre(),
		director.breakPlatform(platformstandin.FaultDown, 0), director.breakPlatform(platformstandin.FaultLoseAnswer, 0),
		director.breakPlatform(platformstandin.FaultSlow, slowMillis),
		director.relays("cut relays", func(relay *relay.Relay) { relay.Cut() }),
		director.relays("silent relays", func(relay *relay.Relay) { relay.Silence(relayBoth) }),
		director.relays("relays silent towards the entry hosts", func(relay *relay.Relay) { relay.Silence(relayFrom) }),
		director.slowRelays(), director.fellowLinks(),
		director.raceOperators("operators race"), director.raceOperators("operators race again"),
	}
	director.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

const (
	relayBoth = relay.Both
	relayFrom = relay.FromTarget
)

// killRunner kills a runner; the platform takes it off its list late, and
// another one starts.
func (director *director) killRunner() fault {
	system := director.system
	killed := ""
	induce := func(context.Context) error {
		ids := slices.Sorted(maps.Keys(system.runners))
		killed = ids[director.random.IntN(len(ids))]
		system.runners[killed].Kill()
		return nil
	}
	heal := func(ctx context.Context) error {
		delete(system.runners, killed)
		if err := system.startRunner(ctx, dataCentres[0]); err != nil {
			return err
		}
		return platformstandin.Unregister(ctx, system.platform.Address("api"), killed)
	}
	return fault{name: "runner killed", induce: induce, heal: retried(system, heal)}
}

// killEntry kills an entry host and starts it again.
func (director *director) killEntry(entry *entryHost) fault {
	induce := func(context.Context) error {
		entry.target.Load().kill()
		return nil
	}
	heal := func(ctx context.Context) error {
		if err := director.system.startEntry(entry); err != nil {
			return err
		}
		return director.system.awaitReady(ctx, entry)
	}
	return fault{name: "entry host killed", induce: induce, heal: heal}
}

// restartEntry stops an entry host gracefully and starts it again. No request
// may be cut.
func (director *director) restartEntry(entry *entryHost) fault {
	system := director.system
	induce := func(ctx context.Context) error {
		stopping := entry.target.Load()
		stopping.stopping.Store(true)
		if err := stopping.process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		err := system.await(ctx, entry.name+" stays ready after the signal to stop", func(ctx context.Context) bool {
			return !system.readyAt(ctx, stopping.address())
		})
		stopping.ready.Store(false)
		return err
	}
	heal := func(ctx context.Context) error {
		if err := entry.target.Load().process.Wait(); err != nil {
			return errors.Wrap(err, entry.name+" did not stop cleanly")
		}
		if err := system.startEntry(entry); err != nil {
			return err
		}
		return system.awaitReady(ctx, entry)
	}
	return fault{name: "entry host restarted", induce: induce, heal: heal}
}

// pauseEntry stops the process of an entry host in its tracks. The balancer
// goes on sending it requests.
func (director *director) pauseEntry(entry *entryHost) fault {
	induce := func(context.Context) error { return entry.target.Load().pause() }
	heal := func(context.Context) error { return entry.target.Load().wake() }
	return fault{name: "entry host paused", induce: induce, heal: heal}
}

func (director *director) killSteward(entry *entryHost) fault {
	induce := func(context.Context) error {
		entry.steward.Load().Kill()
		return nil
	}
	heal := func(context.Context) error { return director.system.startSteward(entry) }
	return fault{name: "steward killed", induce: induce, heal: heal}
}

// pauseSteward pauses a steward for longer than its lease.
func (director *director) pauseSteward(entry *entryHost) fault {
	induce := func(context.Context) error { return entry.steward.Load().Signal(syscall.SIGSTOP) }
	heal := func(context.Context) error { return entry.steward.Load().Signal(syscall.SIGCONT) }
	return fault{name: "steward paused", induce: induce, heal: heal}
}

func (director *director) pausePlatform() fault {
	induce := func(context.Context) error { return director.system.platform.Signal(syscall.SIGSTOP) }
	heal := func(context.Context) error { return director.system.platform.Signal(syscall.SIGCONT) }
	return fault{name: "platform paused", induce: induce, heal: heal}
}

func (director *director) breakPlatform(kind platformstandin.Fault, millis int64) fault {
	set := func(kind platformstandin.Fault) func(ctx context.Context) error {
		return retried(director.system, func(ctx context.Context) error {
			return platformstandin.InjectFault(ctx, director.system.platform.Address("api"), kind, millis)
		})
	}
	return fault{name: "platform " + string(kind), induce: set(kind), heal: set(platformstandin.FaultNone)}
}

// relays breaks those before services and half of those before runners, twice.
func (director *director) relays(name string, apply func(relay *relay.Relay)) fault {
	half := func(context.Context) error {
		for _, before := range director.system.relays {
			if before.service || director.random.IntN(2) == 0 {
				apply(before.relay)
			}
		}
		return nil
	}
	return fault{name: name, induce: half, heal: half}
}

func (director *director) slowRelays() fault {
	set := func(delay clock.Millis) func(context.Context) error {
		return func(context.Context) error {
			for _, before := range director.system.relays {
				before.relay.Delay(delay)
			}
			return nil
		}
	}
	return fault{name: "slow relays", induce: set(relayDelay), heal: set(0)}
}

// fellowLinks silences the links between entry hosts, then cuts them.
func (director *director) fellowLinks() fault {
	each := func(apply func(relay *relay.Relay)) func(context.Context) error {
		return func(context.Context) error {
			for _, entry := range director.system.entries {
				apply(entry.relay)
			}
			return nil
		}
	}
	return fault{
		name:   "fellow nodes' links silent, then cut",
		induce: each(func(relay *relay.Relay) { relay.Silence(relayBoth) }), heal: each(func(relay *relay.Relay) { relay.Cut() }),
	}
}

func (director *director) raceOperators(name string) fault {
	induce := func(ctx context.Context) error {
		director.operators.race(ctx)
		return nil
	}
	return fault{name: name, induce: induce, heal: nothing}
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

// reclaimDataCentre takes back the reclaimable hosts of the data centre that
// has most of them.
func (director *director) reclaimDataCentre() fault {
	induce := func(ctx context.Context) error {
		hosts, err := director.system.cloudHosts(ctx)
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
			return errors.New("no reclaimable host of the cloud is live")
		}
		body, err := json.Marshal(reclaimForm{DataCentre: most, NoticeMillis: noticeMillis})
		if err != nil {
			return err
		}
		return director.system.control(ctx, "/control/reclaim", body)
	}
	return fault{name: "data centre reclaimed", induce: induce, heal: nothing}
}

func (system *system) cloudHosts(ctx context.Context) ([]cloudHostForm, error) {
	message, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+system.cloud.Address("api")+"/v1/hosts", nil)
	if err != nil {
		return nil, err
	}
	answer, err := http.DefaultClient.Do(message)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	var form cloudHostsForm
	return form.Hosts, errors.Wrap(json.NewDecoder(answer.Body).Decode(&form), "decode the cloud's hosts")
}

func (system *system) control(ctx context.Context, path string, body []byte) error {
	message, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+system.cloud.Address("api")+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	answer, err := http.DefaultClient.Do(message)
	if err != nil {
		return err
	}
	answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return errors.Errorf("%s: status %s", path, answer.Status)
	}
	return nil
}

// readyAt asks an entry host whether it is ready.
func (system *system) readyAt(ctx context.Context, address string) bool {
	ctx, cancel := system.clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	message, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	answer, err := http.DefaultClient.Do(message)
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// retried repeats a call to a stand-in until it works.
func retried(system *system, call func(ctx context.Context) error) func(ctx context.Context) error {
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
