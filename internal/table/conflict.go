package table

import (
	"fmt"
	"strings"

	"sapphirehead/internal/pool"
	"sapphirehead/internal/route"
)

// FieldDifference is one field in which the stored row and the row of an edit
// differ.
type FieldDifference struct {
	field  string
	stored string
	wanted string
}

// Field returns the name of the field in the encoded tables.
func (difference FieldDifference) Field() string { return difference.field }

// Stored returns the stored value.
func (difference FieldDifference) Stored() string { return difference.stored }

// Wanted returns the value in the edit.
func (difference FieldDifference) Wanted() string { return difference.wanted }

// fieldRow is the field of a difference in which one side lacks the row. Its values
// are valueAbsent and valueExists.
const (
	fieldRow    = "row"
	valueAbsent = "none"
	valueExists = "present"
)

// ConflictError reports that a row was changed after the editor read it. It lists
// the fields in which the stored row and that of the edit differ:
//
//	row route/desk has revision 8, the edit names 5: worth: stored 5, wanted 7;
//	read the row again and repeat the edit
type ConflictError struct {
	row         string
	have        int64
	named       int64
	differences []FieldDifference
}

func newConflictError(row string, tables *Tables, edit *Edit) *ConflictError {
	return &ConflictError{
		row:         row,
		have:        tables.revision(row),
		named:       edit.revisions[row],
		differences: compareFields(tables.fields(row), edit.fields(row)),
	}
}

// Row returns the name of the row, as in "route/desk".
func (err *ConflictError) Row() string { return err.row }

// Have returns the stored revision, or 0 if there is no row.
func (err *ConflictError) Have() int64 { return err.have }

// Named returns the revision in the edit, or 0 for a new row.
func (err *ConflictError) Named() int64 { return err.named }

// Differences returns the fields in which the stored row and that of the edit
// differ. There are none if another edit has made the same change.
func (err *ConflictError) Differences() []FieldDifference { return err.differences }

func (err *ConflictError) Error() string {
	shown := make([]string, 0, len(err.differences))
	for _, difference := range err.differences {
		shown = append(shown, fmt.Sprintf("%s: stored %s, wanted %s", difference.field, difference.stored, difference.wanted))
	}
	if len(shown) == 0 {
		shown = append(shown, "the stored row already says what the edit wants")
	}
	return fmt.Sprintf("row %s has revision %d, the edit names %d: %s; read the row again and repeat the edit",
		err.row, err.have, err.named, strings.Join(shown, "; "))
}

// field is the name and formatted value of one field of a row.
type field struct {
	name  string
	value string
}

func (tables *Tables) fields(row string) []field {
	if name, ok := strings.CutPrefix(row, rowPrefixRoute); ok {
		if stored, ok := tables.routes[name]; ok {
			return routeFields(stored)
		}
		return nil
	}
	name, _ := strings.CutPrefix(row, rowPrefixPool)
	if stored, ok := tables.pools[name]; ok {
		return poolFields(stored)
	}
	return nil
}

func (edit *Edit) fields(row string) []field {
	for _, wanted := range edit.routes {
		if RouteRow(wanted.Name()) == row {
			return routeFields(wanted)
		}
	}
	for _, wanted := range edit.pools {
		if PoolRow(wanted.Name()) == row {
			return poolFields(wanted)
		}
	}
	return nil
}

func compareFields(stored, wanted []field) []FieldDifference {
	if len(stored) == 0 && len(wanted) == 0 {
		return nil
	}
	if len(stored) == 0 {
		return []FieldDifference{{field: fieldRow, stored: valueAbsent, wanted: valueExists}}
	}
	if len(wanted) == 0 {
		return []FieldDifference{{field: fieldRow, stored: valueExists, wanted: valueAbsent}}
	}
	var differences []FieldDifference
	for i := range stored {
		if stored[i].value != wanted[i].value {
			differences = append(differences, FieldDifference{field: stored[i].name, stored: stored[i].value, wanted: wanted[i].value})
		}
	}
	return differences
}

func routeFields(row route.Route) []field {
	return []field{
		{"kind", row.Kind().String()},
		{"pool", fmt.Sprintf("%q", row.Pool())},
		{"model", fmt.Sprintf("%q", row.Model())},
		{"path", fmt.Sprintf("%q", row.Path())},
		{"worth", fmt.Sprint(row.Worth())},
		{"firstTokenMillis", fmt.Sprint(row.FirstToken())},
		{"betweenTokensMillis", fmt.Sprint(row.BetweenTokens())},
		{"deadlineMillis", fmt.Sprint(row.Deadline())},
		{"nonIdempotent", fmt.Sprint(row.NonIdempotent())},
		{"maxInFlight", fmt.Sprint(row.MaxInFlight())},
		{"ratePerSecond", fmt.Sprint(row.RatePerSecond())},
	}
}

func poolFields(row pool.Pool) []field {
	models := make([]string, 0, len(row.Models()))
	for _, model := range row.Models() {
		models = append(models, fmt.Sprintf("%s@%s+%s", model.Name(), model.Version(), strings.Join(model.Adapters(), "+")))
	}
	return []field{
		{"kind", row.Kind().String()},
		{"models", "[" + strings.Join(models, " ") + "]"},
		{"hostClass", fmt.Sprintf("%q", row.HostClass())},
		{"otherClasses", fmt.Sprintf("%q", row.OtherClasses())},
		{"minHosts", fmt.Sprint(row.MinHosts())},
		{"maxHosts", fmt.Sprint(row.MaxHosts())},
		{"slots", fmt.Sprint(row.Slots())},
		{"ignoresFence", fmt.Sprint(row.IgnoresFence())},
		{"refusesRepeat", fmt.Sprint(row.RefusesRepeat())},
	}
}
