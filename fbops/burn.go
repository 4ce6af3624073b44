package fbops

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/filbertford/filbertford/fbreport"
)

// burn writes the counts by window, and also by time bucket if the query has
// series=1.
func (h handler) burn(c echo.Context) error {
	return c.JSON(http.StatusOK, h.daemon.Burn(c.QueryParam("series") == "1"))
}

// burnPage writes the burn page for the callers of this daemon alone. The command
// line writes the page for the whole fleet.
func (h handler) burnPage(c echo.Context) error {
	page, err := fbreport.BurnPage(fbreport.NewBurnReport(h.daemon.Burn(true), "this daemon"))
	if err != nil {
		return err
	}
	return c.HTMLBlob(http.StatusOK, page)
}
