package caller

// unitProbe is a number of tokens that no allotment has as its default cost.
const unitProbe = 1 << 30

// CountsTokens reports whether the allotment is in tokens, and not in requests.
func (allotment Allotment) CountsTokens() bool { return allotment.Cost(unitProbe) == unitProbe }

// Weights returns the weight of each account, by name, in the division of a capacity that
// is too small: the rate of its allotment. An account without a limit has the highest
// weight. The weights are equal if allotments are in different units.
func Weights(accounts []*Account) map[string]float64 {
	weights := make(map[string]float64, len(accounts))
	highest, tokens, requests := 0.0, false, false
	for _, account := range accounts {
		rate := account.Allotment().PerSecond()
		highest = max(highest, rate)
		if rate > 0 {
			tokens = tokens || account.Allotment().CountsTokens()
			requests = requests || !account.Allotment().CountsTokens()
		}
	}
	for _, account := range accounts {
		rate := account.Allotment().PerSecond()
		switch {
		case highest == 0 || (tokens && requests):
			rate = 1
		case rate == 0:
			rate = highest
		}
		weights[account.Name()] = rate
	}
	return weights
}
