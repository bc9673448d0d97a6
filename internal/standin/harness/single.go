package harness

import (
	"strconv"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
)

// Model is the model that the runners of the test systems serve.
const Model = "desk-small"

// singleNodeSlots is the number of requests that each backend server of a
// single-node system processes concurrently.
const singleNodeSlots = 4000

// singleNodeGrace is the entry host's grace period on stop.
const singleNodeGrace = 10 * clock.Second

const singleNodeTables = `
[[routes]]
name = "desk"
kind = "chat"
pool = "runners"
model = "desk-small"
worth = 1.0
[[routes]]
name = "bookings"
kind = "service"
pool = "booking"
path = "/bookings"
worth = 1.0
nonIdempotent = true
[[routes]]
name = "status"
kind = "service"
pool = "booking"
path = "/status"
worth = 1.0
[[pools]]
name = "runners"
kind = "runner"
slots = 4000
[[pools.models]]
name = "desk-small"
version = "v1"
[[pools]]
name = "booking"
kind = "service"
slots = 4000
`

// SingleNode is the smallest complete system, for measurements: a platform, a
// runner, a service and an entry host in one data centre, with active tables.
type SingleNode struct {
	runner *Process
	entry  *Process
}

// StartSingleNode starts a single-node system whose runner takes the time decode for
// each token.
func (harness *Harness) StartSingleNode(decode clock.Millis) (*SingleNode, error) {
	platform, err := harness.Start("platform", "sapphire-standin", "platform", "--lag-millis=1")
	if err != nil {
		return nil, err
	}
	commonFlags := []string{"--platform=" + platform.Address("api"), "--data-centre=lj-a"}
	runner, err := harness.Start("runner-1", "sapphire-standin", append([]string{
		"runner", "--id=runner-1", "--model=" + Model,
		"--slots=" + strconv.Itoa(singleNodeSlots), "--decode-millis=" + strconv.FormatInt(int64(decode), 10),
	}, commonFlags...)...)
	if err != nil {
		return nil, err
	}
	_, err = harness.Start("booking-1", "sapphire-standin", append([]string{"service", "--id=booking-1", "--pool=booking", "--work-millis=0"}, commonFlags...)...)
	if err != nil {
		return nil, err
	}
	file, err := harness.WriteFile("entry.toml", EntrySettings("entry-1", "lj-a", platform.Address("api"), "", nil, singleNodeGrace))
	if err != nil {
		return nil, err
	}
	entry, err := harness.Start("entry-1", "sapphire-entry", "--settings="+file)
	if err != nil {
		return nil, err
	}
	return &SingleNode{runner: runner, entry: entry}, harness.Apply(entry, singleNodeTables)
}

// Runner returns the process of the model runner.
func (singleNode *SingleNode) Runner() *Process { return singleNode.runner }

// Entry returns the process of the entry host.
func (singleNode *SingleNode) Entry() *Process { return singleNode.entry }

// Apply writes both tables through the entry host and waits until they are
// active.
func (harness *Harness) Apply(entry *Process, tables string) error {
	file, err := harness.WriteFile("tables.toml", tables)
	if err != nil {
		return err
	}
	output, err := harness.Command("sapphirectl", "--address="+entry.Address("operator"), "--token="+OperatorToken, "apply", "--wait", "--file="+file)
	return errors.Wrap(err, output)
}
