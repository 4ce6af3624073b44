package fbstandin

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
)

// maxFeedWait is the maximum time for which a request for the feed is held.
const maxFeedWait = 30 * time.Second

type rowBody struct {
	Table     string `json:"table"`
	Partition string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   uint64 `json:"ver"`
	// Deleted marks a row that was removed.
	Deleted bool `json:"deleted,omitempty"`
}

func (r rowBody) id() rowID { return rowID{r.Table, r.Partition, r.Key} }

type transactionRequest struct {
	Expect []rowBody `json:"expectRev"`
	Puts   []rowBody `json:"puts"`
	Remove []rowBody `json:"remove"`
}

type rowsReply struct {
	Rows      []rowBody `json:"rows"`
	MorePages bool      `json:"morePages"`
	Version   uint64    `json:"ver"`
	NowMS     int64     `json:"nowMs"`
}

// Handler returns the handler of the store's requests. PUT /faults sets the faults; PUT and
// DELETE /evacuations/ZONE begin and end the evacuation of a zone.
func (s *RowStore) Handler() http.Handler {
	e := newEcho()
	e.PUT("/faults", s.handleFaults)
	e.PUT("/evacuations/:zone", s.handleEvacuation(s.Evacuate))
	e.DELETE("/evacuations/:zone", s.handleEvacuation(s.EndEvacuation))
	g := e.Group("/-", s.injectFaults)
	g.POST("/rows-tx", s.handleTransaction)
	g.GET("/rows-get", s.handleRows)
	g.GET("/rows-feed", s.handleFeed)
	return e
}

func (s *RowStore) handleFaults(c echo.Context) error {
	var f RowFaults
	if err := decodeJSON(c, &f); err != nil {
		return err
	}
	s.SetFaults(f)
	return c.NoContent(http.StatusNoContent)
}

// handleEvacuation returns the handler of a request that begins or ends the evacuation of
// the zone in its path. It answers also while an outage is simulated.
func (s *RowStore) handleEvacuation(change func(zone string)) echo.HandlerFunc {
	return func(c echo.Context) error {
		change(c.Param("zone"))
		return c.NoContent(http.StatusNoContent)
	}
}

// injectFaults simulates the faults that affect all calls: outages and delays.
func (s *RowStore) injectFaults(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		f := s.currentFaults()
		switch f.Outage {
		case "busy":
			return c.NoContent(http.StatusServiceUnavailable)
		case "silent":
			// The server detects a closed connection only after the body is read.
			if _, err := io.Copy(io.Discard, c.Request().Body); err != nil {
				return nil // the client closed the connection
			}
			<-c.Request().Context().Done()
			return nil
		}
		time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
		return next(c)
	}
}

func (s *RowStore) handleTransaction(c echo.Context) error {
	var r transactionRequest
	if err := decodeJSON(c, &r); err != nil {
		return err
	}
	if len(r.Expect)+len(r.Puts)+len(r.Remove) > maxTransactionEntries {
		return echo.NewHTTPError(http.StatusBadRequest, "too many entries")
	}
	expected, puts := make(map[rowID]uint64), make(map[rowID][]byte)
	var removals []rowID
	for _, row := range r.Expect {
		expected[row.id()] = row.Version
	}
	for _, row := range r.Puts {
		if len(row.Value) > maxValueBytes {
			return echo.NewHTTPError(http.StatusBadRequest, "a value is too large")
		}
		puts[row.id()] = row.Value
	}
	for _, row := range r.Remove {
		removals = append(removals, row.id())
	}
	version, ok := s.commit(expected, puts, removals)
	if ok && s.loseReply() {
		return writeAndClose(c, nil)
	}
	status := http.StatusOK
	if !ok {
		status = http.StatusPreconditionFailed
	}
	return c.JSON(status, rowsReply{Rows: []rowBody{}, Version: version, NowMS: s.now()})
}

func (s *RowStore) handleRows(c echo.Context) error {
	limit, _ := strconv.Atoi(c.QueryParam("limit")) // a missing or malformed limit counts as 0, which selects maxPageSize
	page, more, version := s.scan(c.QueryParam("table"), c.QueryParam("part"), c.QueryParam("from"), c.QueryParam("target"), limit)
	return c.JSON(http.StatusOK, rowsReply{Rows: encodeChanges(page), MorePages: more, Version: version, NowMS: s.now()})
}

func (s *RowStore) handleFeed(c echo.Context) error {
	after, err := strconv.ParseUint(c.QueryParam("after"), 10, 64)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "after is not a version")
	}
	wait, err := strconv.Atoi(c.QueryParam("waitMs"))
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "waitMs is not a number")
	}
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxFeedWait))
	defer timer.Stop()
	for {
		list, retained, version, changed := s.changes(c.QueryParam("table"), after)
		if !retained {
			return c.NoContent(http.StatusGone)
		}
		if len(list) > maxPageSize {
			list = list[:maxPageSize]
			version = list[maxPageSize-1].row.version
			return c.JSON(http.StatusOK, rowsReply{Rows: encodeChanges(list), MorePages: true, Version: version, NowMS: s.now()})
		}
		if len(list) > 0 {
			return c.JSON(http.StatusOK, rowsReply{Rows: encodeChanges(list), Version: version, NowMS: s.now()})
		}
		select {
		case <-changed:
		case <-timer.C:
			return c.JSON(http.StatusOK, rowsReply{Rows: []rowBody{}, Version: version, NowMS: s.now()})
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

func encodeChanges(list []rowChange) []rowBody {
	out := make([]rowBody, len(list))
	for i, c := range list {
		out[i] = rowBody{Table: c.id.table, Partition: c.id.partition, Key: c.id.key, Value: c.row.value, Version: c.row.version, Deleted: c.deleted}
	}
	return out
}
