package client

import "errors"

// Verdict names how a job ended, by the error that Do returned: served, refused, failed,
// unknown, invalid or expired; "" for an error that is none of this package's.
func Verdict(err error) string {
	var refused *RefusedError
	var failed *FailedError
	var unknown *UnknownOutcomeError
	var invalid *InvalidJobError
	var expired *ExpiredError
	switch {
	case err == nil:
		return "served"
	case errors.As(err, &refused):
		return "refused"
	case errors.As(err, &failed):
		return "failed"
	case errors.As(err, &unknown):
		return "unknown"
	case errors.As(err, &invalid):
		return "invalid"
	case errors.As(err, &expired):
		return "expired"
	}
	return ""
}
