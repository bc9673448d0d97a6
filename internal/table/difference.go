package table

// Difference returns the edit that turns these tables into the wanted ones. It
// removes the rows that the wanted tables don't have.
func (tables *Tables) Difference(id string, wanted *Tables) *Edit {
	edit := NewEdit(id)
	for _, row := range wanted.Routes() {
		stored, ok := tables.Route(row.Name())
		if !ok || !stored.Equal(row) {
			edit.SetRoute(row, stored.Revision())
		}
	}
	for _, row := range wanted.Pools() {
		stored, ok := tables.Pool(row.Name())
		if !ok || !stored.Equal(row) {
			edit.SetPool(row, stored.Revision())
		}
	}
	tables.removeMissing(edit, wanted)
	return edit
}

func (tables *Tables) removeMissing(edit *Edit, wanted *Tables) {
	for _, row := range tables.Routes() {
		if _, ok := wanted.Route(row.Name()); !ok {
			edit.Remove(RouteRow(row.Name()), row.Revision())
		}
	}
	for _, row := range tables.Pools() {
		if _, ok := wanted.Pool(row.Name()); !ok {
			edit.Remove(PoolRow(row.Name()), row.Revision())
		}
	}
}
