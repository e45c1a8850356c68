package settings

import (
	"fmt"
	"os"
	"time"

	"github.com/rs/zerolog"
)

// minSecretBytes is the minimum length of the shared secret.
const minSecretBytes = 16

// checkCommon validates the settings that stores and entries have in common.
func (c *Common) checkCommon(file string) error {
	if c.Instance == "" {
		return &Error{File: file, Field: "instance", Reason: "is required"}
	}
	if c.DataCentre == "" {
		return &Error{File: file, Field: "data_centre", Reason: "is required"}
	}
	if len(c.SharedSecret) < minSecretBytes {
		return &Error{File: file, Field: "shared_secret", Reason: fmt.Sprintf("has fewer than %d bytes", minSecretBytes)}
	}
	if _, err := zerolog.ParseLevel(c.LogLevel); err != nil {
		return &Error{File: file, Field: "log_level", Reason: err.Error()}
	}
	return nil
}

// NewLogger returns a logger that writes JSON lines to standard error, with the instance
// and the data centre as fields. Its level is "info" when LogLevel is empty or unknown.
// NewLogger also sets the time format of all zerolog loggers of the process.
func (c *Common) NewLogger() zerolog.Logger {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	level, err := zerolog.ParseLevel(c.LogLevel)
	if err != nil || c.LogLevel == "" {
		level = zerolog.InfoLevel
	}
	return zerolog.New(os.Stderr).Level(level).With().Timestamp().
		Str("instance", c.Instance).Str("data_centre", c.DataCentre).Logger()
}
