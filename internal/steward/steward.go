// Package steward assembles the control of the fleet on one entry host. Every
// entry host runs one; a lease for each pool and data centre decides which of
// them acts, so no host is set aside. The death of a steward cuts no request.
package steward

import (
	"context"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/cloud"
	"sapphirehead/internal/cloud/cloudhttp"
	"sapphirehead/internal/logging"
	"sapphirehead/internal/platform"
	"sapphirehead/internal/platform/platformhttp"
	"sapphirehead/internal/pool"
	"sapphirehead/internal/runner"
	"sapphirehead/internal/runner/runnerhttp"
	"sapphirehead/internal/settings"
	"sapphirehead/internal/weightstore/weightstorehttp"
)

// Times of the control of one runner.
const (
	connectTimeout = 500 * clock.Millisecond
	// orderTimeout is the longest that an order may be under way. A lease must
	// be held for longer when the order is sent.
	orderTimeout = 2 * clock.Second
)

// Steward controls the pools whose leases it holds.
type Steward struct {
	settings *settings.Steward
	clock    *clock.Clock
	log      zerolog.Logger
	platform *platformhttp.Client
	store    *platform.Store
	cloud    *cloudhttp.Client
	weights  *weightstorehttp.Client
	runners  *runnerhttp.Client
	leases   map[string]*platform.Lease
	serial   int
}

// New returns a steward that holds no lease.
func New(settings *settings.Steward, clock *clock.Clock, log zerolog.Logger) *Steward {
	client := platformhttp.New(settings.Platform().Address(), clock, settings.Platform().Timeout())
	return &Steward{
		settings: settings,
		clock:    clock,
		log:      log,
		platform: client,
		store:    client.Store(),
		cloud:    cloudhttp.New(settings.Cloud().Address(), clock, settings.Cloud().Timeout()),
		weights:  weightstorehttp.New(settings.WeightStore().Address(), clock, settings.WeightStore().Timeout()),
		runners:  runnerhttp.New(clock, connectTimeout),
		leases:   map[string]*platform.Lease{},
	}
}

// Run controls until the context ends.
func (steward *Steward) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := steward.round(ctx); err != nil && ctx.Err() == nil {
			steward.log.Warn().Err(err).Msg("round of control failed")
		}
		steward.clock.Wait(ctx, steward.settings.Round())
	}
}

func (steward *Steward) round(ctx context.Context) error {
	tables, _, err := platformhttp.LoadTables(ctx, steward.store)
	if err != nil {
		return err
	}
	hosts, err := steward.platform.Hosts(ctx)
	if err != nil {
		return err
	}
	for _, row := range tables.Pools() {
		if row.Kind() != pool.KindRunner {
			continue
		}
		if err := steward.controlPool(ctx, row, hosts); err != nil {
			return err
		}
	}
	return nil
}

func (steward *Steward) controlPool(ctx context.Context, row pool.Pool, hosts []backend.Listed) error {
	lease := steward.lease(row.Name() + "." + steward.settings.DataCentre())
	if err := steward.keep(ctx, lease); err != nil {
		return err
	}
	if !lease.Held(orderTimeout) {
		return nil
	}
	live := 0
	for _, listed := range hosts {
		server := listed.Server()
		if server.Pool() != row.Name() || listed.Leaving() {
			continue
		}
		live++
		if server.DataCentre() == steward.settings.DataCentre() {
			steward.correct(ctx, lease, row, server)
		}
	}
	if live < row.MinHosts() {
		return steward.start(ctx, lease, row)
	}
	return nil
}

func (steward *Steward) lease(name string) *platform.Lease {
	lease, ok := steward.leases[name]
	if !ok {
		lease = platform.NewLease(steward.clock, name, steward.settings.Host(), steward.settings.Lease())
		steward.leases[name] = lease
	}
	return lease
}

// keep observes the lease and takes or renews it if it may. A lost answer
// counts as not held.
func (steward *Steward) keep(ctx context.Context, lease *platform.Lease) error {
	object, err := steward.store.Get(ctx, platform.KindLeases, lease.Name())
	var missing *platform.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return err
	}
	ours := lease.Held(0) && object.Version() == lease.Fence()
	lease.Observe(object.Version())
	if !ours && !lease.MayTake() {
		lease.Lost()
		return nil
	}
	sentAt := steward.clock.Now()
	version, err := steward.store.Put(ctx, platform.KindLeases, lease.Name(), []byte(lease.Holder()), object.Version())
	if err != nil {
		lease.Lost()
		return err
	}
	lease.Taken(version, sentAt)
	return nil
}

// correct brings a runner into the condition that the pool wants.
func (steward *Steward) correct(ctx context.Context, lease *platform.Lease, row pool.Pool, server *backend.Server) {
	ctx, cancel := steward.clock.WithTimeout(ctx, orderTimeout)
	defer cancel()
	order := runner.NewOrder(lease.Fence(), row.Models(), runner.RoleServe)
	state, err := steward.runners.State(ctx, server)
	if err != nil || state.Fulfils(order) {
		return
	}
	for _, model := range row.Models() {
		if err := steward.weights.Reserve(ctx, model.Name(), model.Version()); err != nil {
			steward.log.Info().Err(err).Str(logging.FieldServer, server.ID()).Msg("load waits for the weight store")
			return
		}
	}
	if !lease.Held(orderTimeout) {
		return
	}
	err = steward.runners.Order(ctx, server, order)
	steward.log.Info().Err(err).Str(logging.FieldServer, server.ID()).Int64("fence", order.Fence()).Msg("order sent")
}

func (steward *Steward) start(ctx context.Context, lease *platform.Lease, row pool.Pool) error {
	if !lease.Held(orderTimeout) {
		return nil
	}
	steward.serial++
	parts := []string{steward.settings.Host(), row.Name(), strconv.FormatInt(lease.Fence(), 10), strconv.Itoa(steward.serial)}
	offer := cloud.NewOffer(steward.settings.DataCentre(), row.HostClass(), true, 0)
	host, err := steward.cloud.Start(ctx, offer, row.Name(), strings.Join(parts, "."))
	var refused *cloud.NoCapacityError
	if errors.As(err, &refused) {
		steward.log.Info().Err(err).Msg("host not started")
		return nil
	}
	if err != nil {
		return err
	}
	steward.log.Info().Str(logging.FieldServer, host.ID()).Str("pool", row.Name()).Msg("host started")
	return nil
}
