package tablecodec

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"

	"sapphirehead/internal/pool"
	"sapphirehead/internal/route"
	"sapphirehead/internal/table"
)

// deltaForm is the encoded delta between two versions, with the rows' revisions.
type deltaForm struct {
	Routes  []routeForm `json:"routes,omitempty"`
	Pools   []poolForm  `json:"pools,omitempty"`
	Removed []string    `json:"removed,omitempty"`
	Edits   []string    `json:"edits"`
}

// EncodeDeltaJSON encodes the rows and edit ids of a delta.
func EncodeDeltaJSON(delta *table.Delta) ([]byte, error) {
	form := deltaForm{Removed: delta.Removed(), Edits: delta.Edits()}
	for _, row := range delta.Routes() {
		form.Routes = append(form.Routes, routeFormOf(row))
	}
	for _, row := range delta.Pools() {
		form.Pools = append(form.Pools, poolFormOf(row))
	}
	data, err := json.Marshal(form)
	return data, errors.Wrap(err, "encode delta")
}

// DecodeDeltaJSON decodes a delta between the versions. The fingerprint is that of
// the tables after the delta.
func DecodeDeltaJSON(data []byte, from, to int64, fingerprint uint64) (*table.Delta, error) {
	var form deltaForm
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&form); err != nil {
		return nil, errors.Wrap(err, "decode delta")
	}
	routes := make([]route.Route, 0, len(form.Routes))
	for _, row := range form.Routes {
		kind, _ := route.ParseKind(row.Kind)
		routes = append(routes, row.route(kind))
	}
	pools := make([]pool.Pool, 0, len(form.Pools))
	for _, row := range form.Pools {
		kind, _ := pool.ParseKind(row.Kind)
		pools = append(pools, row.pool(kind))
	}
	return table.NewDelta(from, to, fingerprint, routes, pools, form.Removed, form.Edits), nil
}
