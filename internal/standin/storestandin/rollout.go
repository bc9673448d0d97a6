package storestandin

import "encoding/json"

// Rollout plays the platform's part in the rollout of a service: its new servers appear
// with the order, its old ones stop at once when the status says that it has succeeded,
// and the new ones drain when it is rolled back.
type Rollout struct {
	service string
	to      string
	// stop ends the processes of servers and must not wait for them.
	stop   func(ids []string)
	states []string
}

// Order writes an order for the service, and an entry for each server of the new version.
// Stop ends the processes of the old servers.
func (store *Store) Order(service, to, order string, servers map[string]string, stop func(ids []string)) *Rollout {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	rollout := &Rollout{service: service, to: to, stop: stop}
	store.rollouts = append(store.rollouts, rollout)
	store.write("rollouts", service, json.RawMessage(order))
	for id, spec := range servers {
		store.write("servers", id, json.RawMessage(spec))
	}
	return rollout
}

// States returns the states that were written, in order and without repetitions.
func (store *Store) States(rollout *Rollout) []string {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return append([]string(nil), rollout.states...)
}

// playRollouts reacts to a written status. The caller holds the mutex.
func (store *Store) playRollouts(written object) {
	var status struct {
		State string `json:"state"`
		To    string `json:"to"`
	}
	if written.kind != "rollouts" || json.Unmarshal(written.status, &status) != nil {
		return
	}
	for _, rollout := range store.rollouts {
		if rollout.service != written.name || rollout.to != status.To {
			continue
		}
		if count := len(rollout.states); count > 0 && rollout.states[count-1] == status.State {
			continue
		}
		rollout.states = append(rollout.states, status.State)
		switch status.State {
		case "succeeded":
			rollout.stop(store.endServers(rollout, false))
		case "rolled_back":
			store.endServers(rollout, true)
		}
	}
}

// endServers removes the old servers of the service, or drains the new ones, and returns
// their ids. The caller holds the mutex.
func (store *Store) endServers(rollout *Rollout, drainsNew bool) []string {
	var ended []string
	for _, existing := range store.objects {
		spec := map[string]any{}
		if existing.kind != "servers" || json.Unmarshal(existing.spec, &spec) != nil ||
			spec["service"] != rollout.service || (spec["version"] == rollout.to) != drainsNew {
			continue
		}
		ended = append(ended, existing.name)
		if !drainsNew {
			store.remove(existing)
			continue
		}
		spec["state"] = "draining"
		// A map of decoded JSON can always be encoded.
		encoded, _ := json.Marshal(spec)
		store.write(existing.kind, existing.name, encoded)
	}
	return ended
}
