package settings

import (
	"fmt"
	"os"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
)

const (
	defaultLeaseMillis      = 15_000
	minLeaseMillis          = 500
	maxLeaseMillis          = 120_000
	defaultRoundMillis      = 1_000
	defaultDrainGraceMillis = 120_000
	maxDrainGraceMillis     = 3_600_000
	defaultStopGraceMillis  = 10_000
)

type entryHostForm struct {
	Address       string `toml:"address"`
	Token         string `toml:"token"`
	TimeoutMillis int64  `toml:"timeoutMillis"`
}

type stewardForm struct {
	Host             string        `toml:"host"`
	DataCentre       string        `toml:"dataCentre"`
	Platform         serverForm    `toml:"platform"`
	Cloud            serverForm    `toml:"cloud"`
	WeightStore      serverForm    `toml:"weightStore"`
	Entry            entryHostForm `toml:"entry"`
	Operator         operatorForm  `toml:"operator"`
	LeaseMillis      int64         `toml:"leaseMillis"`
	RoundMillis      int64         `toml:"roundMillis"`
	DrainGraceMillis int64         `toml:"drainGraceMillis"`
	StopGraceMillis  int64         `toml:"stopGraceMillis"`
}

// Steward is the settings of sapphire-steward.
type Steward struct {
	host           string
	dataCentre     string
	platform       Server
	cloud          Server
	weightStore    Server
	entry          Server
	entryToken     string
	operatorListen string
	operatorToken  string
	lease          clock.Millis
	round          clock.Millis
	drainGrace     clock.Millis
	stopGrace      clock.Millis
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

// Entry returns the operators' address of the entry host beside the steward, or
// a server without address if the steward asks the platform alone.
func (steward *Steward) Entry() Server { return steward.entry }

// EntryToken returns the operators' token of that entry host. It must never be
// logged.
func (steward *Steward) EntryToken() string { return steward.entryToken }

// OperatorListen returns the address on which operators are served, or nothing.
func (steward *Steward) OperatorListen() string { return steward.operatorListen }

// OperatorToken returns the operators' token. It must never be logged.
func (steward *Steward) OperatorToken() string { return steward.operatorToken }

// DrainGrace returns how long a host that is given back may finish its requests.
func (steward *Steward) DrainGrace() clock.Millis { return steward.drainGrace }

// StopGrace returns how long a planned stop may take.
func (steward *Steward) StopGrace() clock.Millis { return steward.stopGrace }

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
	setDefault(&form.Entry.TimeoutMillis, defaultTimeoutMillis)
	setDefault(&form.DrainGraceMillis, defaultDrainGraceMillis)
	setDefault(&form.StopGraceMillis, defaultStopGraceMillis)
	setDefault(&form.LeaseMillis, defaultLeaseMillis)
	setDefault(&form.RoundMillis, defaultRoundMillis)
	form.check(document)
	if err := document.err(); err != nil {
		return nil, err
	}
	return &Steward{
		host:           form.Host,
		dataCentre:     form.DataCentre,
		platform:       form.Platform.server(),
		cloud:          form.Cloud.server(),
		weightStore:    form.WeightStore.server(),
		entry:          serverForm{Address: form.Entry.Address, TimeoutMillis: form.Entry.TimeoutMillis}.server(),
		entryToken:     form.Entry.Token,
		operatorListen: form.Operator.Listen,
		operatorToken:  form.Operator.Token,
		lease:          clock.Millis(form.LeaseMillis),
		round:          clock.Millis(form.RoundMillis),
		drainGrace:     clock.Millis(form.DrainGraceMillis),
		stopGrace:      clock.Millis(form.StopGraceMillis),
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
	document.number("drainGraceMillis", form.DrainGraceMillis, 1, maxDrainGraceMillis)
	document.number("stopGraceMillis", form.StopGraceMillis, 1, maxGraceMillis)
	if form.Entry.Address != "" {
		document.address("entry.address", form.Entry.Address)
		document.number("entry.timeoutMillis", form.Entry.TimeoutMillis, 1, maxTimeoutMillis)
		document.token("entry.token", form.Entry.Token)
	}
	if form.Operator.Listen != "" {
		document.address("operator.listen", form.Operator.Listen)
		document.token("operator.token", form.Operator.Token)
	}
}

func (document *document) token(key, value string) {
	if len(value) < minTokenLength {
		document.report(key, fmt.Sprintf("has %d characters: allowed is %d or more", len(value), minTokenLength))
	}
}
