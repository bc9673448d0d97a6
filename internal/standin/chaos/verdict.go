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

// runs returns the number of runs of each booking, over all services.
func (system *system) runs(ctx context.Context) (map[string]int, error) {
	sum := map[string]int{}
	for _, service := range system.services {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+service.Address("api")+"/control/runs", nil)
		if err != nil {
			return nil, err
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return nil, errors.Wrap(err, "read the runs of a service")
		}
		var form runsForm
		err = json.NewDecoder(response.Body).Decode(&form)
		response.Body.Close()
		if err != nil {
			return nil, err
		}
		for key, runs := range form.Runs {
			sum[key] += runs
		}
	}
	return sum, nil
}

// checkRuns compares the responses that callers received with the runs of the
// services.
func (load *load) checkRuns(ctx context.Context) error {
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
	for key := range load.bookingResponses {
		if runs[harness.Account+"/"+key] == 0 {
			load.tally.add(countAnsweredWithoutRun, "%s", key)
		}
	}
	for key, notRun := range load.notRun {
		if notRun && runs[harness.Account+"/"+key] > 0 {
			load.tally.add(countNotRunRan, "%s", key)
		}
	}
	return nil
}

// versions records the highest active version of the tables for each incarnation of
// each node.
type versions struct {
	highest map[string]int64
}

func newVersions() *versions { return &versions{highest: map[string]int64{}} }

// check queries the active version of every ready entry host that is not paused, and
// counts one that is lower than before.
func (versions *versions) check(ctx context.Context, system *system, tally *Tally) {
	for _, entry := range system.entries {
		if entryProcess := entry.process.Load(); entryProcess.paused.Load() || !entryProcess.ready.Load() {
			continue
		}
		status, err := system.operator(entry).Status(ctx)
		if err != nil {
			continue
		}
		incarnation := fmt.Sprintf("%s.%d", entry.name, status.Self().Incarnation())
		version := status.Self().TablesVersion()
		if version < versions.highest[incarnation] {
			tally.add(countReverted, "%s fell from version %d to %d", incarnation, versions.highest[incarnation], version)
		}
		versions.highest[incarnation] = max(versions.highest[incarnation], version)
	}
}
