package config

import (
	"regexp"
	"strconv"
	"unicode"
	"unicode/utf8"
)

// MaxNameBytes is the maximum length of the name of a service, a group or a rule, in bytes.
const MaxNameBytes = 256

// documentNamePattern is the form of names in service documents.
var documentNamePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// checkName checks the name of a service, a group or a rule. Such names only identify their
// item in logs and metrics, and a platform may allow any: no name keeps an item from being
// served.
func checkName(field, name string) error {
	switch {
	case name == "" || len(name) > MaxNameBytes:
		return &FieldError{field, "has " + strconv.Itoa(len(name)) + " bytes", "use 1 to 256"}
	case !printable(name):
		return &FieldError{field, strconv.Quote(name) + " is not printable text", "remove control characters"}
	}
	return nil
}

func printable(s string) bool {
	if !utf8.ValidString(s) {
		return false
	}
	for _, r := range s {
		if !unicode.IsPrint(r) {
			return false
		}
	}
	return true
}

// Label returns a valid name for an item that a platform names name. It is name itself where
// that is valid, and fallback for an empty one. Characters that are not printable are
// escaped, and a long name is cut.
func Label(name, fallback string) string {
	if name == "" {
		return fallback
	}
	if !printable(name) {
		quoted := strconv.Quote(name)
		name = quoted[1 : len(quoted)-1]
	}
	if len(name) <= MaxNameBytes {
		return name
	}
	end := MaxNameBytes
	for !utf8.RuneStart(name[end]) {
		end--
	}
	return name[:end]
}

// checkDocumentNames checks the names in a service document, which are keys of the platform
// and arguments of commands.
func (s *Service) checkDocumentNames() error {
	if err := checkDocumentName("name", s.Name); err != nil {
		return err
	}
	for i := range s.Groups {
		if err := checkDocumentName(elementPath("groups", i)+".name", s.Groups[i].Name); err != nil {
			return err
		}
	}
	for i := range s.Rules {
		if err := checkDocumentName(elementPath("rules", i)+".name", s.Rules[i].Name); err != nil {
			return err
		}
	}
	return nil
}

func checkDocumentName(field, name string) error {
	if documentNamePattern.MatchString(name) {
		return nil
	}
	return &FieldError{field, strconv.Quote(name) + " is not a valid name", "use lower-case letters, digits and dashes, 63 at most"}
}
