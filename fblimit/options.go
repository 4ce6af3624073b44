package fblimit

import (
	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/filbertford/filbertford/fbconfig"
)

// NewOptions returns the limits of the settings for a process with the given memory in bytes. It
// returns an error if callers could not send a body of maxBody bytes.
func NewOptions(cfg *fbconfig.Config, memory, maxBody int) (Options, error) {
	connections, err := connectionLimit(cfg.Int("limits", "max-connections"), cfg.Int("limits", "max-descriptors"))
	if err != nil {
		return Options{}, err
	}
	percent := cfg.Int("limits", "memory-percent")
	account := memory / 100 * percent
	if need := ConnectionBytes + DecodedFactor*(maxBody+1); account < need {
		return Options{}, eris.Errorf("limits.memory-percent = %d leaves callers %d bytes, and a body of %d bytes takes %d", percent, account, maxBody, need)
	}
	return Options{
		Connections:  connections,
		Memory:       account,
		BodyTimeout:  cfg.Duration("limits", "body-timeout"),
		BodyRate:     cfg.Int("limits", "body-rate"),
		WriteTimeout: cfg.Duration("limits", "write-timeout"),
	}, nil
}

// connectionLimit returns how many connections callers may have open: at most half of the
// descriptors. The others are for targets, other daemons, the store and the other listeners.
func connectionLimit(connections, descriptors int) (int, error) {
	var r unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &r); err != nil {
		return 0, eris.Wrap(err, "reading the limit of descriptors")
	}
	system := int(min(r.Cur, 1<<30))
	if descriptors == 0 || system < descriptors {
		descriptors = system
	}
	return min(connections, max(1, descriptors/2)), nil
}
