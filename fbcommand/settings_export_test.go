package fbcommand

import (
	"context"
	"errors"
	"fmt"
)

// RunSettings runs the settings command and returns its exit code.
func RunSettings(ctx context.Context, args []string, s Streams) int {
	err := NewSettings(s).ParseAndRun(ctx, args)
	var exit exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	if err != nil {
		_, _ = fmt.Fprintln(s.err, err)
		return ExitError
	}
	return ExitComplete
}
