package fleetmeasure

import (
	"sapphirehead/internal/cloud"
)

// Policy is a policy for renting hosts.
type Policy struct {
	name string
	plan func(run *run, need cloud.Need, offers []cloud.Offer, hosts []cloud.Host) []cloud.Plan
}

// Name returns the name of the policy.
func (policy Policy) Name() string { return policy.name }

// Policies returns the steward's planner first, then the policies with which it
// is compared.
func Policies() []Policy {
	return []Policy{
		{name: "our plan", plan: func(run *run, need cloud.Need, offers []cloud.Offer, hosts []cloud.Host) []cloud.Plan {
			blocked := func(kind cloud.Kind) bool { return run.backoff.Blocked(kind) || run.risk.Wave(kind) }
			return []cloud.Plan{cloud.NewPlanner(run.risk.Price, blocked).Plan(need, offers, hosts)}
		}},
		{name: "on demand only", plan: func(run *run, need cloud.Need, offers []cloud.Offer, hosts []cloud.Host) []cloud.Plan {
			return []cloud.Plan{run.planByPrice(need, need.Target(), keep(offers, func(offer cloud.Offer) bool { return !offer.Reclaimable() }), hosts)}
		}},
		{name: "one data centre", plan: func(run *run, need cloud.Need, offers []cloud.Offer, hosts []cloud.Host) []cloud.Plan {
			dataCentre := run.scenario.deployment.dataCentres[1]
			return []cloud.Plan{run.planByPrice(need, 0, keep(offers, func(offer cloud.Offer) bool {
				return offer.Reclaimable() && offer.DataCentre() == dataCentre
			}), hosts)}
		}},
		{name: "even spread", plan: func(run *run, need cloud.Need, offers []cloud.Offer, hosts []cloud.Host) []cloud.Plan {
			var plans []cloud.Plan
			dataCentres := run.scenario.deployment.dataCentres
			for _, name := range dataCentres {
				part := cloud.NewNeed((need.Target()+len(dataCentres)-1)/len(dataCentres), 0, run.scenario.deployment.poolConfig.MaxHosts(), []string{hostClass})
				own := keep(offers, func(offer cloud.Offer) bool { return offer.Reclaimable() && offer.DataCentre() == name })
				var local []cloud.Host
				for _, host := range hosts {
					if host.Offer().DataCentre() == name {
						local = append(local, host)
					}
				}
				plans = append(plans, run.planByPrice(part, 0, own, local))
			}
			return plans
		}},
		{name: "cheapest anywhere", plan: func(run *run, need cloud.Need, offers []cloud.Offer, hosts []cloud.Host) []cloud.Plan {
			return []cloud.Plan{run.planByPrice(need, 0, keep(offers, cloud.Offer.Reclaimable), hosts)}
		}},
	}
}

// planByPrice plans by price alone, with the same backoff after refused starts.
func (run *run) planByPrice(need cloud.Need, protected int, offers []cloud.Offer, hosts []cloud.Host) cloud.Plan {
	poolNeed := cloud.NewNeed(need.Target(), protected, run.scenario.deployment.poolConfig.MaxHosts(), []string{hostClass})
	return cloud.NewPlanner(cloud.Offer.Price, run.backoff.Blocked).Plan(poolNeed, offers, hosts)
}

func keep(offers []cloud.Offer, wanted func(offer cloud.Offer) bool) []cloud.Offer {
	var kept []cloud.Offer
	for _, offer := range offers {
		if wanted(offer) {
			kept = append(kept, offer)
		}
	}
	return kept
}
