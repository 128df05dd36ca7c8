package httpwire

import "strings"

// splitList splits a comma-separated header value and trims each element.
func splitList(v string) []string {
	parts := strings.Split(v, ",")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}
