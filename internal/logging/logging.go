// Package logging creates the programs' loggers, which write JSON lines by
// default and readable lines on a terminal. Field names are stable;
// docs/OPERATORS.md lists them.
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
	FieldPartHashes = "partHashes"
	// FieldRequestHash is the hash of what a repeated request has in common with the
	// first one.
	FieldRequestHash = "requestHash"
)

const (
	// queuedLines is the number of lines that may wait for their writer.
	queuedLines = 2048
	// burstLines is the number of lines below the level warning that are written
	// in each period of burstPeriodNanos. Of further lines, one in sampledEvery is
	// written.
	burstLines       = 300
	burstPeriodNanos = 1_000_000_000
	sampledEvery     = 20
)

// NewBounded returns a logger that never blocks its callers. Lines wait in a
// ring; if the writer is slow, the oldest are dropped and their number is
// passed to dropped. Lines below the level warning are limited in each second;
// warnings and errors are not.
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
// level. A terminal gets readable lines, other files get JSON.
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
