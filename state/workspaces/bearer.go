package workspaces

import "strings"

const schemeBearer = "Bearer"

// ParseBearer returns the key that the values of the header Authorization present, or the reason why they present none. The
// scheme is matched without regard to case (RFC 9110, section 11.1).
func ParseBearer(values []string) (key, reason string) {
	switch len(values) {
	case 0:
		return "", "no key"
	case 1:
	default:
		return "", "several keys"
	}
	scheme, rest, _ := strings.Cut(strings.Trim(values[0], " \t"), " ")
	key = strings.TrimLeft(rest, " ")
	switch {
	case !strings.EqualFold(scheme, schemeBearer):
		return "", "another scheme"
	case key == "":
		return "", "an empty key"
	case len(key) > MaxKeyBytes:
		return "", "a key that is too long"
	default:
		return key, ""
	}
}
