package settings

import (
	"fmt"
	"os"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
)

// entryHostForm is the entry host beside the steward, from which the steward reads
// the state of the backend servers at the entry hosts.
type entryHostForm struct {
	Address       string `toml:"address" required:"true" format:"address" help:"address of the operators' API of the entry host beside the steward"`
	Token         string `toml:"token" required:"true" format:"secret" help:"operator's token for that API; the role read suffices"`
	TimeoutMillis int64  `toml:"timeoutMillis" default:"1000" min:"1" max:"60000" help:"timeout of one call"`
	CAFile        string `toml:"caFile" format:"file" example:"/etc/sapphirehead/operators-ca.pem" help:"certificate authorities that signed the entry host's certificate; enables TLS"`
	CertFile      string `toml:"certFile" format:"file" example:"/etc/sapphirehead/steward.pem" help:"certificate of the steward, if the entry host requires one"`
	KeyFile       string `toml:"keyFile" format:"file" example:"/etc/sapphirehead/steward.key" help:"private key of the certificate"`
}

type stewardOperatorForm struct {
	Listen string      `toml:"listen" required:"true" format:"address" help:"address of the steward's metrics and leases"`
	Token  string      `toml:"token" format:"secret" help:"short form of one token with the name operator"`
	Tokens []tokenForm `toml:"tokens"`
}

type stewardLimitsForm struct {
	MemoryMegabytes float64 `toml:"memoryMegabytes" default:"256" min:"32" max:"1048576" help:"memory of the process, of which heads at the operators' address get a share"`
	SideConnections int64   `toml:"sideConnections" default:"32" min:"4" max:"1024" help:"maximum number of connections to the operators' address; a new one displaces the one that waits longest"`
}

type stewardForm struct {
	Host             string               `toml:"host" required:"true" example:"entry-1" help:"name of this host, unique"`
	DataCentre       string               `toml:"dataCentre" required:"true" example:"lj-a" help:"data centre of this host"`
	Platform         serverForm           `toml:"platform"`
	Cloud            serverForm           `toml:"cloud"`
	WeightStore      serverForm           `toml:"weightStore"`
	Entry            *entryHostForm       `toml:"entry"`
	Operator         *stewardOperatorForm `toml:"operator"`
	Limits           stewardLimitsForm    `toml:"limits"`
	LeaseMillis      int64                `toml:"leaseMillis" default:"15000" min:"500" max:"120000" help:"duration of a lease, after which another steward may acquire it"`
	RoundMillis      int64                `toml:"roundMillis" default:"1000" min:"1" max:"60000" help:"time between two control rounds; at most half of leaseMillis"`
	DrainGraceMillis int64                `toml:"drainGraceMillis" default:"120000" min:"1" max:"3600000" help:"time for a drained host to finish its requests"`
	StopGraceMillis  int64                `toml:"stopGraceMillis" default:"10000" min:"1" max:"600000" help:"maximum duration of a planned stop"`
	Log              logForm              `toml:"log"`
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
	entryTLS       *TLS
	operatorTokens []Token
	logLevel       string
	lease          clock.Millis
	round          clock.Millis
	drainGrace     clock.Millis
	stopGrace      clock.Millis
	limits         HostLimits
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

// Entry returns the operators' API of the entry host beside the steward, or a
// server with an empty address if the steward calls only the platform.
func (steward *Steward) Entry() Server { return steward.entry }

// EntryToken returns the operators' token of that entry host. It must never be
// logged.
func (steward *Steward) EntryToken() string { return steward.entryToken }

// OperatorListen returns the address on which operators are served, or an empty
// string.
func (steward *Steward) OperatorListen() string { return steward.operatorListen }

// EntryTLS returns the files for TLS to that entry host, or nil for plain HTTP. The
// steward's own certificate is optional.
func (steward *Steward) EntryTLS() *TLS { return steward.entryTLS }

// Limits returns the limits of the process, without those for callers.
func (steward *Steward) Limits() HostLimits { return steward.limits }

// OperatorTokens returns the operators' tokens.
func (steward *Steward) OperatorTokens() []Token { return steward.operatorTokens }

// LogLevel returns the minimum level of log lines.
func (steward *Steward) LogLevel() string { return steward.logLevel }

// DrainGrace returns how long a drained host has to finish its requests.
func (steward *Steward) DrainGrace() clock.Millis { return steward.drainGrace }

// StopGrace returns how long a planned stop may take.
func (steward *Steward) StopGrace() clock.Millis { return steward.stopGrace }

// Lease returns the duration of a lease.
func (steward *Steward) Lease() clock.Millis { return steward.lease }

// Round returns the time between two control rounds.
func (steward *Steward) Round() clock.Millis { return steward.round }

// LoadSteward reads and checks the file. Errors: *Error.
func LoadSteward(file string) (*Steward, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return ParseSteward(file, data)
}

// ParseSteward parses and checks settings that were read from the named file.
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
	return form.steward(), nil
}

// check reports problems that involve several keys.
func (form *stewardForm) check(document *document) {
	if form.RoundMillis > form.LeaseMillis/2 {
		document.report("roundMillis", fmt.Sprintf("is %d: allowed is at most half of leaseMillis (%d)", form.RoundMillis, form.LeaseMillis))
	}
	if form.Operator != nil {
		checkTokens(document, form.Operator.Token, form.Operator.Tokens)
	}
	if form.Entry != nil && (form.Entry.CertFile == "") != (form.Entry.KeyFile == "") {
		document.report("entry.keyFile", "and entry.certFile: give both or neither")
	}
}

func (form *stewardForm) steward() *Steward {
	steward := &Steward{
		host:        form.Host,
		dataCentre:  form.DataCentre,
		platform:    form.Platform.server(),
		cloud:       form.Cloud.server(),
		weightStore: form.WeightStore.server(),
		lease:       clock.Millis(form.LeaseMillis),
		round:       clock.Millis(form.RoundMillis),
		drainGrace:  clock.Millis(form.DrainGraceMillis),
		stopGrace:   clock.Millis(form.StopGraceMillis),
		logLevel:    form.Log.Level,
		limits: HostLimits{
			memoryBytes: int64(form.Limits.MemoryMegabytes * megabyte), sideConnections: int(form.Limits.SideConnections),
		},
	}
	if form.Operator != nil {
		steward.operatorListen = form.Operator.Listen
		steward.operatorTokens = tokensOf(form.Operator.Token, form.Operator.Tokens)
	}
	if form.Entry != nil {
		steward.entry = Server{address: form.Entry.Address, timeout: clock.Millis(form.Entry.TimeoutMillis)}
		steward.entryToken = form.Entry.Token
		if form.Entry.CAFile != "" {
			steward.entryTLS = &TLS{certFile: form.Entry.CertFile, keyFile: form.Entry.KeyFile, caFile: form.Entry.CAFile}
		}
	}
	return steward
}
