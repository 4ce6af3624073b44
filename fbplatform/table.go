package fbplatform

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/filbertford/filbertford"
)

type readRequest struct {
	Keys []string `json:"keys"`
}

type readReply struct {
	Rows []row `json:"rows"`
}

type commitRequest struct {
	Writes []row `json:"writes"`
}

type row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Read returns the rows of the keys, in the order of the keys.
func (c *Client) Read(ctx context.Context, keys ...string) ([]filbertford.Row, error) {
	body, err := json.Marshal(readRequest{Keys: keys})
	if err != nil {
		return nil, eris.Wrap(err, "encoding a read")
	}
	r, err := c.do(ctx, request{method: http.MethodPost, path: "/table/read", body: body})
	if err != nil {
		return nil, err
	}
	if r.status != http.StatusOK {
		return nil, unexpectedStatus(r.status)
	}
	return parseRows(r.body, keys)
}

// Commit applies all writes or none.
func (c *Client) Commit(ctx context.Context, writes ...filbertford.Write) error {
	r := commitRequest{Writes: make([]row, 0, len(writes))}
	for _, w := range writes {
		r.Writes = append(r.Writes, row{Key: w.Key(), Value: w.Value(), Version: w.Version()})
	}
	body, err := json.Marshal(r)
	if err != nil {
		return eris.Wrap(err, "encoding a commit")
	}
	resp, err := c.do(ctx, request{method: http.MethodPost, path: "/table/commit", body: body})
	switch {
	case err != nil:
		return err
	case resp.status == http.StatusConflict:
		return filbertford.ErrConflict
	case resp.status != http.StatusOK:
		return unexpectedStatus(resp.status)
	}
	return nil
}

// parseRows decodes the reply to a read and checks that its rows are those of the
// keys.
func parseRows(reply []byte, keys []string) ([]filbertford.Row, error) {
	var r readReply
	if err := json.Unmarshal(reply, &r); err != nil {
		return nil, unavailable(err)
	}
	if len(r.Rows) != len(keys) {
		return nil, eris.Wrapf(filbertford.ErrUnavailable, "reply has %d rows for %d keys", len(r.Rows), len(keys))
	}
	rows := make([]filbertford.Row, 0, len(keys))
	for i, got := range r.Rows {
		if got.Key != keys[i] {
			return nil, eris.Wrapf(filbertford.ErrUnavailable, "row %d has key %q, want %q", i, got.Key, keys[i])
		}
		rows = append(rows, filbertford.NewRow(got.Key, got.Value, got.Version))
	}
	return rows, nil
}
