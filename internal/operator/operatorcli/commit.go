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
	// commitRounds bounds how often an edit of unknown outcome is sent again.
	commitRounds = 5
	commitPause  = 500 * clock.Millisecond
	// inForceTimeout is how long --wait waits until all live nodes have an edit.
	inForceTimeout = 10 * clock.Second
	inForceRound   = 100 * clock.Millisecond
)

// EditFlags are the flags of every command that edits the tables.
type EditFlags struct {
	Wait   bool   `help:"Wait until all live nodes have the edit in force."`
	EditID string `help:"Id of the edit. The same id is committed once, however often it is sent." name:"edit-id"`
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
			_, err = fmt.Fprintln(session.out, "nothing to change")
		}
		return err
	}
	version, err := session.send(client, edit)
	if err != nil {
		return err
	}
	done, err := session.json(committedForm{EditID: edit.ID(), Version: version, Rows: edit.Rows()})
	if !done {
		_, err = fmt.Fprintf(session.out, "committed version %d: %d rows changed\n", version, len(edit.Rows()))
	}
	if err != nil || !flags.Wait {
		return err
	}
	return session.waitInForce(client, version)
}

// already reports whether the edit that the operator names is committed, as
// when a command of unknown outcome is run again.
func (session *Session) already(tables *table.Tables, flags EditFlags) (bool, error) {
	if flags.EditID == "" || !tables.HasEdit(flags.EditID) {
		return false, nil
	}
	done, err := session.json(committedForm{EditID: flags.EditID, Version: tables.Version(), Rows: []string{}})
	if !done {
		_, err = fmt.Fprintf(session.out, "edit %s is committed\n", flags.EditID)
	}
	return true, err
}

// send sends the edit, and the same edit again while its outcome is unknown.
// The node that committed it knows its id, so it is committed once.
func (session *Session) send(client *operatorhttp.Client, edit *table.Edit) (int64, error) {
	var last error
	for range commitRounds {
		version, err := client.Commit(background(), edit)
		if err == nil {
			return version, nil
		}
		if !isUnknown(err) {
			if last != nil && kindOf(err) == kindUnavailable {
				return 0, &UnknownOutcomeError{editID: edit.ID(), cause: last}
			}
			return 0, err
		}
		last = err
		fmt.Fprintf(session.errors, "outcome of edit %s is unknown, sending it again: %v\n", edit.ID(), err)
		session.clock.Wait(background(), commitPause)
	}
	return 0, &UnknownOutcomeError{editID: edit.ID(), cause: last}
}

func isUnknown(err error) bool {
	var unreachable *operatorhttp.UnreachableError
	return kindOf(err) == kindUnknown || errors.As(err, &unreachable)
}

// waitInForce waits until all live nodes have the version, and shows progress.
func (session *Session) waitInForce(client *operatorhttp.Client, version int64) error {
	deadline := session.clock.Now() + inForceTimeout
	shown := -1
	for {
		have, all, err := inForce(background(), client, version)
		if err != nil {
			return err
		}
		if have != shown {
			fmt.Fprintf(session.errors, "in force %d of %d\n", have, all)
			shown = have
		}
		if have == all {
			return nil
		}
		if session.clock.Now() >= deadline {
			return &NotInForceError{version: version, have: have, all: all}
		}
		session.clock.Wait(background(), inForceRound)
	}
}

func inForce(ctx context.Context, client *operatorhttp.Client, version int64) (have, all int, err error) {
	var status operator.Status
	if status, err = client.Status(ctx); err != nil {
		return 0, 0, err
	}
	have, all = status.ActiveCount(version)
	return have, all, nil
}
