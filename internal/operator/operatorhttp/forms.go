// Package operatorhttp is the handler and the client of the operators' API: HTTP and
// JSON in camel case under /admin/v1, with a bearer token. docs/ADMIN-API.md
// describes all of it.
package operatorhttp

import (
	"sapphirehead/internal/node"
	"sapphirehead/internal/operator"
	"sapphirehead/internal/table"
)

type memberForm struct {
	Host          string `json:"host"`
	Address       string `json:"address"`
	DataCentre    string `json:"dataCentre"`
	Incarnation   int64  `json:"incarnation"`
	TablesVersion int64  `json:"tablesVersion"`
	Ready         bool   `json:"ready"`
	Stopping      bool   `json:"stopping"`
}

type serverForm struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	Pool       string `json:"pool"`
	Leaving    bool   `json:"leaving"`
	Circuit    string `json:"circuit"`
	InFlight   int64  `json:"inFlight"`
	Failures   int64  `json:"failures"`
}

type statusForm struct {
	Self    memberForm   `json:"self"`
	Members []memberForm `json:"members"`
	Servers []serverForm `json:"servers"`
}

// drainForm names the entry host or the backend server to drain; exactly one of the
// fields is set.
type drainForm struct {
	Node   string `json:"node,omitempty"`
	Server string `json:"backendServer,omitempty"`
}

type committedForm struct {
	Version int64 `json:"version"`
}

type problemForm struct {
	Row     string `json:"row"`
	Field   string `json:"field"`
	Message string `json:"message"`
}

type differenceForm struct {
	Field  string `json:"field"`
	Stored string `json:"stored"`
	Wanted string `json:"wanted"`
}

// conflictForm shows the row that another edit changed.
type conflictForm struct {
	Row         string           `json:"row"`
	Have        int64            `json:"have"`
	Named       int64            `json:"named"`
	Differences []differenceForm `json:"differences"`
}

type errorForm struct {
	Type     string        `json:"type"`
	Message  string        `json:"message"`
	Problems []problemForm `json:"problems,omitempty"`
	Conflict *conflictForm `json:"conflict,omitempty"`
}

type errorsForm struct {
	Error errorForm `json:"error"`
}

func conflictFormOf(err *table.ConflictError) *conflictForm {
	form := &conflictForm{Row: err.Row(), Have: err.Have(), Named: err.Named(), Differences: []differenceForm{}}
	for _, difference := range err.Differences() {
		form.Differences = append(form.Differences, differenceForm{Field: difference.Field(), Stored: difference.Stored(), Wanted: difference.Wanted()})
	}
	return form
}

func memberFormOf(member node.Member) memberForm {
	return memberForm{
		Host:          member.Host(),
		Address:       member.Address(),
		DataCentre:    member.DataCentre(),
		Incarnation:   member.Incarnation(),
		TablesVersion: member.TablesVersion(),
		Ready:         member.Ready(),
		Stopping:      member.Stopping(),
	}
}

func (form memberForm) member() node.Member {
	return node.NewMember(form.Host, form.Address, form.DataCentre, form.Incarnation).WithState(0, form.TablesVersion, form.Ready, form.Stopping)
}

func statusFormOf(status operator.Status) statusForm {
	form := statusForm{Self: memberFormOf(status.Self()), Members: []memberForm{}, Servers: []serverForm{}}
	for _, member := range status.Members() {
		form.Members = append(form.Members, memberFormOf(member))
	}
	for _, server := range status.Servers() {
		form.Servers = append(form.Servers, serverForm{
			ID:         server.ID(),
			Address:    server.Address(),
			DataCentre: server.DataCentre(),
			Pool:       server.Pool(),
			Leaving:    server.Leaving(),
			Circuit:    server.Circuit(),
			InFlight:   server.InFlight(),
			Failures:   server.Failures(),
		})
	}
	return form
}

func (form statusForm) status() operator.Status {
	members := make([]node.Member, 0, len(form.Members))
	for _, member := range form.Members {
		members = append(members, member.member())
	}
	servers := make([]operator.ServerStatus, 0, len(form.Servers))
	for _, server := range form.Servers {
		servers = append(servers, operator.NewServerStatus(
			server.ID, server.Address, server.DataCentre, server.Pool, server.Leaving, server.Circuit, server.InFlight, server.Failures,
		))
	}
	return operator.NewStatus(form.Self.member(), members, servers)
}
