package fbstand

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
)

// maxFeedWait is the longest that a feed is held back.
const maxFeedWait = 30 * time.Second

type rowRef struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	Ver   uint64 `json:"ver"`
	// Deleted marks a row that was dropped.
	Deleted bool `json:"deleted,omitempty"`
}

func (r rowRef) name() rowName { return rowName{r.Table, r.Part, r.Key} }

type transactionBody struct {
	Expect []rowRef `json:"expectRev"`
	Puts   []rowRef `json:"puts"`
	Remove []rowRef `json:"remove"`
}

type rowsReply struct {
	Rows      []rowRef `json:"rows"`
	MorePages bool     `json:"morePages"`
	Ver       uint64   `json:"ver"`
	NowMS     int64    `json:"nowMs"`
}

// Handler returns the HTTP interface of the store. Faults are switched by PUT
// /faults.
func (s *RowStore) Handler() http.Handler {
	e := newEcho()
	e.PUT("/faults", s.putFaults)
	g := e.Group("/-", s.misbehave)
	g.POST("/rows-tx", s.postTransaction)
	g.GET("/rows-get", s.getRows)
	g.GET("/rows-feed", s.getFeed)
	return e
}

func (s *RowStore) putFaults(c echo.Context) error {
	var f RowFaults
	if err := decode(c, &f); err != nil {
		return err
	}
	s.SetFaults(f)
	return c.NoContent(http.StatusNoContent)
}

// misbehave shows the faults that befall all calls.
func (s *RowStore) misbehave(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		f := s.currentFaults()
		switch f.Down {
		case "busy":
			return c.NoContent(http.StatusServiceUnavailable)
		case "silent":
			// The end of the connection is noticed once the body is read.
			if _, err := io.Copy(io.Discard, c.Request().Body); err != nil {
				return nil // the caller has gone
			}
			<-c.Request().Context().Done()
			return nil
		}
		time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
		return next(c)
	}
}

func (s *RowStore) postTransaction(c echo.Context) error {
	var b transactionBody
	if err := decode(c, &b); err != nil {
		return err
	}
	if len(b.Expect)+len(b.Puts)+len(b.Remove) > maxEntries {
		return echo.NewHTTPError(http.StatusBadRequest, "too many entries")
	}
	expect, puts := make(map[rowName]uint64), make(map[rowName][]byte)
	var removals []rowName
	for _, r := range b.Expect {
		expect[r.name()] = r.Ver
	}
	for _, r := range b.Puts {
		puts[r.name()] = r.Value
	}
	for _, r := range b.Remove {
		removals = append(removals, r.name())
	}
	version, ok := s.transact(expect, puts, removals)
	if ok && s.lose() {
		return cutConnection(c, nil)
	}
	status := http.StatusOK
	if !ok {
		status = http.StatusPreconditionFailed
	}
	return c.JSON(status, rowsReply{Rows: []rowRef{}, Ver: version, NowMS: s.now()})
}

func (s *RowStore) getRows(c echo.Context) error {
	limit, _ := strconv.Atoi(c.QueryParam("limit")) // none or a malformed one is no limit
	page, more, version := s.scan(c.QueryParam("table"), c.QueryParam("part"), c.QueryParam("from"), c.QueryParam("target"), limit)
	return c.JSON(http.StatusOK, rowsReply{Rows: rowRefs(page), MorePages: more, Ver: version, NowMS: s.now()})
}

func (s *RowStore) getFeed(c echo.Context) error {
	after, err := strconv.ParseUint(c.QueryParam("after"), 10, 64)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "after is not a version")
	}
	wait, err := strconv.Atoi(c.QueryParam("waitMs"))
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "waitMs is not a number")
	}
	deadline := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxFeedWait))
	defer deadline.Stop()
	for {
		list, known, version, changed := s.changes(c.QueryParam("table"), after)
		if !known {
			return c.NoContent(http.StatusGone)
		}
		if len(list) > rowsPageSize {
			list = list[:rowsPageSize]
			version = list[rowsPageSize-1].row.version
			return c.JSON(http.StatusOK, rowsReply{Rows: rowRefs(list), MorePages: true, Ver: version, NowMS: s.now()})
		}
		if len(list) > 0 {
			return c.JSON(http.StatusOK, rowsReply{Rows: rowRefs(list), Ver: version, NowMS: s.now()})
		}
		select {
		case <-changed:
		case <-deadline.C:
			return c.JSON(http.StatusOK, rowsReply{Rows: []rowRef{}, Ver: version, NowMS: s.now()})
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

func rowRefs(list []rowChange) []rowRef {
	out := make([]rowRef, len(list))
	for i, c := range list {
		out[i] = rowRef{Table: c.name.table, Part: c.name.part, Key: c.name.key, Value: c.row.value, Ver: c.row.version, Deleted: c.deleted}
	}
	return out
}
