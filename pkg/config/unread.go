package config

import (
	"encoding/json"
	"strings"
)

// Unread returns an unserved service for a document that Parse rejects for the given reason.
// It matches the requests that may belong to the document, as far as its match can be read.
func Unread(name string, document []byte, reason error) *Service {
	text := reason.Error()
	text = strings.ToValidUTF8(text[:min(len(text), MaxUnservedBytes)], "")
	return &Service{Name: Label(name, "unnamed"), Match: readMatch(document), Unserved: text}
}

// readMatch reads the match of a document that may be malformed. What can't be read matches
// anything.
func readMatch(document []byte) Match {
	var doc struct {
		Match struct {
			Host       json.RawMessage `json:"host"`
			PathPrefix json.RawMessage `json:"path_prefix"`
		} `json:"match"`
	}
	unknown := Match{PathPrefix: "/", PathUnknown: true}
	if json.Unmarshal(document, &doc) != nil {
		return unknown
	}
	if host := doc.Match.Host; host != nil && json.Unmarshal(host, &unknown.Host) != nil {
		unknown.Host = "" // any
	}
	var prefix string
	if json.Unmarshal(doc.Match.PathPrefix, &prefix) != nil || prefix == "" {
		return unknown
	}
	if prefix[0] != '/' {
		prefix = "/" + prefix
	}
	return Match{Host: unknown.Host, PathPrefix: prefix}
}
