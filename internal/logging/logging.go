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
	// boundedLines is how many lines wait for their writer at most.
	boundedLines = 2048
	// burstLines is how many lines below the level warning are written in each
	// burstPeriod; of what is above only each sampledLine is.
	burstLines  = 300
	burstPeriod = 1_000_000_000
	sampledLine = 20
)

// NewBounded returns a logger that never holds its callers up. Lines wait in a
// ring, from which the oldest are dropped if the writer is slow, and dropped is
// told how many. Of ordinary lines only so many are written a second; warnings
// and errors always are.
func NewBounded(file io.Writer, level, program, host, dataCentre string, dropped func(lines int)) (zerolog.Logger, io.Closer) {
	ring := diode.NewWriter(file, boundedLines, 0, dropped)
	ordinary := &zerolog.BurstSampler{Burst: burstLines, Period: burstPeriod, NextSampler: &zerolog.BasicSampler{N: sampledLine}}
	least, err := zerolog.ParseLevel(level)
	if err != nil {
		least = zerolog.InfoLevel
	}
	log := zerolog.New(ring).Level(least).Sample(zerolog.LevelSampler{DebugSampler: ordinary, InfoSampler: ordinary}).With().
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
	least, err := zerolog.ParseLevel(level)
	if err != nil {
		least = zerolog.InfoLevel
	}
	return zerolog.New(writer).Level(least).With().Timestamp().
		Str(FieldProgram, program).Str(FieldHost, host).Str(FieldDataCentre, dataCentre).Logger()
}
