package faultmatrix

// Step is a point of the scenario at which faults can be injected.
type Step int

// The steps, in the order in which the scenario arms them.
const (
	StepBoot Step = iota
	StepEdit
	StepSpread
	StepRenew
	StepOrder
	StepAccept
	StepClaim
	StepChoose
	StepConnect
	StepSend
	StepRecord
	StepFirstToken
	StepMidStream
	StepFinish
	StepHandOver
)

var stepNames = []string{
	"boot", "edit", "spread", "renew", "order", "accept", "claim", "choose", "connect", "send",
	"record", "first token", "mid-stream", "finish", "hand over",
}

// Steps returns every step.
func Steps() []Step {
	steps := make([]Step, len(stepNames))
	for i := range steps {
		steps[i] = Step(i)
	}
	return steps
}

// String returns the name of the step.
func (step Step) String() string { return stepNames[step] }

// participants are the node, steward, host and connection involved in a step. Those
// that the step does not have are nil.
type participants struct {
	node       *entryNode
	steward    *steward
	host       *host
	connection *connection
}
