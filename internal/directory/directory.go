// Package directory holds the active configuration of a node, indexed for the path
// of a request: routes by host name and path, client accounts by key, pools by
// name.
//
// A directory is immutable. Active publishes the newest one:
//
//	route, ok := active.Current().Route("desk.example", "/chat/today")
package directory

import (
	"slices"
	"strings"

	"sapphirehead/internal/caller"
	"sapphirehead/internal/pool"
	"sapphirehead/internal/route"
)

// Limits are the limits on a caller's requests.
type Limits struct {
	bodyBytes int
}

// NewLimits returns limits with the maximum size of a body in bytes. With 0 the
// configuration sets none, and a node's own maximum applies.
func NewLimits(bodyBytes int) Limits { return Limits{bodyBytes: bodyBytes} }

// BodyBytes returns the maximum size of a body in bytes, or 0 if the configuration sets
// none.
func (limits Limits) BodyBytes() int { return limits.bodyBytes }

// Directory is one version of the configuration.
type Directory struct {
	version  int64
	hosts    map[string][]route.Route
	routes   int
	accounts *caller.Accounts
	byName   map[string]*caller.Account
	pools    map[string]pool.Pool
	limits   Limits
}

// New returns a directory. Without accounts, requests need no key.
func New(version int64, routes []route.Route, pools []pool.Pool, accounts *caller.Accounts, limits Limits) *Directory {
	directory := &Directory{
		version: version, hosts: map[string][]route.Route{}, routes: len(routes),
		accounts: accounts, byName: map[string]*caller.Account{}, pools: map[string]pool.Pool{}, limits: limits,
	}
	for _, account := range directory.Accounts() {
		directory.byName[account.Name()] = account
	}
	for _, routeConfig := range routes {
		host := strings.ToLower(routeConfig.Host())
		directory.hosts[host] = append(directory.hosts[host], routeConfig)
	}
	for _, routeConfigs := range directory.hosts {
		slices.SortStableFunc(routeConfigs, func(a, b route.Route) int { return len(b.Path()) - len(a.Path()) })
	}
	for _, poolConfig := range pools {
		directory.pools[poolConfig.Name()] = poolConfig
	}
	return directory
}

// Version returns the version, which rises with each edit.
func (directory *Directory) Version() int64 { return directory.version }

// Size returns the number of routes.
func (directory *Directory) Size() int { return directory.routes }

// Route returns the route of the host name with the longest matching path prefix.
// A port in the host name is ignored.
func (directory *Directory) Route(host, path string) (route.Route, bool) {
	host, _, _ = strings.Cut(host, ":")
	for _, routeConfig := range directory.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, routeConfig.Path()) {
			return routeConfig, true
		}
	}
	return route.Route{}, false
}

// Routes returns every route, in no particular order.
func (directory *Directory) Routes() []route.Route {
	routes := make([]route.Route, 0, directory.routes)
	for _, routeConfigs := range directory.hosts {
		routes = append(routes, routeConfigs...)
	}
	return routes
}

// RouteNamed returns the route with the name.
func (directory *Directory) RouteNamed(name string) (route.Route, bool) {
	for _, routeConfig := range directory.Routes() {
		if routeConfig.Name() == name {
			return routeConfig, true
		}
	}
	return route.Route{}, false
}

// NeedsKey reports whether requests on routes that are not public need a key.
func (directory *Directory) NeedsKey() bool { return directory.accounts != nil }

// Account returns the client account of the key.
func (directory *Directory) Account(key string) (*caller.Account, bool) {
	if directory.accounts == nil {
		return nil, false
	}
	return directory.accounts.ByKey(key)
}

// AccountNamed returns the client account with the name.
func (directory *Directory) AccountNamed(name string) (*caller.Account, bool) {
	account, ok := directory.byName[name]
	return account, ok
}

// Accounts returns every client account in order of name.
func (directory *Directory) Accounts() []*caller.Account {
	if directory.accounts == nil {
		return nil
	}
	return directory.accounts.All()
}

// Pool returns the configuration of the pool.
func (directory *Directory) Pool(name string) (pool.Pool, bool) {
	poolConfig, ok := directory.pools[name]
	return poolConfig, ok
}

// Pools returns every pool in order of name.
func (directory *Directory) Pools() []pool.Pool {
	pools := make([]pool.Pool, 0, len(directory.pools))
	for _, poolConfig := range directory.pools {
		pools = append(pools, poolConfig)
	}
	slices.SortFunc(pools, func(a, b pool.Pool) int { return strings.Compare(a.Name(), b.Name()) })
	return pools
}

// Limits returns the limits on callers' requests.
func (directory *Directory) Limits() Limits { return directory.limits }
