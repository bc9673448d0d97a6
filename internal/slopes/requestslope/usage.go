package requestslope

import (
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
)

// Usage is the resource usage of a process so far.
type Usage struct {
	processor clock.Millis
	memory    int64
}

const (
	// ticksPerSecond is the number of clock ticks per second in /proc.
	ticksPerSecond = 100
	pageBytes      = 4096
	// Indices of fields of /proc/PID/stat after the program's name.
	statFieldUser   = 11
	statFieldSystem = 12
	statFieldPages  = 21
)

// ReadUsage reads the usage of the process from /proc.
func ReadUsage(pid int) (Usage, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return Usage{}, errors.Wrap(err, "read usage")
	}
	return parseUsage(string(data))
}

func parseUsage(line string) (Usage, error) {
	end := strings.LastIndexByte(line, ')')
	fields := strings.Fields(line[end+1:])
	if end < 0 || len(fields) <= statFieldPages {
		return Usage{}, errors.Errorf("stat line has %d fields after the name", len(fields))
	}
	var values [3]int64
	for i, field := range []int{statFieldUser, statFieldSystem, statFieldPages} {
		value, err := strconv.ParseInt(fields[field], 10, 64)
		if err != nil {
			return Usage{}, errors.Wrap(err, "read usage")
		}
		values[i] = value
	}
	ticks := values[0] + values[1]
	return Usage{processor: clock.Millis(ticks * int64(clock.Second) / ticksPerSecond), memory: values[2] * pageBytes}, nil
}

// Processor returns the processor time in user and system mode.
func (usage Usage) Processor() clock.Millis { return usage.processor }

// Memory returns the resident memory in bytes.
func (usage Usage) Memory() int64 { return usage.memory }
