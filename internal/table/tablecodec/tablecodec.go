// Package tablecodec encodes the tables: TOML for operators' files and JSON for the
// platform's object and the operators' API. Both use unexported form types, whose
// fields the libraries set by reflection.
package tablecodec

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/pool"
	"sapphirehead/internal/route"
	"sapphirehead/internal/table"
)

// MaxBytes is the maximum size of JSON-encoded tables.
const MaxBytes = 1 << 20

type routeForm struct {
	Name                string  `json:"name" toml:"name"`
	Kind                string  `json:"kind" toml:"kind"`
	Pool                string  `json:"pool" toml:"pool"`
	Model               string  `json:"model,omitempty" toml:"model,omitempty"`
	Path                string  `json:"path,omitempty" toml:"path,omitempty"`
	Worth               float64 `json:"worth" toml:"worth"`
	FirstTokenMillis    int64   `json:"firstTokenMillis,omitempty" toml:"firstTokenMillis,omitempty"`
	BetweenTokensMillis int64   `json:"betweenTokensMillis,omitempty" toml:"betweenTokensMillis,omitempty"`
	DeadlineMillis      int64   `json:"deadlineMillis,omitempty" toml:"deadlineMillis,omitempty"`
	NonIdempotent       bool    `json:"nonIdempotent,omitempty" toml:"nonIdempotent,omitempty"`
	MaxInFlight         int     `json:"maxInFlight,omitempty" toml:"maxInFlight,omitempty"`
	RatePerSecond       float64 `json:"ratePerSecond,omitempty" toml:"ratePerSecond,omitempty"`
	Revision            int64   `json:"revision,omitempty" toml:"revision,omitempty"`
}

type modelForm struct {
	Name     string   `json:"name" toml:"name"`
	Version  string   `json:"version" toml:"version"`
	Adapters []string `json:"adapters,omitempty" toml:"adapters,omitempty"`
}

type poolForm struct {
	Name          string      `json:"name" toml:"name"`
	Kind          string      `json:"kind" toml:"kind"`
	Models        []modelForm `json:"models,omitempty" toml:"models,omitempty"`
	HostClass     string      `json:"hostClass,omitempty" toml:"hostClass,omitempty"`
	OtherClasses  []string    `json:"otherClasses,omitempty" toml:"otherClasses,omitempty"`
	MinHosts      int         `json:"minHosts,omitempty" toml:"minHosts,omitempty"`
	MaxHosts      int         `json:"maxHosts,omitempty" toml:"maxHosts,omitempty"`
	Slots         int         `json:"slots,omitempty" toml:"slots,omitempty"`
	IgnoresFence  bool        `json:"ignoresFence,omitempty" toml:"ignoresFence,omitempty"`
	RefusesRepeat bool        `json:"refusesRepeat,omitempty" toml:"refusesRepeat,omitempty"`
	Revision      int64       `json:"revision,omitempty" toml:"revision,omitempty"`
}

type tablesForm struct {
	Version     int64       `json:"version,omitempty" toml:"version,omitempty"`
	Routes      []routeForm `json:"routes" toml:"routes"`
	Pools       []poolForm  `json:"pools" toml:"pools"`
	RecentEdits []string    `json:"recentEdits,omitempty" toml:"-"`
}

// DecodeTOML decodes an operator's file. An unknown key is an error with its line
// and name. The rows are not checked against each other; see table.Tables.Check.
func DecodeTOML(data []byte) (*table.Tables, error) {
	var form tablesForm
	decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := decoder.Decode(&form); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			return nil, errors.Errorf("unknown key:\n%s", strict.String())
		}
		var syntax *toml.DecodeError
		if errors.As(err, &syntax) {
			line, column := syntax.Position()
			return nil, errors.Errorf("line %d column %d: %s", line, column, syntax.Error())
		}
		return nil, errors.Wrap(err, "decode tables")
	}
	return form.tables()
}

// EncodeTOML encodes the tables for DecodeTOML.
func EncodeTOML(tables *table.Tables) ([]byte, error) {
	data, err := toml.Marshal(formOf(tables))
	return data, errors.Wrap(err, "encode tables")
}

// DecodeJSON decodes the platform's object or a message of the operators' API.
func DecodeJSON(data []byte) (*table.Tables, error) {
	if len(data) > MaxBytes {
		return nil, errors.Errorf("tables have %d bytes: at most %d are allowed", len(data), MaxBytes)
	}
	var form tablesForm
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&form); err != nil {
		return nil, errors.Wrap(err, "decode tables")
	}
	return form.tables()
}

// EncodeJSON encodes the tables for DecodeJSON.
func EncodeJSON(tables *table.Tables) ([]byte, error) {
	data, err := json.Marshal(formOf(tables))
	return data, errors.Wrap(err, "encode tables")
}

func (form tablesForm) tables() (*table.Tables, error) {
	var problems []table.Problem
	routes := make([]route.Route, 0, len(form.Routes))
	for _, row := range form.Routes {
		kind, ok := route.ParseKind(row.Kind)
		if !ok {
			problems = append(problems, table.NewProblem(table.RouteRow(row.Name), "kind", "is "+quote(row.Kind)+": allowed are chat and service"))
		}
		routes = append(routes, row.route(kind))
	}
	pools := make([]pool.Pool, 0, len(form.Pools))
	for _, row := range form.Pools {
		kind, ok := pool.ParseKind(row.Kind)
		if !ok {
			problems = append(problems, table.NewProblem(table.PoolRow(row.Name), "kind", "is "+quote(row.Kind)+": allowed are runner and service"))
		}
		pools = append(pools, row.pool(kind))
	}
	tables := table.New(form.Version, routes, pools, form.RecentEdits)
	if len(tables.Routes()) != len(routes) || len(tables.Pools()) != len(pools) {
		problems = append(problems, table.NewProblem("tables", "name", "two rows of one table have the same name"))
	}
	if len(problems) > 0 {
		return nil, table.NewCheckError(problems)
	}
	return tables, nil
}

func quote(value string) string { return `"` + strings.ReplaceAll(value, `"`, `\"`) + `"` }

func (form routeForm) route(kind route.Kind) route.Route {
	row := route.New(form.Name, kind, form.Pool)
	return row.WithModel(form.Model).WithPath(form.Path).WithWorth(form.Worth).
		WithTargets(
			orDefault(form.FirstTokenMillis, row.FirstToken()),
			orDefault(form.BetweenTokensMillis, row.BetweenTokens()),
			orDefault(form.DeadlineMillis, row.Deadline()),
		).
		WithNonIdempotent(form.NonIdempotent).WithLimits(form.MaxInFlight, form.RatePerSecond).WithRevision(form.Revision)
}

func orDefault(millis int64, fallback clock.Millis) clock.Millis {
	if millis == 0 {
		return fallback
	}
	return clock.Millis(millis)
}

func (form poolForm) pool(kind pool.Kind) pool.Pool {
	models := make([]pool.Model, 0, len(form.Models))
	for _, model := range form.Models {
		models = append(models, pool.NewModel(model.Name, model.Version, model.Adapters...))
	}
	slots := form.Slots
	if slots == 0 {
		slots = pool.DefaultSlots
	}
	return pool.New(form.Name, kind).WithModels(models...).
		WithHosts(form.HostClass, form.MinHosts, form.MaxHosts).WithOtherClasses(form.OtherClasses...).WithSlots(slots).
		WithIgnoresFence(form.IgnoresFence).WithRefusesRepeat(form.RefusesRepeat).WithRevision(form.Revision)
}

func formOf(tables *table.Tables) tablesForm {
	form := tablesForm{Version: tables.Version(), RecentEdits: tables.RecentEdits(), Routes: []routeForm{}, Pools: []poolForm{}}
	for _, row := range tables.Routes() {
		form.Routes = append(form.Routes, routeFormOf(row))
	}
	for _, row := range tables.Pools() {
		form.Pools = append(form.Pools, poolFormOf(row))
	}
	return form
}

func routeFormOf(row route.Route) routeForm {
	return routeForm{
		Name:                row.Name(),
		Kind:                row.Kind().String(),
		Pool:                row.Pool(),
		Model:               row.Model(),
		Path:                row.Path(),
		Worth:               row.Worth(),
		FirstTokenMillis:    int64(row.FirstToken()),
		BetweenTokensMillis: int64(row.BetweenTokens()),
		DeadlineMillis:      int64(row.Deadline()),
		NonIdempotent:       row.NonIdempotent(),
		MaxInFlight:         row.MaxInFlight(),
		RatePerSecond:       row.RatePerSecond(),
		Revision:            row.Revision(),
	}
}

func poolFormOf(row pool.Pool) poolForm {
	form := poolForm{
		Name:          row.Name(),
		Kind:          row.Kind().String(),
		HostClass:     row.HostClass(),
		OtherClasses:  row.OtherClasses(),
		MinHosts:      row.MinHosts(),
		MaxHosts:      row.MaxHosts(),
		Slots:         row.Slots(),
		IgnoresFence:  row.IgnoresFence(),
		RefusesRepeat: row.RefusesRepeat(),
		Revision:      row.Revision(),
	}
	for _, model := range row.Models() {
		form.Models = append(form.Models, modelForm{Name: model.Name(), Version: model.Version(), Adapters: model.Adapters()})
	}
	return form
}
