package settings

import (
	"fmt"
	"os"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
)

type stewardForm struct {
	Host        string     `toml:"host" required:"true" example:"entry-1" help:"name of this host, unique"`
	DataCentre  string     `toml:"dataCentre" required:"true" example:"lj-a" help:"data centre of this host"`
	Platform    serverForm `toml:"platform"`
	Cloud       serverForm `toml:"cloud"`
	WeightStore serverForm `toml:"weightStore"`
	LeaseMillis int64      `toml:"leaseMillis" default:"10000" min:"500" max:"120000" help:"duration of a lease; a successor acts after it"`
	RoundMillis int64      `toml:"roundMillis" default:"1000" min:"1" max:"60000" help:"time between two rounds of control; at most half of leaseMillis"`
	Log         logForm    `toml:"log"`
}

// Steward is the settings of sapphire-steward.
type Steward struct {
	host        string
	dataCentre  string
	platform    Server
	cloud       Server
	weightStore Server
	lease       clock.Millis
	round       clock.Millis
	logLevel    string
}

// LogLevel returns the least level of a line of the log.
func (steward *Steward) LogLevel() string { return steward.logLevel }

// Host returns the name of this host.
func (steward *Steward) Host() string { return steward.host }

// DataCentre returns the data centre of this host.
func (steward *Steward) DataCentre() string { return steward.dataCentre }

// Platform returns the platform's address.
func (steward *Steward) Platform() Server { return steward.platform }

// Cloud returns the cloud API's address.
func (steward *Steward) Cloud() Server { return steward.cloud }

// WeightStore returns the weight store's address.
func (steward *Steward) WeightStore() Server { return steward.weightStore }

// Lease returns the duration of a lease.
func (steward *Steward) Lease() clock.Millis { return steward.lease }

// Round returns the time between two rounds of control.
func (steward *Steward) Round() clock.Millis { return steward.round }

// LoadSteward reads and checks the file. Errors: *Error.
func LoadSteward(file string) (*Steward, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return ParseSteward(file, data)
}

// ParseSteward checks settings that were read from the named file.
func ParseSteward(file string, data []byte) (*Steward, error) {
	var form stewardForm
	document := decode(file, data, &form)
	if err := document.err(); err != nil {
		return nil, err
	}
	form.check(document)
	if err := document.err(); err != nil {
		return nil, err
	}
	return &Steward{
		host:        form.Host,
		dataCentre:  form.DataCentre,
		platform:    form.Platform.server(),
		cloud:       form.Cloud.server(),
		weightStore: form.WeightStore.server(),
		lease:       clock.Millis(form.LeaseMillis),
		round:       clock.Millis(form.RoundMillis),
		logLevel:    form.Log.Level,
	}, nil
}

// check reports faults that concern several keys.
func (form *stewardForm) check(document *document) {
	if form.RoundMillis > form.LeaseMillis/2 {
		document.report("roundMillis", fmt.Sprintf("is %d: allowed is at most half of leaseMillis (%d)", form.RoundMillis, form.LeaseMillis))
	}
}
