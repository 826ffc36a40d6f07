//go:build !linux

package clock

import (
	"errors"
	"time"
)

// bootTime is not supported on other systems, where suspension is not detected.
func bootTime() (time.Duration, error) { return 0, errors.ErrUnsupported }
