package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"strconv"
)

// Headers for responses with generated content.
const (
	// HeaderResponseBytes is a request header that sets the size of the response
	// body.
	HeaderResponseBytes = "X-Answer-Bytes"
	// HeaderBodyDigest is a response header with the SHA-256 of the request body.
	HeaderBodyDigest = "X-Body-Sum"
)

// maxContentBytes bounds HeaderResponseBytes.
const maxContentBytes = 16 << 20

// ResponseContent returns n pseudo-random bytes determined by a request ID. A client can
// thus detect a response that is truncated, mixed up or meant for another
// request.
func ResponseContent(id string, n int) []byte {
	out := make([]byte, n)
	_, _ = rand.NewChaCha8(sha256.Sum256([]byte(id))).Read(out)
	return out
}

// BodyDigest returns the value of HeaderBodyDigest for a request body.
func BodyDigest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// writeContent responds with the content determined by the X-Request-Id header.
func writeContent(w http.ResponseWriter, r *http.Request, body []byte) {
	n, err := strconv.Atoi(r.Header.Get(HeaderResponseBytes))
	if err != nil || n < 0 || n > maxContentBytes {
		http.Error(w, HeaderResponseBytes+": not a size", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(n))
	w.Header().Set(HeaderBodyDigest, BodyDigest(body))
	_, _ = w.Write(ResponseContent(r.Header.Get("X-Request-Id"), n))
}
