package fbops

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/filbertford/filbertford/fbreport"
)

// burn returns the counts by window, and by time bucket if the query asks for
// series=1.
func (h handler) burn(c echo.Context) error {
	return c.JSON(http.StatusOK, h.daemon.Burn(c.QueryParam("series") == "1"))
}

// burnPage shows the burn of this daemon's callers. A daemon asks no other
// daemon for it: the page of the fleet is made by the command line.
func (h handler) burnPage(c echo.Context) error {
	page, err := fbreport.BurnPage(fbreport.NewBurn(h.daemon.Burn(true), "this daemon"))
	if err != nil {
		return err
	}
	return c.HTMLBlob(http.StatusOK, page)
}
