// Package logging makes the programs' logs: JSON lines by default, readable
// lines on a terminal. Field names are stable; docs/OPERATORS.md lists them.
package logging

import (
	"io"
	"os"

	"github.com/mattn/go-isatty"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// Names of fields.
const (
	FieldProgram    = "program"
	FieldHost       = "host"
	FieldDataCentre = "dataCentre"
	FieldRequestID  = "requestId"
	FieldServer     = "backendServer"
)

const (
	// queuedLines is how many lines wait for their writer at most.
	queuedLines = 2048
	// burstLines is how many lines below the level warning are written in each
	// burstPeriod; of what is above only each sampledLine is.
	burstLines       = 300
	burstPeriodNanos = 1_000_000_000
	sampledEvery     = 20
)

// NewBounded returns a logger that never holds its callers up. Lines wait in a
// ring, from which the oldest are dropped if the writer is slow, and dropped is
// told how many. Of ordinary lines only so many are written a second; warnings
// and errors always are.
func NewBounded(file io.Writer, level, program, host, dataCentre string, dropped func(lines int)) (zerolog.Logger, io.Closer) {
	ring := diode.NewWriter(file, queuedLines, 0, dropped)
	sampler := &zerolog.BurstSampler{Burst: burstLines, Period: burstPeriodNanos, NextSampler: &zerolog.BasicSampler{N: sampledEvery}}
	minLevel, err := zerolog.ParseLevel(level)
	if err != nil {
		minLevel = zerolog.InfoLevel
	}
	log := zerolog.New(ring).Level(minLevel).Sample(zerolog.LevelSampler{DebugSampler: sampler, InfoSampler: sampler}).With().
		Timestamp().Str(FieldProgram, program).Str(FieldHost, host).Str(FieldDataCentre, dataCentre).Logger()
	return log, ring
}

// New returns a logger for the program on the host, without lines below the
// level. A terminal gets readable lines, anything else JSON.
func New(file *os.File, level, program, host, dataCentre string) zerolog.Logger {
	var writer io.Writer = file
	if isatty.IsTerminal(file.Fd()) {
		writer = zerolog.ConsoleWriter{Out: file}
	}
	minLevel, err := zerolog.ParseLevel(level)
	if err != nil {
		minLevel = zerolog.InfoLevel
	}
	return zerolog.New(writer).Level(minLevel).With().Timestamp().
		Str(FieldProgram, program).Str(FieldHost, host).Str(FieldDataCentre, dataCentre).Logger()
}
