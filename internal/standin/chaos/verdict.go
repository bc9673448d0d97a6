package chaos

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/pkg/errors"

	"sapphirehead/internal/standin/harness"
)

type runsForm struct {
	Runs map[string]int `json:"runs"`
}

// runs returns how often each booking ran over all services.
func (system *system) runs(ctx context.Context) (map[string]int, error) {
	sum := map[string]int{}
	for _, service := range system.services {
		message, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+service.Address("api")+"/control/runs", nil)
		if err != nil {
			return nil, err
		}
		answer, err := http.DefaultClient.Do(message)
		if err != nil {
			return nil, errors.Wrap(err, "read the runs of a service")
		}
		var form runsForm
		err = json.NewDecoder(answer.Body).Decode(&form)
		answer.Body.Close()
		if err != nil {
			return nil, err
		}
		for key, runs := range form.Runs {
			sum[key] += runs
		}
	}
	return sum, nil
}

// settle compares what callers were told with what the services ran.
func (load *load) settle(ctx context.Context) error {
	runs, err := load.system.runs(ctx)
	if err != nil {
		return err
	}
	for key, count := range runs {
		load.tally.add("sideEffects", "")
		if count > 1 {
			load.tally.add(countDoubled, "%s ran %d times", key, count)
		}
	}
	for key := range load.whole {
		if runs[harness.Account+"/"+key] == 0 {
			load.tally.add(countUnanswered, "%s", key)
		}
	}
	for key, notRun := range load.notRun {
		if notRun && runs[harness.Account+"/"+key] > 0 {
			load.tally.add(countNotRunRan, "%s", key)
		}
	}
	return nil
}

// versions remembers the highest version of the tables that each start of
// each node had in force.
type versions struct {
	highest map[string]int64
}

func newVersions() *versions { return &versions{highest: map[string]int64{}} }

// look asks every working entry host and counts a version that fell.
func (versions *versions) look(ctx context.Context, system *system, tally *Tally) {
	for _, entry := range system.entries {
		if target := entry.target.Load(); target.paused.Load() || !target.ready.Load() {
			continue
		}
		status, err := system.operator(entry).Status(ctx)
		if err != nil {
			continue
		}
		start := fmt.Sprintf("%s.%d", entry.name, status.Self().Incarnation())
		version := status.Self().TablesVersion()
		if version < versions.highest[start] {
			tally.add(countReverted, "%s fell from version %d to %d", start, versions.highest[start], version)
		}
		versions.highest[start] = max(versions.highest[start], version)
	}
}
