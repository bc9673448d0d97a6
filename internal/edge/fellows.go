package edge

// assumedNodes is the number of nodes of a deployment until fellow nodes are
// known.
const assumedNodes = 8

// nodes returns how many nodes share limits.
func (edge *Edge) nodes() int { return assumedNodes }

// refillShare returns the part of an account's rate that this node may use.
func (edge *Edge) refillShare() float64 { return 1 }
