package operatorcli

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/operator"
	"sapphirehead/internal/operator/operatorhttp"
	"sapphirehead/internal/table"
)

const (
	// maxSends limits how often an edit is sent while its outcome is unknown.
	maxSends    = 5
	resendDelay = 500 * clock.Millisecond
	// activeTimeout is how long --wait waits until all live nodes have an edit.
	activeTimeout      = 10 * clock.Second
	activePollInterval = 100 * clock.Millisecond
)

// EditFlags are the flags of every command that edits the tables.
type EditFlags struct {
	Wait   bool   `help:"Wait until the edit is in force on all live nodes."`
	EditID string `help:"Id of the edit. An edit that is sent again with the same id is committed once." name:"edit-id"`
}

func (flags EditFlags) id() string {
	if flags.EditID != "" {
		return flags.EditID
	}
	var bytes [12]byte
	rand.Read(bytes[:])
	return "edit-" + hex.EncodeToString(bytes[:])
}

type committedForm struct {
	EditID  string   `json:"editId"`
	Version int64    `json:"version"`
	Rows    []string `json:"rows"`
}

// commit sends the edit and reports it.
func (session *Session) commit(client *operatorhttp.Client, edit *table.Edit, flags EditFlags) error {
	if len(edit.Rows()) == 0 {
		done, err := session.json(committedForm{Rows: []string{}})
		if !done {
			_, err = fmt.Fprintln(session.output, "nothing to change")
		}
		return err
	}
	version, err := session.send(client, edit)
	if err != nil {
		return err
	}
	done, err := session.json(committedForm{EditID: edit.ID(), Version: version, Rows: edit.Rows()})
	if !done {
		_, err = fmt.Fprintf(session.output, "committed version %d: %d rows changed\n", version, len(edit.Rows()))
	}
	if err != nil || !flags.Wait {
		return err
	}
	return session.waitActive(client, version)
}

// alreadyCommitted reports whether the tables have the edit with the ID in the flags, as
// when a command whose outcome was unknown is run again.
func (session *Session) alreadyCommitted(tables *table.Tables, flags EditFlags) (bool, error) {
	if flags.EditID == "" || !tables.HasEdit(flags.EditID) {
		return false, nil
	}
	done, err := session.json(committedForm{EditID: flags.EditID, Version: tables.Version(), Rows: []string{}})
	if !done {
		_, err = fmt.Fprintf(session.output, "edit %s is committed\n", flags.EditID)
	}
	return true, err
}

// send sends the edit, and sends it again while its outcome is unknown. The tables
// keep the IDs of recent edits, so it is committed once.
func (session *Session) send(client *operatorhttp.Client, edit *table.Edit) (int64, error) {
	var lastErr error
	for range maxSends {
		version, err := client.Commit(background(), edit)
		if err == nil {
			return version, nil
		}
		if !isUnknown(err) {
			if lastErr != nil && kindOf(err) == kindUnavailable {
				return 0, &UnknownOutcomeError{editID: edit.ID(), cause: lastErr}
			}
			return 0, err
		}
		lastErr = err
		fmt.Fprintf(session.errors, "outcome of edit %s is unknown, sending it again: %v\n", edit.ID(), err)
		session.clock.Wait(background(), resendDelay)
	}
	return 0, &UnknownOutcomeError{editID: edit.ID(), cause: lastErr}
}

func isUnknown(err error) bool {
	var unreachable *operatorhttp.UnreachableError
	return kindOf(err) == kindUnknown || errors.As(err, &unreachable)
}

// waitActive waits until all live nodes have the version, and shows progress.
func (session *Session) waitActive(client *operatorhttp.Client, version int64) error {
	deadline := session.clock.Now() + activeTimeout
	shown := -1
	for {
		active, total, err := activeCount(background(), client, version)
		if err != nil {
			return err
		}
		if active != shown {
			fmt.Fprintf(session.errors, "in force %d of %d\n", active, total)
			shown = active
		}
		if active == total {
			return nil
		}
		if session.clock.Now() >= deadline {
			return &NotActiveError{version: version, active: active, total: total}
		}
		session.clock.Wait(background(), activePollInterval)
	}
}

func activeCount(ctx context.Context, client *operatorhttp.Client, version int64) (active, total int, err error) {
	var status operator.Status
	if status, err = client.Status(ctx); err != nil {
		return 0, 0, err
	}
	active, total = status.ActiveCount(version)
	return active, total, nil
}
