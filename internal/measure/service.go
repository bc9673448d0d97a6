package measure

import "sapphirehead/internal/request"

// Speeds of the fake application service.
const (
	serviceSlots  = 8
	serviceMillis = 30
)

// appService is a fake application service: a few calls at a time, in order.
type appService struct {
	run     *run
	id      string
	dc      string
	alive   bool
	leaving bool
	running int
	waiting []func()
}

func (service *appService) take(call *call, attempt int) {
	if call.ended || call.attempt.Number() != attempt {
		return
	}
	resumption := call.node.latency(service.dc)
	current := call.attempt
	switch {
	case !service.alive:
		service.run.timeline.after(resumption, func() { call.broken(current, request.CauseNotSent) })
	case service.leaving:
		service.run.timeline.after(resumption, func() {
			call.node.fleet.MarkLeaving(service.id)
			call.broken(current, request.CauseRefused)
		})
	default:
		call.flow.Sent(attempt)
		service.waiting = append(service.waiting, func() { service.work(call, current) })
		service.next()
	}
}

func (service *appService) next() {
	for service.running < serviceSlots && len(service.waiting) > 0 {
		begin := service.waiting[0]
		service.waiting = service.waiting[1:]
		service.running++
		begin()
	}
}

func (service *appService) work(call *call, attempt request.Attempt) {
	taken := micros(serviceMillis*(0.5+service.run.random.Float64())) * microsPerMilli
	service.run.timeline.after(taken, func() {
		service.running--
		service.next()
		if !service.alive {
			call.broken(attempt, request.CauseCut)
			return
		}
		service.run.timeline.after(call.node.latency(service.dc), func() {
			if !call.ended {
				call.handle(call.flow.Answered(attempt.Number()))
			}
		})
	})
}
