package harness

import (
	"strconv"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
)

// Model is the model that a single system serves.
const Model = "desk-small"

// singleSlots is the number of requests that each backend server of a single
// system works on at the same time.
const singleSlots = 4000

// singleGrace is the grace of a single system's entry host.
const singleGrace = 10 * clock.Second

const singleTables = `
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

// Single is the smallest whole system, for measurements: a platform, a runner,
// a service and an entry host in one data centre, with the tables in force.
type Single struct {
	runner *Process
	entry  *Process
}

// StartSingle starts a single system whose runner spends the time decode on
// each token.
func (harness *Harness) StartSingle(decode clock.Millis) (*Single, error) {
	platform, err := harness.Start("platform", "sapphire-standin", "platform", "--lag-millis=1")
	if err != nil {
		return nil, err
	}
	place := []string{"--platform=" + platform.Address("api"), "--data-centre=lj-a"}
	runner, err := harness.Start("runner-1", "sapphire-standin", append([]string{
		"runner", "--id=runner-1", "--model=" + Model,
		"--slots=" + strconv.Itoa(singleSlots), "--decode-millis=" + strconv.FormatInt(int64(decode), 10),
	}, place...)...)
	if err != nil {
		return nil, err
	}
	_, err = harness.Start("booking-1", "sapphire-standin", append([]string{"service", "--id=booking-1", "--pool=booking", "--work-millis=0"}, place...)...)
	if err != nil {
		return nil, err
	}
	file, err := harness.WriteFile("entry.toml", EntrySettings("entry-1", "lj-a", platform.Address("api"), "", nil, singleGrace))
	if err != nil {
		return nil, err
	}
	entry, err := harness.Start("entry-1", "sapphire-entry", "--settings="+file)
	if err != nil {
		return nil, err
	}
	return &Single{runner: runner, entry: entry}, harness.Apply(entry, singleTables)
}

// Runner returns the process of the model runner.
func (single *Single) Runner() *Process { return single.runner }

// Entry returns the process of the entry host.
func (single *Single) Entry() *Process { return single.entry }

// Apply writes both tables through the entry host, and waits until they are in
// force.
func (harness *Harness) Apply(entry *Process, tables string) error {
	file, err := harness.WriteFile("tables.toml", tables)
	if err != nil {
		return err
	}
	output, err := harness.Command("sapphirectl", "--address="+entry.Address("operator"), "--token="+OperatorToken, "apply", "--wait", "--file="+file)
	return errors.Wrap(err, output)
}
