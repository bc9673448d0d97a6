package chaos

import (
	"context"
	"fmt"
	"sync"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/operator/operatorhttp"
	"sapphirehead/internal/route"
	"sapphirehead/internal/table"
)

// Bounds of the operators' race.
const (
	operatorCount    = 2
	editsPerOperator = 4
	maxEditAttempts  = 60
	editBackoff      = 100 * clock.Millisecond
	kindConflict     = "conflict"
	initialWorth     = 1.0
	contestedRow     = "desk"
	ownRow           = "bookings"
)

// operators edit the tables concurrently. Each accepted edit of the contested row
// adds one to its worth, so that a lost or reverted edit leaves a worth that is too
// low. The second operator also edits a row of its own.
type operators struct {
	system      *system
	tally       *Tally
	mutex       sync.Mutex
	accepted    int
	ownRowWorth float64
	group       sync.WaitGroup
	round       int
}

func newOperators(system *system, tally *Tally) *operators {
	return &operators{system: system, tally: tally, ownRowWorth: initialWorth}
}

// race starts one round of edits through two entry hosts.
func (operators *operators) race(ctx context.Context) {
	operators.round++
	for number := range operatorCount {
		round := operators.round
		operators.group.Go(func() {
			for edit := range editsPerOperator {
				id := fmt.Sprintf("edit-%d-%d-%d", round, number, edit)
				if operators.increment(ctx, number, id, contestedRow) {
					operators.mutex.Lock()
					operators.accepted++
					operators.mutex.Unlock()
				}
				if number == 1 && operators.increment(ctx, number, id+"-own", ownRow) {
					operators.mutex.Lock()
					operators.ownRowWorth++
					operators.mutex.Unlock()
				}
			}
		})
	}
}

// increment adds one to the worth of a route and reports whether the edit was
// accepted. An edit without a definite response is repeated with the same id.
func (operators *operators) increment(ctx context.Context, number int, id, row string) bool {
	var edit *table.Edit
	for attempt := range maxEditAttempts {
		client := operators.client(number + attempt)
		if edit == nil {
			edit = operators.newIncrement(ctx, client, id, row)
		}
		if edit != nil {
			_, err := client.Commit(ctx, edit)
			if err == nil {
				operators.tally.add("editsAccepted", "")
				return true
			}
			var refused *operatorhttp.RefusedError
			if errors.As(err, &refused) && refused.Kind() == kindConflict {
				operators.tally.add("editConflicts", "")
				edit = nil
			}
		}
		operators.system.clock.Wait(ctx, editBackoff)
	}
	if edit != nil {
		operators.tally.add(countLost, "%s: neither accepted nor refused", id)
	}
	return false
}

// client returns a client of the operators' API of a ready entry host, or of any if
// none is ready.
func (operators *operators) client(number int) *operatorhttp.Client {
	entries := operators.system.entries
	for i := range entries {
		if entry := entries[(number+i)%len(entries)]; entry.process.Load().ready.Load() {
			return operators.system.operator(entry)
		}
	}
	return operators.system.operator(entries[number%len(entries)])
}

// newIncrement reads the row and returns an edit that adds one to its worth, or nil
// if it could not be read.
func (operators *operators) newIncrement(ctx context.Context, client *operatorhttp.Client, id, row string) *table.Edit {
	tables, err := client.Tables(ctx)
	if err != nil {
		return nil
	}
	stored, ok := tables.Route(row)
	if !ok {
		return nil
	}
	edit := table.NewEdit(id)
	edit.SetRoute(stored.WithWorth(stored.Worth()+1), stored.Revision())
	return edit
}

// checkTables waits until the stored tables are active on every entry host, and
// checks that they contain every accepted edit.
func (operators *operators) checkTables(ctx context.Context) error {
	operators.group.Wait()
	stored, err := operators.system.operator(operators.system.entries[0]).Tables(ctx)
	if err != nil {
		return err
	}
	operators.expectWorth(stored, contestedRow, initialWorth+float64(operators.accepted))
	operators.expectWorth(stored, ownRow, operators.ownRowWorth)
	for _, entry := range operators.system.entries {
		failure := fmt.Sprintf("%s: version %d is not active on all nodes", entry.name, stored.Version())
		err := operators.system.await(ctx, failure, func(ctx context.Context) bool {
			status, err := operators.system.operator(entry).Status(ctx)
			if err != nil {
				return false
			}
			have, all := status.ActiveCount(stored.Version())
			return have == all && all == len(operators.system.entries)
		})
		if err != nil {
			operators.tally.add(countReverted, "%s", err.Error())
		}
	}
	return nil
}

func (operators *operators) expectWorth(stored *table.Tables, name string, worth float64) {
	var row route.Route
	row, _ = stored.Route(name)
	if row.Worth() != worth {
		operators.tally.add(countReverted, "row %s has worth %g, %g expected from the accepted edits", name, row.Worth(), worth)
	}
}
