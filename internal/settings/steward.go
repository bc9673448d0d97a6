package settings

import (
	"os"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
)

const (
	defaultLeaseMillis = 10_000
	minLeaseMillis     = 500
	maxLeaseMillis     = 120_000
	defaultRoundMillis = 1_000
)

type stewardForm struct {
	Host        string     `toml:"host"`
	DataCentre  string     `toml:"dataCentre"`
	Platform    serverForm `toml:"platform"`
	Cloud       serverForm `toml:"cloud"`
	WeightStore serverForm `toml:"weightStore"`
	LeaseMillis int64      `toml:"leaseMillis"`
	RoundMillis int64      `toml:"roundMillis"`
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
}

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
	setDefault(&form.Platform.TimeoutMillis, defaultTimeoutMillis)
	setDefault(&form.Cloud.TimeoutMillis, defaultTimeoutMillis)
	setDefault(&form.WeightStore.TimeoutMillis, defaultTimeoutMillis)
	setDefault(&form.LeaseMillis, defaultLeaseMillis)
	setDefault(&form.RoundMillis, defaultRoundMillis)
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
	}, nil
}

func (form *stewardForm) check(document *document) {
	document.text("host", form.Host, "entry-1")
	document.text("dataCentre", form.DataCentre, "lj-a")
	document.address("platform.address", form.Platform.Address)
	document.number("platform.timeoutMillis", form.Platform.TimeoutMillis, 1, maxTimeoutMillis)
	document.address("cloud.address", form.Cloud.Address)
	document.number("cloud.timeoutMillis", form.Cloud.TimeoutMillis, 1, maxTimeoutMillis)
	document.address("weightStore.address", form.WeightStore.Address)
	document.number("weightStore.timeoutMillis", form.WeightStore.TimeoutMillis, 1, maxTimeoutMillis)
	document.number("leaseMillis", form.LeaseMillis, minLeaseMillis, maxLeaseMillis)
	document.number("roundMillis", form.RoundMillis, 1, form.LeaseMillis/2)
}
