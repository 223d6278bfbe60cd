package log

import "postjunction/internal/apierror"

const nameMost = 128

// CheckName gives a problem for what can't be a key or a sender's name.
func CheckName(field, s string) error {
	ok := s != "" && len(s) <= nameMost
	for i := range len(s) {
		ok = ok && s[i] > ' ' && s[i] <= '~'
	}
	if !ok {
		return apierror.New(apierror.Malformed, "%s must be 1 to %d printable bytes without spaces", field, nameMost)
	}
	return nil
}
