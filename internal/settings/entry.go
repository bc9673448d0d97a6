package settings

import (
	"fmt"
	"os"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
)

// Bounds and defaults of settings.
const (
	maxTimeoutMillis     = 60_000
	defaultTimeoutMillis = 1_000
	maxGraceMillis       = 600_000
	defaultGraceMillis   = 30_000
	defaultReadyOff      = 2_000
	maxInFlight          = 1_000_000
	defaultInFlight      = 4_096
	minTokenLength       = 8
)

type callerForm struct {
	Listen      string `toml:"listen"`
	MaxInFlight int64  `toml:"maxInFlight"`
}

type operatorForm struct {
	Listen string `toml:"listen"`
	Token  string `toml:"token"`
}

type nodeForm struct {
	Listen  string   `toml:"listen"`
	Fellows []string `toml:"fellows"`
}

type serverForm struct {
	Address       string `toml:"address"`
	TimeoutMillis int64  `toml:"timeoutMillis"`
}

type stopForm struct {
	ReadyOffMillis int64 `toml:"readyOffMillis"`
	GraceMillis    int64 `toml:"graceMillis"`
}

type accountForm struct {
	Name        string `toml:"name"`
	Key         string `toml:"key"`
	MaxInFlight int64  `toml:"maxInFlight"`
}

type entryForm struct {
	Host           string        `toml:"host"`
	DataCentre     string        `toml:"dataCentre"`
	Caller         callerForm    `toml:"caller"`
	Operator       operatorForm  `toml:"operator"`
	Node           nodeForm      `toml:"node"`
	Platform       serverForm    `toml:"platform"`
	Cloud          serverForm    `toml:"cloud"`
	Stop           stopForm      `toml:"stop"`
	ClientAccounts []accountForm `toml:"clientAccounts"`
}

// Server is the address of a peer and the timeout of a call to it.
type Server struct {
	address string
	timeout clock.Millis
}

// Address returns host and port, or empty if the peer is not set.
func (server Server) Address() string { return server.address }

// Timeout returns the time that one call may take.
func (server Server) Timeout() clock.Millis { return server.timeout }

// Account is one client account.
type Account struct {
	name        string
	key         string
	maxInFlight int
}

// Name returns the name of the account.
func (account Account) Name() string { return account.name }

// Key returns the key of the account's callers. It must never be logged.
func (account Account) Key() string { return account.key }

// MaxInFlight returns the bound on requests in flight, or 0 for none.
func (account Account) MaxInFlight() int { return account.maxInFlight }

// Entry is the settings of sapphire-entry.
type Entry struct {
	host           string
	dataCentre     string
	callerListen   string
	maxInFlight    int64
	operatorListen string
	operatorToken  string
	nodeListen     string
	fellows        []string
	platform       Server
	cloud          Server
	readyOff       clock.Millis
	grace          clock.Millis
	accounts       []Account
}

// Host returns the name of this host.
func (entry *Entry) Host() string { return entry.host }

// DataCentre returns the data centre of this host.
func (entry *Entry) DataCentre() string { return entry.dataCentre }

// CallerListen returns the address on which callers are served.
func (entry *Entry) CallerListen() string { return entry.callerListen }

// MaxInFlight returns the bound on requests in flight at this node.
func (entry *Entry) MaxInFlight() int64 { return entry.maxInFlight }

// OperatorListen returns the address on which operators are served.
func (entry *Entry) OperatorListen() string { return entry.operatorListen }

// OperatorToken returns the operators' token. It must never be logged.
func (entry *Entry) OperatorToken() string { return entry.operatorToken }

// NodeListen returns the address on which fellow nodes are served.
func (entry *Entry) NodeListen() string { return entry.nodeListen }

// Fellows returns the addresses of fellow nodes to begin with.
func (entry *Entry) Fellows() []string { return entry.fellows }

// Platform returns the platform's address.
func (entry *Entry) Platform() Server { return entry.platform }

// Cloud returns the cloud API's address, which may be empty.
func (entry *Entry) Cloud() Server { return entry.cloud }

// ReadyOff returns how long a stopping node still takes requests after it has
// told the balancer that it is not ready.
func (entry *Entry) ReadyOff() clock.Millis { return entry.readyOff }

// Grace returns how long a stopping node waits for requests in progress.
func (entry *Entry) Grace() clock.Millis { return entry.grace }

// Accounts returns the client accounts.
func (entry *Entry) Accounts() []Account { return entry.accounts }

// LoadEntry reads and checks the file. Errors: *Error.
func LoadEntry(file string) (*Entry, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return ParseEntry(file, data)
}

// ParseEntry checks settings that were read from the named file.
func ParseEntry(file string, data []byte) (*Entry, error) {
	var form entryForm
	document := decode(file, data, &form)
	if err := document.err(); err != nil {
		return nil, err
	}
	form.fill()
	form.check(document)
	if err := document.err(); err != nil {
		return nil, err
	}
	return form.entry(), nil
}

func (form *entryForm) fill() {
	setDefault(&form.Caller.MaxInFlight, defaultInFlight)
	setDefault(&form.Platform.TimeoutMillis, defaultTimeoutMillis)
	setDefault(&form.Cloud.TimeoutMillis, defaultTimeoutMillis)
	setDefault(&form.Stop.GraceMillis, defaultGraceMillis)
	setDefault(&form.Stop.ReadyOffMillis, defaultReadyOff)
}

func setDefault(value *int64, fallback int64) {
	if *value == 0 {
		*value = fallback
	}
}

func (form *entryForm) check(document *document) {
	document.text("host", form.Host, "entry-1")
	document.text("dataCentre", form.DataCentre, "lj-a")
	document.address("caller.listen", form.Caller.Listen)
	document.number("caller.maxInFlight", form.Caller.MaxInFlight, 1, maxInFlight)
	document.address("operator.listen", form.Operator.Listen)
	if len(form.Operator.Token) < minTokenLength {
		document.report("operator.token", fmt.Sprintf("has %d characters: allowed is %d or more", len(form.Operator.Token), minTokenLength))
	}
	document.address("node.listen", form.Node.Listen)
	for _, fellow := range form.Node.Fellows {
		document.address("node.fellows", fellow)
	}
	document.address("platform.address", form.Platform.Address)
	document.number("platform.timeoutMillis", form.Platform.TimeoutMillis, 1, maxTimeoutMillis)
	if form.Cloud.Address != "" {
		document.address("cloud.address", form.Cloud.Address)
	}
	document.number("cloud.timeoutMillis", form.Cloud.TimeoutMillis, 1, maxTimeoutMillis)
	document.number("stop.graceMillis", form.Stop.GraceMillis, 1, maxGraceMillis)
	document.number("stop.readyOffMillis", form.Stop.ReadyOffMillis, 1, maxGraceMillis)
	form.checkAccounts(document)
}

func (form *entryForm) checkAccounts(document *document) {
	names, keys := map[string]bool{}, map[string]bool{}
	for _, account := range form.ClientAccounts {
		document.text("clientAccounts.name", account.Name, "garage-north")
		if len(account.Key) < minTokenLength {
			document.report("clientAccounts.key", fmt.Sprintf("of account %q has %d characters: allowed is %d or more", account.Name, len(account.Key), minTokenLength))
		}
		document.number("clientAccounts.maxInFlight", account.MaxInFlight, 0, maxInFlight)
		if names[account.Name] {
			document.report("clientAccounts.name", fmt.Sprintf("%q stands twice: each must be unique", account.Name))
		}
		if keys[account.Key] {
			document.report("clientAccounts.key", fmt.Sprintf("of account %q belongs to another account too: each must be unique", account.Name))
		}
		names[account.Name], keys[account.Key] = true, true
	}
}

func (form *entryForm) entry() *Entry {
	entry := &Entry{
		host:           form.Host,
		dataCentre:     form.DataCentre,
		callerListen:   form.Caller.Listen,
		maxInFlight:    form.Caller.MaxInFlight,
		operatorListen: form.Operator.Listen,
		operatorToken:  form.Operator.Token,
		nodeListen:     form.Node.Listen,
		fellows:        form.Node.Fellows,
		platform:       form.Platform.server(),
		cloud:          form.Cloud.server(),
		readyOff:       clock.Millis(form.Stop.ReadyOffMillis),
		grace:          clock.Millis(form.Stop.GraceMillis),
	}
	for _, account := range form.ClientAccounts {
		entry.accounts = append(entry.accounts, Account{name: account.Name, key: account.Key, maxInFlight: int(account.MaxInFlight)})
	}
	return entry
}

func (form serverForm) server() Server {
	return Server{address: form.Address, timeout: clock.Millis(form.TimeoutMillis)}
}
