package measure

import (
	"math/rand/v2"
	"slices"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/caller"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
	"sapphirehead/internal/route"
	"sapphirehead/internal/runner"
)

// decisions holds the decision functions of a policy at one node.
type decisions struct {
	admit          func(call *call) (release func(), err error)
	choose         func(call *call, exclude []string) (*backend.Server, bool)
	retry          func(call *call) bool
	priority       func(call *call) int
	firstToken     func(call *call, from *job)
	attemptEnded   func(call *call, server *backend.Server, cause request.Cause)
	cacheEvents    func(server *backend.Server, events []runner.CacheEvent)
	serversLeaving func(servers []*backend.Server, until clock.Millis)
	tick           func()
}

// Policy is a named set of decisions.
type Policy struct {
	name  string
	build func(node *node) decisions
}

// Name returns the policy's name in the tables.
func (policy Policy) Name() string { return policy.name }

// nodeInFlight bounds the requests in flight at one node.
const nodeInFlight = 4096

// baselineDecisions returns decisions that admit up to nodeInFlight requests,
// always retry, and choose servers with the function.
func baselineDecisions(node *node, choose func(call *call, exclude []string) (*backend.Server, bool)) decisions {
	admission := caller.NewAdmission(nodeInFlight)
	return decisions{
		admit:          func(call *call) (func(), error) { return admission.Admit(node.accounts[call.arrival.account]) },
		choose:         choose,
		retry:          func(*call) bool { return true },
		priority:       func(*call) int { return 0 },
		firstToken:     func(*call, *job) {},
		attemptEnded:   func(*call, *backend.Server, request.Cause) {},
		cacheEvents:    func(*backend.Server, []runner.CacheEvent) {},
		serversLeaving: func([]*backend.Server, clock.Millis) {},
		tick:           func() {},
	}
}

func nodeRandom(node *node) *rand.Rand {
	return rand.New(rand.NewPCG(node.run.random.Uint64(), 3))
}

// usableServers returns the servers of the call's pool that are neither leaving
// nor excluded.
func usableServers(node *node, call *call, exclude []string) []*backend.Server {
	var servers []*backend.Server
	for _, server := range node.fleet.Current().Pool(call.req.Route().Pool()) {
		if !server.Leaving() && !slices.Contains(exclude, server.ID()) {
			servers = append(servers, server)
		}
	}
	return servers
}

// lowestBy returns the server with the lowest value, or a random one of several.
func lowestBy(random *rand.Rand, servers []*backend.Server, value func(server *backend.Server) int) (*backend.Server, bool) {
	var best []*backend.Server
	lowest := 0
	for _, server := range servers {
		current := value(server)
		if len(best) == 0 || current < lowest {
			best, lowest = best[:0], current
		}
		if current == lowest {
			best = append(best, server)
		}
	}
	if len(best) == 0 {
		return nil, false
	}
	return best[random.IntN(len(best))], true
}

func lowestPolicy(name string, value func(server *backend.Server) int) Policy {
	return Policy{name: name, build: func(node *node) decisions {
		random := nodeRandom(node)
		return baselineDecisions(node, func(call *call, exclude []string) (*backend.Server, bool) {
			return lowestBy(random, usableServers(node, call, exclude), value)
		})
	}}
}

func reportedLoad(server *backend.Server) int {
	if load := server.Load(); load != nil {
		return load.Running() + load.Queued()
	}
	return 0
}

func roundRobin() Policy {
	return Policy{name: "round robin", build: func(node *node) decisions {
		next := map[string]int{}
		return baselineDecisions(node, func(call *call, exclude []string) (*backend.Server, bool) {
			servers := usableServers(node, call, exclude)
			if len(servers) == 0 {
				return nil, false
			}
			pool := call.req.Route().Pool()
			next[pool]++
			return servers[next[pool]%len(servers)], true
		})
	}}
}

// prefixAffinity returns the policy that chooses the server with the longest cached
// prefix of the prompt, or a random one of several.
func prefixAffinity() Policy {
	return Policy{name: "prefix affinity", build: func(node *node) decisions {
		random := nodeRandom(node)
		index := runner.NewIndex(runner.DefaultIndexSets)
		decisions := baselineDecisions(node, func(call *call, exclude []string) (*backend.Server, bool) {
			chosen, ok := lowestBy(random, usableServers(node, call, exclude), func(server *backend.Server) int {
				return -index.Cached(server, call.chain)
			})
			if ok {
				index.Record(chosen, call.chain)
			}
			return chosen, ok
		})
		decisions.priority = func(call *call) int { return call.req.Priority() }
		decisions.cacheEvents = index.Apply
		return decisions
	}}
}

// leastKnownWork returns the policy that chooses the server with the least known
// work, in the node's own data centre first, without estimates.
func leastKnownWork() Policy {
	return Policy{name: "least known work", build: func(node *node) decisions {
		chooser := runner.NewChooser(node.fleet, node.dataCentre, nodeRandom(node).IntN)
		return baselineDecisions(node, func(call *call, exclude []string) (*backend.Server, bool) {
			return chooser.Choose(call.req.Route().Pool(), exclude)
		})
	}}
}

// entryHostPolicy returns the policy of the entry hosts.
func entryHostPolicy() Policy {
	return Policy{name: "ours", build: func(node *node) decisions {
		random := nodeRandom(node)
		index := runner.NewIndex(runner.DefaultIndexSets)
		distance := func(server *backend.Server) float64 { return 2 * node.latency(server.DataCentre()).millis() }
		slots := func(string) int { return engineSlots }
		placer := runner.NewPlacer(node.run.clock, node.fleet, index, node.name, distance, slots, random.IntN)
		chooser := runner.NewChooser(node.fleet, node.dataCentre, random.IntN)
		admission := caller.NewAdmission(nodeInFlight)
		decisions := baselineDecisions(node, func(call *call, exclude []string) (*backend.Server, bool) {
			if call.req.Route().Kind() == route.KindService {
				return chooser.Choose(call.req.Route().Pool(), exclude)
			}
			estimate, ok := placer.Place(call.req, call.chain, call.offset(), exclude)
			call.estimate = estimate
			return estimate.Server(), ok
		})
		gate := caller.NewGate(random.Float64)
		budget := backend.NewRetryBudget()
		decisions.admit = func(call *call) (func(), error) {
			if call.req.Route().Kind() == route.KindChat {
				estimate, _ := placer.EstimateBest(call.req, call.chain)
				cost := estimate.PrefillMillis() + float64(call.req.Prompt().MaxTokens())*estimate.Server().Speed().InterTokenMillis()
				offer := caller.NewOffer(node.accounts[call.arrival.account], call.req.Route(), estimate.FirstToken(), estimate.ShortestQueue(), cost)
				if err := gate.Admit(offer); err != nil {
					return nil, err
				}
			}
			return admission.Admit(node.accounts[call.arrival.account])
		}
		decisions.serversLeaving = func(servers []*backend.Server, until clock.Millis) { moveStreams(node, servers, until, moveRounds) }
		decisions.tick = func() {
			gate.Tick()
			caller.UpdateFairness(node.accounts)
		}
		decisions.priority = func(call *call) int { return call.req.Priority() }
		decisions.cacheEvents = index.Apply
		decisions.retry = func(*call) bool { return budget.Take() }
		decisions.attemptEnded = func(call *call, server *backend.Server, cause request.Cause) {
			recordEnd(node, budget, call, server, cause)
		}
		return decisions
	}}
}

func recordEnd(node *node, budget *backend.RetryBudget, call *call, server *backend.Server, cause request.Cause) {
	now := node.run.clock.Now()
	switch {
	case cause != 0 && server.Leaving():
		budget.Refund()
		return
	case cause != 0:
		server.Circuit().Failed(now)
		return
	}
	server.Circuit().Succeeded(now)
	budget.Succeeded()
	if call.firstToken > 0 {
		server.Speed().Observe(clock.Millis((call.lastToken-call.firstToken)/microsPerMilli), call.arrival.responseTokens-1)
	}
}

// Policies returns the policy of the entry hosts, the policy without estimates, and
// the baselines. With names, it returns only the named ones and the random
// baseline, to which the weighted measures are relative.
func Policies(names ...string) []Policy {
	all := append([]Policy{entryHostPolicy(), leastKnownWork()}, Baselines()...)
	if len(names) == 0 {
		return all
	}
	return slices.DeleteFunc(all, func(policy Policy) bool {
		return policy.name != baselineName && !slices.Contains(names, policy.name)
	})
}

// Baselines returns the common policies with which that of the entry hosts is
// compared.
func Baselines() []Policy {
	return []Policy{
		lowestPolicy("random", func(*backend.Server) int { return 0 }),
		roundRobin(),
		lowestPolicy("least reported load", reportedLoad),
		lowestPolicy("least own in flight", func(server *backend.Server) int { return int(server.InFlight()) }),
		prefixAffinity(),
	}
}
