package fbstandin

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/labstack/echo/v4"
)

// maxBody is the size of the largest request body in bytes.
const maxBody = 8 << 20

// newEcho returns an echo instance that limits request bodies and logs nothing.
func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.Use(limitBody)
	return e
}

// limitBody limits request bodies to maxBody.
func limitBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		r := c.Request()
		r.Body = http.MaxBytesReader(c.Response(), r.Body, maxBody)
		return next(c)
	}
}

// decodeJSON decodes a request's JSON body into dst, whatever its content type.
// It returns a 400 for invalid JSON.
func decodeJSON(c echo.Context, dst any) error {
	if err := json.NewDecoder(c.Request().Body).Decode(dst); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return nil
}

// writeAndClose writes raw to the request's connection and closes the connection.
func writeAndClose(c echo.Context, raw []byte) error {
	conn, _, err := c.Response().Hijack()
	if err != nil {
		return err
	}
	_, writeErr := conn.Write(raw)
	if err := conn.Close(); err != nil {
		return err
	}
	return writeErr
}

// encodeReply returns an HTTP/1.1 response with a JSON body as bytes.
func encodeReply(status int, body any) ([]byte, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	header := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n",
		status, http.StatusText(status), len(b))
	return append([]byte(header), b...), nil
}
