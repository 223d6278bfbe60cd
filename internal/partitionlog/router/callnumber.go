package router

import "postjunction/internal/apierror"

// attemptCodes are the codes of rejections that apply to one attempt alone. The attempt was not
// accepted and never will be, but no leader decided on its call number.
var attemptCodes = map[apierror.Code]bool{
	apierror.NoPartitionLeader: true,
	apierror.Overloaded:        true,
	apierror.NoLease:           true,
	apierror.ShuttingDown:      true,
}

// RejectCallNumber returns the error with which to reject a client's call number after an attempt
// was rejected with err. A node knows of this attempt only. An earlier attempt under the same
// number, over another connection or through another node, may be in a log, a queue or a socket,
// and may still be accepted. So the outcome is unknown unless a leader decided on the number.
func RejectCallNumber(err error) error {
	if err == nil {
		return nil
	}
	rejected := apierror.From(err)
	if !attemptCodes[rejected.Code] {
		return err
	}
	unknown := apierror.New(apierror.OutcomeUnknown,
		"this attempt was not accepted (%v), earlier ones under the same number may have been", rejected)
	return unknown.WithRetryAfter(rejected.RetryAfter)
}
