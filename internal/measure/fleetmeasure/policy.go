package fleetmeasure

import (
	"sapphirehead/internal/cloud"
)

// Policy is one way of renting hosts.
type Policy struct {
	name string
	plan func(run *run, need cloud.Need, offers []cloud.Offer, hosts []cloud.Host) []cloud.Plan
}

// Name returns the name of the policy.
func (policy Policy) Name() string { return policy.name }

// Policies returns the steward's plan and what it is compared with.
func Policies() []Policy {
	return []Policy{
		{name: "our plan", plan: func(run *run, need cloud.Need, offers []cloud.Offer, hosts []cloud.Host) []cloud.Plan {
			blocked := func(kind cloud.Kind) bool { return run.backoff.Blocked(kind) || run.risk.Wave(kind) }
			return []cloud.Plan{cloud.NewPlanner(run.risk.Price, blocked).Plan(need, offers, hosts)}
		}},
		{name: "on demand only", plan: func(run *run, need cloud.Need, offers []cloud.Offer, hosts []cloud.Host) []cloud.Plan {
			return []cloud.Plan{run.plain(need, need.Target(), keep(offers, func(offer cloud.Offer) bool { return !offer.Reclaimable() }), hosts)}
		}},
		{name: "one data centre", plan: func(run *run, need cloud.Need, offers []cloud.Offer, hosts []cloud.Host) []cloud.Plan {
			home := run.world.deployment.dataCentres[1]
			return []cloud.Plan{run.plain(need, 0, keep(offers, func(offer cloud.Offer) bool {
				return offer.Reclaimable() && offer.DataCentre() == home
			}), hosts)}
		}},
		{name: "even spread", plan: func(run *run, need cloud.Need, offers []cloud.Offer, hosts []cloud.Host) []cloud.Plan {
			var plans []cloud.Plan
			centres := run.world.deployment.dataCentres
			for _, name := range centres {
				part := cloud.NewNeed((need.Target()+len(centres)-1)/len(centres), 0, run.world.deployment.row.MaxHosts(), []string{hostClass})
				own := keep(offers, func(offer cloud.Offer) bool { return offer.Reclaimable() && offer.DataCentre() == name })
				var there []cloud.Host
				for _, host := range hosts {
					if host.Offer().DataCentre() == name {
						there = append(there, host)
					}
				}
				plans = append(plans, run.plain(part, 0, own, there))
			}
			return plans
		}},
		{name: "cheapest anywhere", plan: func(run *run, need cloud.Need, offers []cloud.Offer, hosts []cloud.Host) []cloud.Plan {
			return []cloud.Plan{run.plain(need, 0, keep(offers, cloud.Offer.Reclaimable), hosts)}
		}},
	}
}

// plain plans by price alone, with the same backoff after refusals.
func (run *run) plain(need cloud.Need, protected int, offers []cloud.Offer, hosts []cloud.Host) cloud.Plan {
	bare := cloud.NewNeed(need.Target(), protected, run.world.deployment.row.MaxHosts(), []string{hostClass})
	return cloud.NewPlanner(cloud.Offer.Price, run.backoff.Blocked).Plan(bare, offers, hosts)
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
