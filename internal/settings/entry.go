package settings

import (
	"fmt"
	"os"
	"strings"

	"github.com/pkg/errors"

	"sapphirehead/internal/caller"
	"sapphirehead/internal/clock"
)

// megabyte is the unit of memory in the settings, in bytes.
const megabyte = 1 << 20

type callerForm struct {
	Listen      string   `toml:"listen" required:"true" format:"address" help:"address on which callers are served; port 0 selects a free port"`
	MaxInFlight int64    `toml:"maxInFlight" default:"4096" min:"1" max:"1000000" help:"maximum number of requests in flight at this node"`
	TLS         *tlsForm `toml:"tls"`
}

type operatorForm struct {
	Listen string      `toml:"listen" required:"true" format:"address" help:"address of the operators' API and of the metrics"`
	Token  string      `toml:"token" format:"secret" help:"short form of one token with the name operator and the role write"`
	Tokens []tokenForm `toml:"tokens"`
	TLS    *tlsForm    `toml:"tls"`
}

type tokenForm struct {
	Name      string `toml:"name" required:"true" example:"night-shift" help:"name of the operator in logs and in the history"`
	Role      string `toml:"role" default:"write" oneOf:"read write" help:"rights of the token; only write permits edits and drains"`
	Token     string `toml:"token" format:"secret" help:"the token; give either token or tokenHash"`
	TokenHash string `toml:"tokenHash" format:"hash" help:"hash of the token, instead of the token"`
}

type tlsForm struct {
	CertFile string `toml:"certFile" required:"true" format:"file" example:"/etc/sapphirehead/cert.pem" help:"certificate chain; reloaded when it changes"`
	KeyFile  string `toml:"keyFile" required:"true" format:"file" example:"/etc/sapphirehead/key.pem" help:"private key; reloaded when it changes"`
	CAFile   string `toml:"caFile" format:"file" example:"/etc/sapphirehead/ca.pem" help:"certificate authorities that must have signed the certificate of the other end; required for node"`
	PeerName string `toml:"peerName" example:"sapphire-node" help:"name for which a peer node's certificate must be valid, instead of its IP address"`
}

type nodeForm struct {
	Listen  string   `toml:"listen" required:"true" format:"address" help:"address on which peer nodes are served"`
	Fellows []string `toml:"fellows" format:"address" help:"peer nodes to contact first; gossip with them reports the others"`
	TLS     *tlsForm `toml:"tls"`
}

type serverForm struct {
	Address       string `toml:"address" required:"true" format:"address" help:"address of the server"`
	TimeoutMillis int64  `toml:"timeoutMillis" default:"1000" min:"1" max:"60000" help:"timeout of one call"`
}

type stopForm struct {
	ReadyOffMillis int64 `toml:"readyOffMillis" default:"2000" min:"1" max:"600000" help:"time between failing the load balancer's readiness checks and refusing new requests"`
	GraceMillis    int64 `toml:"graceMillis" default:"30000" min:"1" max:"600000" help:"time for requests in progress to finish"`
}

type accountForm struct {
	Name        string   `toml:"name" required:"true" example:"garage-north" help:"name of the client account in logs and reports"`
	Key         string   `toml:"key" format:"secret" help:"key of the account's callers"`
	KeyHash     string   `toml:"keyHash" format:"hash" help:"hash of the key, instead of the key"`
	Keys        []string `toml:"keys" format:"secret" help:"additional keys, valid at the same time, for rotation"`
	KeyHashes   []string `toml:"keyHashes" format:"hash" help:"hashes of additional keys"`
	MaxInFlight int64    `toml:"maxInFlight" default:"0" min:"0" max:"1000000" help:"maximum number of requests in flight at this node; 0 for no limit"`
}

type burnForm struct {
	ObjectivePercent float64 `toml:"objectivePercent" default:"95" min:"50" max:"99.99" help:"percentage of requests that must meet their route's targets"`
}

type logForm struct {
	Level string `toml:"level" default:"info" oneOf:"debug info warn error" help:"minimum level of log lines"`
}

type entryLimitsForm struct {
	MemoryMegabytes float64 `toml:"memoryMegabytes" default:"1024" min:"32" max:"1048576" help:"memory of the process, of which callers' connections, heads and bodies get shares"`
	Descriptors     int64   `toml:"descriptors" default:"16384" min:"256" max:"1048576" help:"maximum number of file descriptors of the process, of which callers' connections get 0.6"`
	HeadShare       float64 `toml:"headShare" default:"0.1" min:"0.05" max:"0.15" help:"share of the memory for the heads of callers' requests; what exceeds it closes the least useful connections"`
	SideConnections int64   `toml:"sideConnections" default:"32" min:"4" max:"1024" help:"maximum number of connections to the operators' address; a new one displaces the one that waits longest"`
	BodyRate        int64   `toml:"bodyRate" default:"16384" min:"0" max:"1073741824" help:"bytes per second that a caller must send of a body while others need its memory"`
}

type entryForm struct {
	Host           string          `toml:"host" required:"true" example:"entry-1" help:"name of this host, unique"`
	DataCentre     string          `toml:"dataCentre" required:"true" example:"lj-a" help:"data centre of this host"`
	Caller         callerForm      `toml:"caller"`
	Operator       operatorForm    `toml:"operator"`
	Node           nodeForm        `toml:"node"`
	Platform       serverForm      `toml:"platform"`
	Cloud          *serverForm     `toml:"cloud"`
	Stop           stopForm        `toml:"stop"`
	Limits         entryLimitsForm `toml:"limits"`
	Burn           burnForm        `toml:"burn"`
	Log            logForm         `toml:"log"`
	ClientAccounts []accountForm   `toml:"clientAccounts"`
}

// Server is the address of a server and the timeout of a call to it.
type Server struct {
	address string
	timeout clock.Millis
}

// Address returns the host and port, or an empty string if the server is not set.
func (server Server) Address() string { return server.address }

// Timeout returns the time that one call may take.
func (server Server) Timeout() clock.Millis { return server.timeout }

// Account is one client account. Only hashes of its keys are kept.
type Account struct {
	name        string
	keyHashes   []string
	maxInFlight int
}

// Name returns the name of the account.
func (account Account) Name() string { return account.name }

// KeyHashes returns the hashes of the keys of the account's callers, as
// caller.HashKey makes them.
func (account Account) KeyHashes() []string { return account.keyHashes }

// MaxInFlight returns the bound on requests in flight, or 0 for none.
func (account Account) MaxInFlight() int { return account.maxInFlight }

// Token is one operator's token. Only its hash is kept.
type Token struct {
	name     string
	hash     string
	mayWrite bool
}

// Name returns the name of the operator.
func (token Token) Name() string { return token.name }

// Hash returns the token's hash, as caller.HashKey makes it.
func (token Token) Hash() string { return token.hash }

// MayWrite reports whether the operator may send edits and drains.
func (token Token) MayWrite() bool { return token.mayWrite }

// FindToken returns the token that matches the one given by a call.
func FindToken(tokens []Token, given string) (Token, bool) {
	hash := caller.HashKey(given)
	for _, token := range tokens {
		if token.hash == hash {
			return token, true
		}
	}
	return Token{}, false
}

// TLS holds the paths of the files for one listener or client.
type TLS struct {
	certFile string
	keyFile  string
	caFile   string
	peerName string
}

// CertFile returns the path of the certificate chain.
func (tls *TLS) CertFile() string { return tls.certFile }

// KeyFile returns the path of the private key.
func (tls *TLS) KeyFile() string { return tls.keyFile }

// CAFile returns the path of the authorities that must have signed the certificate of
// the other end, or an empty string.
func (tls *TLS) CAFile() string { return tls.caFile }

// PeerName returns the name that a peer node's certificate must have, or an empty
// string for its IP address.
func (tls *TLS) PeerName() string { return tls.peerName }

// HostLimits bound what callers and operators may make a process on an entry host hold.
type HostLimits struct {
	memoryBytes     int64
	descriptors     int
	headShare       float64
	sideConnections int
	bodyRate        int64
}

// MemoryBytes returns the memory of the process.
func (hostLimits HostLimits) MemoryBytes() int64 { return hostLimits.memoryBytes }

// Descriptors returns how many file descriptors the process may have.
func (hostLimits HostLimits) Descriptors() int { return hostLimits.descriptors }

// HeadShare returns the share of the memory for the heads of callers' requests.
func (hostLimits HostLimits) HeadShare() float64 { return hostLimits.headShare }

// SideConnections returns the number of connections to the operators' address.
func (hostLimits HostLimits) SideConnections() int { return hostLimits.sideConnections }

// BodyRate returns the bytes per second that a caller must send of a body while others
// need its memory.
func (hostLimits HostLimits) BodyRate() int64 { return hostLimits.bodyRate }

// Entry is the settings of sapphire-entry.
type Entry struct {
	host           string
	dataCentre     string
	callerListen   string
	maxInFlight    int64
	operatorListen string
	operatorTokens []Token
	callerTLS      *TLS
	operatorTLS    *TLS
	nodeTLS        *TLS
	objective      float64
	logLevel       string
	nodeListen     string
	peers          []string
	platform       Server
	cloud          Server
	readyOff       clock.Millis
	grace          clock.Millis
	accounts       []Account
	limits         HostLimits
}

// Limits returns the limits of the process.
func (entry *Entry) Limits() HostLimits { return entry.limits }

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

// OperatorTokens returns the operators' tokens.
func (entry *Entry) OperatorTokens() []Token { return entry.operatorTokens }

// CallerTLS returns the files for callers, or nil for plain HTTP.
func (entry *Entry) CallerTLS() *TLS { return entry.callerTLS }

// OperatorTLS returns the files for operators, or nil for plain HTTP.
func (entry *Entry) OperatorTLS() *TLS { return entry.operatorTLS }

// NodeTLS returns the files for links between nodes, or nil for plain TCP.
func (entry *Entry) NodeTLS() *TLS { return entry.nodeTLS }

// Objective returns the share of requests, from 0 to 1, that must keep their
// route's targets.
func (entry *Entry) Objective() float64 { return entry.objective }

// LogLevel returns the minimum level of log lines.
func (entry *Entry) LogLevel() string { return entry.logLevel }

// NodeListen returns the address on which peer nodes are served.
func (entry *Entry) NodeListen() string { return entry.nodeListen }

// Peers returns the addresses of the peer nodes to contact first.
func (entry *Entry) Peers() []string { return entry.peers }

// Platform returns the platform's address.
func (entry *Entry) Platform() Server { return entry.platform }

// Cloud returns the cloud API's address, which may be empty.
func (entry *Entry) Cloud() Server { return entry.cloud }

// ReadyOff returns how long a stopping node still accepts requests after it has
// reported to the load balancer that it is not ready.
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

// ParseEntry parses and checks settings that were read from the named file.
func ParseEntry(file string, data []byte) (*Entry, error) {
	var form entryForm
	document := decode(file, data, &form)
	if err := document.err(); err != nil {
		return nil, err
	}
	form.check(document)
	if err := document.err(); err != nil {
		return nil, err
	}
	return form.entry(), nil
}

// Names of roles, and of the operator of a token in short form.
const (
	roleWrite       = "write"
	defaultOperator = "operator"
)

// percent is the scale of percentages.
const percent = 100

// check reports problems that involve several keys.
func (form *entryForm) check(document *document) {
	checkTokens(document, form.Operator.Token, form.Operator.Tokens)
	form.checkAccounts(document)
	if form.Node.TLS != nil && form.Node.TLS.CAFile == "" {
		document.report("node.tls.caFile", "missing: links between nodes need the certificate authorities of peer nodes")
	}
}

func checkTokens(document *document, shortToken string, tokens []tokenForm) {
	if shortToken == "" && len(tokens) == 0 {
		document.report("operator.tokens", "missing: give operator.token or at least one [[operator.tokens]]")
	}
	names, hashes := map[string]bool{}, map[string]bool{hashOf(shortToken, ""): shortToken != ""}
	for i, token := range tokens {
		key := fmt.Sprintf("operator.tokens[%d]", i)
		if (token.Token == "") == (token.TokenHash == "") {
			document.report(key+".token", fmt.Sprintf("of %q: give either token or tokenHash", token.Name))
			continue
		}
		hash := hashOf(token.Token, token.TokenHash)
		checkUnique(document, key, names, token.Name, hashes, hash)
	}
}

func (form *entryForm) checkAccounts(document *document) {
	names, hashes := map[string]bool{}, map[string]bool{}
	for i, account := range form.ClientAccounts {
		key := fmt.Sprintf("clientAccounts[%d]", i)
		secretHashes := account.hashes()
		if len(secretHashes) == 0 {
			document.report(key+".key", fmt.Sprintf("of account %q is missing: give key, keyHash, keys or keyHashes", account.Name))
		}
		checkUnique(document, key, names, account.Name, hashes, secretHashes...)
	}
}

// checkUnique reports a name or a hash of a secret that an earlier table of the
// array has.
func checkUnique(document *document, key string, names map[string]bool, name string, hashes map[string]bool, secretHashes ...string) {
	if names[name] {
		document.report(key+".name", fmt.Sprintf("%q appears twice: each must be unique", name))
	}
	names[name] = true
	for _, hash := range secretHashes {
		if hashes[hash] {
			document.report(key+".name", fmt.Sprintf("a secret of %q appears twice: each must be unique", name))
		}
		hashes[hash] = true
	}
}

func hashOf(secret, hash string) string {
	if hash != "" {
		return strings.ToLower(hash)
	}
	return caller.HashKey(secret)
}

func (form accountForm) hashes() []string {
	var hashes []string
	for _, secret := range append([]string{form.Key}, form.Keys...) {
		if secret != "" {
			hashes = append(hashes, hashOf(secret, ""))
		}
	}
	for _, hash := range append([]string{form.KeyHash}, form.KeyHashes...) {
		if hash != "" {
			hashes = append(hashes, hashOf("", hash))
		}
	}
	return hashes
}

func tokensOf(shortToken string, forms []tokenForm) []Token {
	var tokens []Token
	if shortToken != "" {
		tokens = append(tokens, Token{name: defaultOperator, hash: hashOf(shortToken, ""), mayWrite: true})
	}
	for _, token := range forms {
		tokens = append(tokens, Token{name: token.Name, hash: hashOf(token.Token, token.TokenHash), mayWrite: token.Role == roleWrite})
	}
	return tokens
}

func (form *tlsForm) tls() *TLS {
	if form == nil {
		return nil
	}
	return &TLS{certFile: form.CertFile, keyFile: form.KeyFile, caFile: form.CAFile, peerName: form.PeerName}
}

func (form *entryForm) entry() *Entry {
	entry := &Entry{
		host:           form.Host,
		dataCentre:     form.DataCentre,
		callerListen:   form.Caller.Listen,
		maxInFlight:    form.Caller.MaxInFlight,
		operatorListen: form.Operator.Listen,
		operatorTokens: tokensOf(form.Operator.Token, form.Operator.Tokens),
		callerTLS:      form.Caller.TLS.tls(),
		operatorTLS:    form.Operator.TLS.tls(),
		nodeTLS:        form.Node.TLS.tls(),
		nodeListen:     form.Node.Listen,
		peers:          form.Node.Fellows,
		platform:       form.Platform.server(),
		cloud:          form.Cloud.server(),
		readyOff:       clock.Millis(form.Stop.ReadyOffMillis),
		grace:          clock.Millis(form.Stop.GraceMillis),
		objective:      form.Burn.ObjectivePercent / percent,
		logLevel:       form.Log.Level,
		limits: HostLimits{
			memoryBytes: int64(form.Limits.MemoryMegabytes * megabyte), descriptors: int(form.Limits.Descriptors),
			headShare: form.Limits.HeadShare, sideConnections: int(form.Limits.SideConnections), bodyRate: form.Limits.BodyRate,
		},
	}
	for _, account := range form.ClientAccounts {
		entry.accounts = append(entry.accounts, Account{name: account.Name, keyHashes: account.hashes(), maxInFlight: int(account.MaxInFlight)})
	}
	return entry
}

func (form *serverForm) server() Server {
	if form == nil {
		return Server{}
	}
	return Server{address: form.Address, timeout: clock.Millis(form.TimeoutMillis)}
}
