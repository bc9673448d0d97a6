package measure

import "sapphirehead/internal/request"

// Parameters of the simulated application service.
const (
	serviceSlots      = 8
	meanServiceMillis = 30
)

// appService is a simulated application service that runs up to serviceSlots calls
// at a time, in order of arrival.
type appService struct {
	run        *run
	id         string
	dataCentre string
	alive      bool
	leaving    bool
	running    int
	waiting    []func()
}

func (service *appService) receive(call *call, attempt int) {
	if call.ended || call.attempt.Number() != attempt {
		return
	}
	returnLatency := call.node.latency(service.dataCentre)
	current := call.attempt
	switch {
	case !service.alive:
		service.run.timeline.after(returnLatency, func() { call.attemptFailed(current, request.CauseNotSent) })
	case service.leaving:
		service.run.timeline.after(returnLatency, func() {
			call.node.fleet.MarkLeaving(service.id)
			call.attemptFailed(current, request.CauseRefused)
		})
	default:
		call.flow.Sent(attempt)
		service.waiting = append(service.waiting, func() { service.execute(call, current) })
		service.startWaiting()
	}
}

func (service *appService) startWaiting() {
	for service.running < serviceSlots && len(service.waiting) > 0 {
		start := service.waiting[0]
		service.waiting = service.waiting[1:]
		service.running++
		start()
	}
}

func (service *appService) execute(call *call, attempt request.Attempt) {
	duration := micros(meanServiceMillis*(0.5+service.run.random.Float64())) * microsPerMilli
	service.run.timeline.after(duration, func() {
		service.running--
		service.startWaiting()
		if !service.alive {
			call.attemptFailed(attempt, request.CauseCut)
			return
		}
		service.run.timeline.after(call.node.latency(service.dataCentre), func() {
			if !call.ended {
				call.handle(call.flow.Answered(attempt.Number()))
			}
		})
	})
}
