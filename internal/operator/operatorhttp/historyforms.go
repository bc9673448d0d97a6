package operatorhttp

import (
	"encoding/json"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/operator"
	"sapphirehead/internal/table/tablecodec"
)

type recordForm struct {
	Version  int64           `json:"version"`
	EditID   string          `json:"editId"`
	By       string          `json:"by"`
	AtMillis int64           `json:"atMillis"`
	Omitted  int             `json:"omitted,omitempty"`
	Before   json.RawMessage `json:"before"`
	After    json.RawMessage `json:"after"`
}

type historyForm struct {
	Records []recordForm `json:"records"`
}

// EncodeHistory encodes records in the form in which the platform stores a page of
// them and the operators' API returns them.
func EncodeHistory(records []operator.Record) ([]byte, error) {
	form := historyForm{Records: []recordForm{}}
	for _, record := range records {
		before, err := tablecodec.EncodeJSON(record.Before())
		if err != nil {
			return nil, err
		}
		after, err := tablecodec.EncodeJSON(record.After())
		if err != nil {
			return nil, err
		}
		form.Records = append(form.Records, recordForm{
			Version: record.Version(), EditID: record.EditID(), By: record.By(), AtMillis: int64(record.At()),
			Omitted: record.Omitted(), Before: before, After: after,
		})
	}
	data, err := json.Marshal(form)
	return data, errors.Wrap(err, "encode history")
}

// DecodeHistory decodes records that EncodeHistory encoded.
func DecodeHistory(data []byte) ([]operator.Record, error) {
	var form historyForm
	if err := json.Unmarshal(data, &form); err != nil {
		return nil, errors.Wrap(err, "decode history")
	}
	records := make([]operator.Record, 0, len(form.Records))
	for _, record := range form.Records {
		before, err := tablecodec.DecodeJSON(record.Before)
		if err != nil {
			return nil, errors.Wrapf(err, "history of version %d", record.Version)
		}
		after, err := tablecodec.DecodeJSON(record.After)
		if err != nil {
			return nil, errors.Wrapf(err, "history of version %d", record.Version)
		}
		records = append(records, operator.NewRecord(
			record.Version, record.EditID, record.By, clock.Millis(record.AtMillis), record.Omitted, before, after,
		))
	}
	return records, nil
}
