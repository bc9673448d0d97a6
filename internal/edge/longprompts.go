package edge

import (
	"sapphirehead/internal/clock"
	"sapphirehead/internal/directory"
	"sapphirehead/internal/placement"
)

// updateLongPrompts applies the settings and the configuration in force to the placement of
// long prompts.
func (edge *Edge) updateLongPrompts() {
	current, share := edge.directory.Current(), edge.settings.Load().LongPromptShare()
	if current == nil || share == 0 {
		edge.placement.SetLongPrompts(nil)
		return
	}
	edge.placement.SetLongPrompts(placement.NewLongPrompts(share, tightestTargets(current)))
}

// tightestTargets returns the least target for the first event of the streaming routes that
// use a pool, by pool.
func tightestTargets(current *directory.Directory) map[string]clock.Millis {
	targets := map[string]clock.Millis{}
	for _, routeConfig := range current.Routes() {
		target := routeConfig.FirstToken()
		if !routeConfig.Streaming() || target == 0 {
			continue
		}
		var pools []string
		if len(routeConfig.Shares()) == 0 {
			pools = []string{routeConfig.Pool()}
		}
		for _, share := range routeConfig.Shares() {
			pools = append(pools, share.Pool())
		}
		for _, name := range pools {
			if known, ok := targets[name]; !ok || target < known {
				targets[name] = target
			}
		}
	}
	return targets
}
