package settings

import (
	"os"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
)

type edgeCallerForm struct {
	Listen      string `toml:"listen" required:"true" format:"address" help:"address on which callers are served"`
	ReadyListen string `toml:"readyListen" required:"true" format:"address" help:"address of the load balancer's readiness checks"`
}

type edgeNodeForm struct {
	Listen string `toml:"listen" required:"true" format:"address" help:"UDP address that receives gossip from peer nodes"`
}

type edgeMetricsForm struct {
	Listen string `toml:"listen" required:"true" format:"address" help:"address on which metrics are served"`
}

type edgePlatformForm struct {
	Address       string `toml:"address" required:"true" format:"address" help:"address of the platform's store"`
	TimeoutMillis int64  `toml:"timeoutMillis" default:"600" min:"1" max:"60000" help:"timeout of one call, excluding the wait of a watch"`
}

type edgeLimitsForm struct {
	MemoryMegabytes float64 `toml:"memoryMegabytes" default:"256" min:"32" max:"1048576" help:"memory at which the process is killed"`
	Descriptors     int64   `toml:"descriptors" default:"4096" min:"256" max:"1048576" help:"maximum number of file descriptors of the process"`
	HeadShare       float64 `toml:"headShare" default:"0.1" min:"0.05" max:"0.15" help:"share of the memory for the heads of callers' requests, beyond 64 KiB of each; what exceeds it closes the least useful connections"`
	SideConnections int64   `toml:"sideConnections" default:"32" min:"4" max:"1024" help:"maximum number of connections to each of the readiness and metrics addresses; a new one displaces the one that waits longest, and at most 2 in 100 of the descriptors are used"`
	BodyRate        int64   `toml:"bodyRate" default:"16384" min:"0" max:"1073741824" help:"bytes per second that a caller must send of a body while others need its memory"`
}

type edgeAdmissionForm struct {
	ByAccount bool `toml:"byAccount" help:"whether the capacity of an overloaded pool is divided among client accounts, over all nodes; otherwise requests are refused by their expected first event alone"`
}

type boundsForm struct {
	DrainMillis         int64   `toml:"drainMillis" default:"2000" min:"100" max:"600000" help:"time within which a leaving backend server gets no more requests"`
	ConfigurationMillis int64   `toml:"configurationMillis" default:"2000" min:"100" max:"600000" help:"time within which a new configuration is in force on every node"`
	GraceSeconds        float64 `toml:"graceSeconds" default:"8" min:"0.5" max:"3600" help:"time between the stop signal and the kill"`
	RetryShare          float64 `toml:"retryShare" default:"0.2" min:"0" max:"10" help:"retries allowed for each request of a pool, over all nodes"`
	RetryWindowSeconds  float64 `toml:"retryWindowSeconds" default:"10" min:"0.1" max:"3600" help:"window over which retries are counted"`
	RetrySlack          float64 `toml:"retrySlack" default:"20" min:"0" max:"1000000" help:"retries allowed in each window in addition to retryShare, over all nodes"`
	QuotaOvershoot      float64 `toml:"quotaOvershoot" default:"0.1" min:"0" max:"10" help:"share by which a client account may exceed its allotment"`
	QuotaSlack          float64 `toml:"quotaSlack" default:"0" min:"0" max:"1000000000" help:"amount by which a client account may exceed its allotment in addition to quotaOvershoot"`
	LeaseMillis         int64   `toml:"leaseMillis" default:"3000" min:"500" max:"600000" help:"time within which the leader tasks must not move to another node and back"`
	UsageWindowSeconds  float64 `toml:"usageWindowSeconds" default:"5" min:"0.1" max:"86400" help:"window of one usage report"`
	UsageLateSeconds    float64 `toml:"usageLateSeconds" default:"10" min:"0.1" max:"86400" help:"time after a window's end at which its report is due"`
	ExposureShare       float64 `toml:"exposureShare" default:"0" min:"0" max:"1" help:"share of a pool's requests that a software version being rolled out may get until it is promoted; 0 turns rollouts off"`
	ExposureSlack       float64 `toml:"exposureSlack" default:"0" min:"0" max:"1000000" help:"requests that a bad software version may get in addition to exposureShare, over all nodes"`
	RollbackMillis      int64   `toml:"rollbackMillis" default:"0" min:"0" max:"600000" help:"time after its 50th bad answer within which a software version gets no more requests"`
}

type placementForm struct {
	LongPromptShare float64 `toml:"longPromptShare" default:"0" min:"0" max:"10" help:"share of the tightest target of a pool's routes from which on the prefill of a prompt counts as long; long prompts are then kept apart from others where possible, 0 for never"`
}

type edgeForm struct {
	Host       string            `toml:"host" required:"true" example:"edge-1" help:"name of this host, unique"`
	DataCentre string            `toml:"dataCentre" required:"true" example:"lj-a" help:"data centre of this host"`
	Caller     edgeCallerForm    `toml:"caller"`
	Node       edgeNodeForm      `toml:"node"`
	Metrics    edgeMetricsForm   `toml:"metrics"`
	Platform   edgePlatformForm  `toml:"platform"`
	Cloud      *serverForm       `toml:"cloud"`
	Limits     edgeLimitsForm    `toml:"limits"`
	Admission  edgeAdmissionForm `toml:"admission"`
	Bounds     boundsForm        `toml:"bounds"`
	Placement  placementForm     `toml:"placement"`
	Log        logForm           `toml:"log"`
}

// Bounds are the limits in time and amount that the operators of a deployment
// guarantee to its users.
type Bounds struct {
	drain         clock.Millis
	configuration clock.Millis
	grace         clock.Millis
	retryShare    float64
	retryWindow   clock.Millis
	retrySlack    float64
	overshoot     float64
	quotaSlack    float64
	lease         clock.Millis
	usageWindow   clock.Millis
	usageLate     clock.Millis
	exposureShare float64
	exposureSlack float64
	rollback      clock.Millis
}

// Drain returns the time within which a leaving server gets no more requests.
func (bounds Bounds) Drain() clock.Millis { return bounds.drain }

// Configuration returns the time within which a new configuration is in force on
// every node.
func (bounds Bounds) Configuration() clock.Millis { return bounds.configuration }

// Grace returns the time between the signal to stop and the kill.
func (bounds Bounds) Grace() clock.Millis { return bounds.grace }

// RetryShare returns the ratio of retries to requests that is allowed in a pool,
// over all nodes.
func (bounds Bounds) RetryShare() float64 { return bounds.retryShare }

// RetryWindow returns the window over which retries are counted.
func (bounds Bounds) RetryWindow() clock.Millis { return bounds.retryWindow }

// RetrySlack returns the number of retries allowed in each window in addition to
// RetryShare.
func (bounds Bounds) RetrySlack() float64 { return bounds.retrySlack }

// QuotaOvershoot returns the share by which an account may exceed its allotment.
func (bounds Bounds) QuotaOvershoot() float64 { return bounds.overshoot }

// QuotaSlack returns the amount by which an account may exceed its allotment in
// addition to QuotaOvershoot.
func (bounds Bounds) QuotaSlack() float64 { return bounds.quotaSlack }

// Lease returns the time within which the leader tasks must not move to another
// node and back.
func (bounds Bounds) Lease() clock.Millis { return bounds.lease }

// UsageWindow returns the window of one usage report.
func (bounds Bounds) UsageWindow() clock.Millis { return bounds.usageWindow }

// UsageLate returns the time after a window's end at which its report is due.
func (bounds Bounds) UsageLate() clock.Millis { return bounds.usageLate }

// ExposureShare returns the share of a pool's requests that a software version being
// rolled out may get until it is promoted, or 0 if rollouts are off.
func (bounds Bounds) ExposureShare() float64 { return bounds.exposureShare }

// ExposureSlack returns the number of requests that a bad software version may get in
// addition to ExposureShare, over all nodes.
func (bounds Bounds) ExposureSlack() float64 { return bounds.exposureSlack }

// Rollback returns the time after its 50th bad answer within which a software version
// gets no more requests.
func (bounds Bounds) Rollback() clock.Millis { return bounds.rollback }

// Edge is the settings of sapphire-edge.
type Edge struct {
	host          string
	dataCentre    string
	callerListen  string
	readyListen   string
	nodeListen    string
	metricsListen string
	platform      Server
	cloud         Server
	memoryBytes   int64
	descriptors   int
	headShare     float64
	sideConns     int
	bodyRate      int64
	bounds        Bounds
	logLevel      string
	// admissionByAccount is set if the capacity of an overloaded pool is divided among
	// client accounts.
	admissionByAccount bool
	// longPromptShare is that of the form.
	longPromptShare float64
}

// Host returns the name of this host.
func (edge *Edge) Host() string { return edge.host }

// DataCentre returns the data centre of this host.
func (edge *Edge) DataCentre() string { return edge.dataCentre }

// CallerListen returns the address on which callers are served.
func (edge *Edge) CallerListen() string { return edge.callerListen }

// ReadyListen returns the address of the load balancer's readiness checks.
func (edge *Edge) ReadyListen() string { return edge.readyListen }

// NodeListen returns the UDP address that receives gossip from peer nodes.
func (edge *Edge) NodeListen() string { return edge.nodeListen }

// MetricsListen returns the address on which metrics are served.
func (edge *Edge) MetricsListen() string { return edge.metricsListen }

// Platform returns the address of the platform's store.
func (edge *Edge) Platform() Server { return edge.platform }

// Cloud returns the cloud API, with an empty address if there is none.
func (edge *Edge) Cloud() Server { return edge.cloud }

// MemoryBytes returns the memory at which the process is killed.
func (edge *Edge) MemoryBytes() int64 { return edge.memoryBytes }

// Descriptors returns how many file descriptors the process may have.
func (edge *Edge) Descriptors() int { return edge.descriptors }

// HeadShare returns the share of the memory for the heads of callers' requests.
func (edge *Edge) HeadShare() float64 { return edge.headShare }

// SideConnections returns the number of connections to each of the readiness and metrics
// addresses.
func (edge *Edge) SideConnections() int { return edge.sideConns }

// BodyRate returns the bytes per second that a caller must send of a body while others
// need its memory.
func (edge *Edge) BodyRate() int64 { return edge.bodyRate }

// Bounds returns the bounds that the operators guarantee.
func (edge *Edge) Bounds() Bounds { return edge.bounds }

// AdmissionByAccount reports whether the capacity of an overloaded pool is divided among
// client accounts.
func (edge *Edge) AdmissionByAccount() bool { return edge.admissionByAccount }

// LongPromptShare returns the share of the tightest target of a pool's routes from which on
// the prefill of a prompt counts as long, or 0 if long prompts are placed like others.
func (edge *Edge) LongPromptShare() float64 { return edge.longPromptShare }

// LogLevel returns the minimum level of log lines.
func (edge *Edge) LogLevel() string { return edge.logLevel }

// LoadEdge reads and checks the file. Errors: *Error.
func LoadEdge(file string) (*Edge, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return ParseEdge(file, data)
}

// ParseEdge parses and checks settings that were read from the named file.
func ParseEdge(file string, data []byte) (*Edge, error) {
	var form edgeForm
	document := decode(file, data, &form)
	if err := document.err(); err != nil {
		return nil, err
	}
	return form.edge(), nil
}

func (form *edgeForm) edge() *Edge {
	edge := &Edge{
		host:          form.Host,
		dataCentre:    form.DataCentre,
		callerListen:  form.Caller.Listen,
		readyListen:   form.Caller.ReadyListen,
		nodeListen:    form.Node.Listen,
		metricsListen: form.Metrics.Listen,
		platform:      Server{address: form.Platform.Address, timeout: clock.Millis(form.Platform.TimeoutMillis)},
		memoryBytes:   int64(form.Limits.MemoryMegabytes * megabyte),
		descriptors:   int(form.Limits.Descriptors),
		headShare:     form.Limits.HeadShare,
		sideConns:     int(form.Limits.SideConnections),
		bodyRate:      form.Limits.BodyRate,
		bounds:        form.Bounds.bounds(),
		logLevel:      form.Log.Level,

		admissionByAccount: form.Admission.ByAccount,
		longPromptShare:    form.Placement.LongPromptShare,
	}
	if form.Cloud != nil {
		edge.cloud = form.Cloud.server()
	}
	return edge
}

func (form *boundsForm) bounds() Bounds {
	return Bounds{
		drain:         clock.Millis(form.DrainMillis),
		configuration: clock.Millis(form.ConfigurationMillis),
		grace:         fromSeconds(form.GraceSeconds),
		retryShare:    form.RetryShare,
		retryWindow:   fromSeconds(form.RetryWindowSeconds),
		retrySlack:    form.RetrySlack,
		overshoot:     form.QuotaOvershoot,
		quotaSlack:    form.QuotaSlack,
		lease:         clock.Millis(form.LeaseMillis),
		usageWindow:   fromSeconds(form.UsageWindowSeconds),
		usageLate:     fromSeconds(form.UsageLateSeconds),
		exposureShare: form.ExposureShare,
		exposureSlack: form.ExposureSlack,
		rollback:      clock.Millis(form.RollbackMillis),
	}
}

func fromSeconds(seconds float64) clock.Millis {
	return clock.Millis(seconds * float64(clock.Second))
}
