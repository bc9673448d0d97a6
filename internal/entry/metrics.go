package entry

import (
	"expvar"

	"sapphirehead/internal/burn"
)

// publishGauges adds the metrics that are computed on read. docs/METRICS.md
// lists every metric with its unit.
func (entry *Entry) publishGauges() {
	entry.counters.Set("requestsInFlight", gauge(entry.admission.InFlight))
	entry.counters.Set("tablesVersion", gauge(func() int64 { return entry.active.Current().Version() }))
	entry.counters.Set("nodesLive", gauge(func() int64 { return int64(len(entry.members.Live())) + 1 }))
	entry.counters.Set("nodesBehind", gauge(func() int64 {
		have, all := entry.status().ActiveCount(entry.active.Current().Version())
		return int64(all - have)
	}))
	entry.counters.Set("backendServers", gauge(func() int64 { return int64(len(entry.fleet.Current().Servers())) }))
	entry.counters.Set("backendServersLeaving", gauge(entry.leavingServers))
	entry.counters.Set("burnAlarmsFast", gauge(func() int64 { return entry.burnAlarms(burn.AlarmFast) }))
	entry.counters.Set("burnAlarmsSlow", gauge(func() int64 { return entry.burnAlarms(burn.AlarmSlow) }))
}

func gauge(read func() int64) expvar.Func {
	return func() any { return read() }
}

func (entry *Entry) leavingServers() int64 {
	leaving := int64(0)
	for _, server := range entry.fleet.Current().Servers() {
		if server.Leaving() {
			leaving++
		}
	}
	return leaving
}

func (entry *Entry) burnAlarms(alarm burn.Alarm) int64 {
	raised := int64(0)
	report := entry.meter.Report()
	for _, row := range report.Rows() {
		if row.Alarm(report.Objective()) == alarm {
			raised++
		}
	}
	return raised
}
