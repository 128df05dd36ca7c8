package ctl

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	operatorv1 "github.com/dapplespindle/dapplespindle/api/operator/v1"
)

// versionText formats a version as REVISION@DIGEST, such as 12@0x00c0ffee00c0ffee.
func versionText(v *operatorv1.Version) string {
	return fmt.Sprintf("%d@%s", v.GetRevision(), digestText(v.GetDigest()))
}

func digestText(d uint64) string { return fmt.Sprintf("0x%016x", d) }

// parseVersion parses the format of versionText. It returns nil for an empty text.
func parseVersion(text string) (*operatorv1.Version, error) {
	if text == "" {
		return nil, nil
	}
	revision, digest, ok := strings.Cut(text, "@")
	if !ok {
		return nil, errors.Newf("version: %q is not REVISION@DIGEST", text)
	}
	r, err := strconv.ParseUint(revision, 10, 64)
	if err != nil {
		return nil, errors.Newf("version: %q is not a revision", revision)
	}
	d, err := parseDigest(digest)
	if err != nil {
		return nil, err
	}
	return &operatorv1.Version{Revision: r, Digest: d}, nil
}

// parseDigest parses a digest: hexadecimal with the prefix "0x", or decimal. It returns 0
// for an empty text.
func parseDigest(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	d, err := strconv.ParseUint(text, 0, 64)
	if err != nil {
		return 0, errors.Newf("digest: %q is not 0x and hexadecimal digits, or decimal", text)
	}
	return d, nil
}
