// Package placementhttp describes the messages of GET /where: where a request would go now,
// and why.
package placementhttp

import (
	"net/url"
	"slices"

	"github.com/pkg/errors"
)

// Path is the path of the query at a node's metrics address.
const Path = "/where"

// The parameters of a query.
const (
	parameterRoute   = "route"
	parameterHost    = "host"
	parameterPath    = "path"
	parameterAccount = "account"
	parameterParts   = "parts"
	parameterTokens  = "tokens"
	parameterVersion = "softwareVersion"
)

// Query describes a request.
type Query struct {
	// Route names the route, unless Host and Path do.
	Route string
	Host  string
	Path  string
	// Account is the name of the client account.
	Account string
	// Parts and Tokens are the prompt parts and the token counts as in a request's headers.
	Parts  string
	Tokens string
	// SoftwareVersion is that of the server which began the stream that the request takes up.
	SoftwareVersion string
}

// fields returns the fields by parameter.
func (query *Query) fields() map[string]*string {
	return map[string]*string{
		parameterRoute: &query.Route, parameterHost: &query.Host, parameterPath: &query.Path, parameterAccount: &query.Account,
		parameterParts: &query.Parts, parameterTokens: &query.Tokens, parameterVersion: &query.SoftwareVersion,
	}
}

// Encode returns the query in the form of a URL.
func (query Query) Encode() string {
	values := url.Values{}
	for name, field := range query.fields() {
		if *field != "" {
			values.Set(name, *field)
		}
	}
	return values.Encode()
}

// DecodeQuery reads a query in the form of a URL.
func DecodeQuery(text string) (Query, error) {
	values, err := url.ParseQuery(text)
	if err != nil {
		return Query{}, errors.Wrap(err, "the query can't be decoded")
	}
	var query Query
	fields := query.fields()
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		field, ok := fields[name]
		switch {
		case !ok:
			return Query{}, errors.Errorf("the query has the unknown parameter %q", name)
		case len(values[name]) != 1:
			return Query{}, errors.Errorf("the query has the parameter %q more than once", name)
		}
		*field = values[name][0]
	}
	return query, query.Check()
}

// Check returns an error unless the query names a route, or a host and a path.
func (query Query) Check() error {
	if (query.Host == "") != (query.Path == "") || (query.Route == "") == (query.Host == "") {
		return errors.New("the query needs either a route or a host and a path")
	}
	return nil
}

// The bounds that refuse a request.
const (
	BoundConfiguration = "noConfiguration"
	BoundRoute         = "unknownRoute"
	BoundAccount       = "unknownAccount"
	BoundStopping      = "stopping"
	BoundAllotment     = "allotment"
	BoundQuarantine    = "quarantine"
	BoundNoServer      = "noServer"
	BoundLimit         = "serverLimit"
	BoundLateness      = "lateness"
)

// Answer is the answer to a query: where the described request would go now.
type Answer struct {
	Host          string     `json:"host"`
	Configuration int64      `json:"configuration"`
	Route         string     `json:"route,omitempty"`
	Pool          string     `json:"pool,omitempty"`
	Account       string     `json:"account,omitempty"`
	Rank          int        `json:"rank"`
	Admitted      bool       `json:"admitted"`
	Bound         string     `json:"bound,omitempty"`
	Reason        string     `json:"reason,omitempty"`
	RetryMillis   int64      `json:"retryAfterMillis,omitempty"`
	Allotment     *Allotment `json:"allotment,omitempty"`
	Lateness      *Lateness  `json:"lateness,omitempty"`
	PartHashes    []string   `json:"partHashes,omitempty"`
	Candidates    []Server   `json:"candidates"`
	LeftOut       []Server   `json:"leftOut"`
}

// Allotment holds the figures of the account's allotment at the node, in tokens.
type Allotment struct {
	Cost   int     `json:"cost"`
	Level  float64 `json:"level"`
	Needed float64 `json:"needed"`
}

// Lateness holds the figures by which a request is refused as late, in milliseconds.
type Lateness struct {
	Expected float64 `json:"expectedMillis"`
	Deadline float64 `json:"deadlineMillis"`
	Queue    float64 `json:"queueMillis"`
	MinQueue float64 `json:"minQueueMillis"`
}

// Server is a server of the pool. The estimates are missing if the server was left
// out before they were made.
type Server struct {
	ID              string    `json:"backendServer"`
	DataCentre      string    `json:"dataCentre"`
	SoftwareVersion string    `json:"softwareVersion,omitempty"`
	LeftOut         string    `json:"leftOut,omitempty"`
	LimitWait       int64     `json:"limitWaitMillis,omitempty"`
	Circuit         string    `json:"circuit"`
	Estimate        *Estimate `json:"estimate,omitempty"`
	Reported        *Report   `json:"reported,omitempty"`
	InFlight        int64     `json:"ownInFlight"`
	PeerInFlight    int64     `json:"peerInFlight"`
	Pending         int64     `json:"ownPendingTokens"`
	PeerPending     int64     `json:"peerPendingTokens"`
	PeersAge        int64     `json:"peersAgeMillis"`
	Slowdown        *Slowdown `json:"slowdown,omitempty"`
	NamedLimit      float64   `json:"limitPerSecond,omitempty"`
}

// Estimate holds what a request is expected to cost at a server.
type Estimate struct {
	Expected       float64 `json:"expectedMillis"`
	Cost           float64 `json:"costMillis"`
	Preferred      bool    `json:"preferred"`
	CachedShare    float64 `json:"cachedShare"`
	UncachedTokens int     `json:"uncachedTokens"`
	Rate           float64 `json:"serverRate"`
}

// Report is the load that a server reported.
type Report struct {
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	Age     int64 `json:"ageMillis"`
}

// Slowdown is how long work takes at a server in relation to the usual time, as reported.
type Slowdown struct {
	Factor float64 `json:"factor"`
	Age    int64   `json:"ageMillis"`
}

// Problem is the response to a query that is not valid.
type Problem struct {
	Type   string `json:"type"`
	Reason string `json:"reason"`
}
