package tablecodec

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"

	"sapphirehead/internal/pool"
	"sapphirehead/internal/route"
	"sapphirehead/internal/table"
)

// removalForm identifies a row to delete, as in "route/desk".
type removalForm struct {
	Row      string `json:"row"`
	Revision int64  `json:"revision"`
}

// editForm is an edit of the operators' API. The revision of a row is that at which
// the operator last read it, or 0 for a new row.
type editForm struct {
	ID      string        `json:"id"`
	Routes  []routeForm   `json:"routes,omitempty"`
	Pools   []poolForm    `json:"pools,omitempty"`
	Removed []removalForm `json:"removed,omitempty"`
}

// DecodeEditJSON decodes an edit.
func DecodeEditJSON(data []byte) (*table.Edit, error) {
	var form editForm
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&form); err != nil {
		return nil, errors.Wrap(err, "decode edit")
	}
	if form.ID == "" {
		return nil, errors.New("edit: id: missing")
	}
	edit := table.NewEdit(form.ID)
	for _, row := range form.Routes {
		kind, _ := route.ParseKind(row.Kind)
		edit.SetRoute(row.route(kind), row.Revision)
	}
	for _, row := range form.Pools {
		kind, _ := pool.ParseKind(row.Kind)
		edit.SetPool(row.pool(kind), row.Revision)
	}
	for _, removal := range form.Removed {
		edit.Remove(removal.Row, removal.Revision)
	}
	return edit, nil
}

// EncodeEditJSON encodes an edit.
func EncodeEditJSON(edit *table.Edit) ([]byte, error) {
	form := editForm{ID: edit.ID()}
	for _, row := range edit.Routes() {
		form.Routes = append(form.Routes, routeFormOf(row.WithRevision(edit.Revision(table.RouteRow(row.Name())))))
	}
	for _, row := range edit.Pools() {
		form.Pools = append(form.Pools, poolFormOf(row.WithRevision(edit.Revision(table.PoolRow(row.Name())))))
	}
	for _, row := range edit.Removed() {
		form.Removed = append(form.Removed, removalForm{Row: row, Revision: edit.Revision(row)})
	}
	data, err := json.Marshal(form)
	return data, errors.Wrap(err, "encode edit")
}
