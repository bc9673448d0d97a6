// Package stewardslope measures the cost of a steward in steady state: calls to
// the platform, processor time and memory per lease and per runner. It runs one
// real steward that holds every lease, between the stand-ins, a fake entry host
// and a server that responds for every runner, and reads the steward's resource
// usage from the operating system.
//
// Two fleets that differ in one quantity give the slope of that quantity:
//
//	10 pools with 10 runners     use P1 of processor time a second
//	10 pools with 1,000 runners  use P2
//	a runner costs (P2 - P1) / 990
package stewardslope

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/node"
	"sapphirehead/internal/operator"
	"sapphirehead/internal/operator/operatorhttp"
	"sapphirehead/internal/platform/platformhttp"
	"sapphirehead/internal/pool"
	"sapphirehead/internal/route"
	"sapphirehead/internal/slopes/requestslope"
	"sapphirehead/internal/standin/harness"
	"sapphirehead/internal/table"
)

const (
	token      = "token-of-operators"
	dataCentre = "lj-a"
	model      = "desk"
	// leaseSettleTime is the wait for the steward to acquire its leases.
	leaseSettleTime = 8 * clock.Second
	// window is the length of one measurement.
	window = 20 * clock.Second
)

const stewardSettings = `host = "entry-1"
dataCentre = %q
platform.address = %q
cloud.address = %q
weightStore.address = %q
entry = { address = %q, token = %q }
`

// fleet is the size of one measurement.
type fleet struct {
	pools   int
	runners int
	// others is the number of runners of pools without a lease.
	others int
}

// usage is the resource usage of a steward in the window.
type usage struct {
	fleet     fleet
	processor clock.Millis
	memory    int64
	calls     int64
	writes    int64
}

// Report measures fleets of several sizes and writes a table.
func Report(ctx context.Context, writer io.Writer, bin string) error {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "pools\trunners\tothers\tprocessor ms/s\tresident KiB\tplatform calls/s\tof them writes/s")
	for _, fleet := range []fleet{{pools: 1, runners: 10}, {pools: 10, runners: 10}, {pools: 10, runners: 1000}, {pools: 1, runners: 10, others: 3690}} {
		used, err := measure(ctx, bin, fleet)
		if err != nil {
			return err
		}
		seconds := float64(window) / float64(clock.Second)
		fmt.Fprintf(table, "%d\t%d\t%d\t%.1f\t%d\t%.2f\t%.2f\n", fleet.pools, fleet.runners, fleet.others,
			float64(used.processor)/seconds, used.memory>>10, float64(used.calls)/seconds, float64(used.writes)/seconds)
	}
	return table.Flush()
}

func measure(ctx context.Context, bin string, fleet fleet) (usage, error) {
	folder, err := os.MkdirTemp("", "sapphirehead-slopes")
	if err != nil {
		return usage{}, err
	}
	defer os.RemoveAll(folder)
	system := clock.System()
	harness := harness.New(bin, folder, system)
	defer harness.Close()
	steward, platform, err := start(ctx, harness, fleet)
	if err != nil {
		return usage{}, err
	}
	if err := system.Wait(ctx, leaseSettleTime); err != nil {
		return usage{}, err
	}
	before, err := readUsage(steward.PID(), platform)
	if err != nil {
		return usage{}, err
	}
	if err := system.Wait(ctx, window); err != nil {
		return usage{}, err
	}
	after, err := readUsage(steward.PID(), platform)
	after.fleet = fleet
	after.processor -= before.processor
	after.calls -= before.calls
	after.writes -= before.writes
	return after, err
}

// start starts the stand-ins and the steward.
func start(ctx context.Context, harness *harness.Harness, fleet fleet) (*harness.Process, string, error) {
	platform, err := harness.Start("platform", "sapphire-standin", "platform")
	if err != nil {
		return nil, "", err
	}
	address := platform.Address("api")
	cloud, err := harness.Start("cloud", "sapphire-standin", "cloud", "--platform="+address, "--data-centre="+dataCentre)
	if err != nil {
		return nil, "", err
	}
	weights, err := harness.Start("weightstore", "sapphire-standin", "weightstore")
	if err != nil {
		return nil, "", err
	}
	tables := tablesOf(fleet)
	store := platformhttp.New(address, clock.System(), clock.Second).Store()
	if err := platformhttp.CommitTables(ctx, store, tables, 0); err != nil {
		return nil, "", err
	}
	runners := httptest.NewServer(http.HandlerFunc(serveRunner))
	reader := func(given string) (operator.Token, bool) { return operator.NewToken("steward", false), given == token }
	status := func() operator.Status { return statusOf(fleet, strings.TrimPrefix(runners.URL, "http://")) }
	entry := httptest.NewServer(operatorhttp.New(reader, nil, nil, nil, status, nil, nil, nil, nil, func(string, string, string) {}).Router())
	file, err := harness.WriteFile("steward.toml", fmt.Sprintf(stewardSettings, dataCentre, address, cloud.Address("api"),
		weights.Address("api"), strings.TrimPrefix(entry.URL, "http://"), token))
	if err != nil {
		return nil, "", err
	}
	steward, err := harness.Start("steward", "sapphire-steward", "--settings="+file)
	return steward, address, err
}

// stateForm is the state that every runner reports, which is the desired one.
type stateForm struct {
	Models []modelForm `json:"models"`
	Role   string      `json:"role"`
}

type modelForm struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

func serveRunner(writer http.ResponseWriter, _ *http.Request) {
	json.NewEncoder(writer).Encode(stateForm{Models: []modelForm{{Name: model, Version: "v1"}}, Role: "serve"})
}

func poolName(i int) string { return "runners-" + strconv.Itoa(i) }

func tablesOf(fleet fleet) *table.Tables {
	var pools []pool.Pool
	var routes []route.Route
	for i := range fleet.pools {
		pools = append(pools, pool.New(poolName(i), pool.KindRunner).WithModels(pool.NewModel(model, "v1")).WithHosts("gpu-small", 0, 1000))
	}
	routes = append(routes, route.New("desk", route.KindChat, poolName(0)).WithModel(model))
	return table.New(1, routes, pools, nil)
}

func statusOf(fleet fleet, address string) operator.Status {
	servers := make([]operator.ServerStatus, 0, fleet.runners)
	for i := range fleet.runners {
		servers = append(servers, operator.NewServerStatus("runner-"+strconv.Itoa(i), address, dataCentre, poolName(i%fleet.pools), false, "closed", 0, 0))
	}
	for i := range fleet.others {
		servers = append(servers, operator.NewServerStatus("other-"+strconv.Itoa(i), address, dataCentre, "others", false, "closed", 0, 0))
	}
	self := node.NewMember("entry-1", "127.0.0.1:1", dataCentre, 1).WithState(1, 1, true, false)
	return operator.NewStatus(self, nil, servers)
}

// countsForm holds the call counters of the platform stand-in.
type countsForm struct {
	Calls  int64 `json:"calls"`
	Writes int64 `json:"writes"`
}

// readUsage reads the steward's usage and the platform stand-in's counters so
// far.
func readUsage(pid int, platform string) (usage, error) {
	used, err := requestslope.ReadUsage(pid)
	if err != nil {
		return usage{}, err
	}
	response, err := http.Get("http://" + platform + "/control/counts")
	if err != nil {
		return usage{}, errors.Wrap(err, "query the platform stand-in")
	}
	defer response.Body.Close()
	var counts countsForm
	if err := json.NewDecoder(response.Body).Decode(&counts); err != nil {
		return usage{}, errors.Wrap(err, "decode the counters of the platform stand-in")
	}
	return usage{processor: used.Processor(), memory: used.Memory(), calls: counts.Calls, writes: counts.Writes}, nil
}
