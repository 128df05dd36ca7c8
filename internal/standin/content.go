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
	// HeaderAnswerBytes is a request header that sets the size of the response
	// body.
	HeaderAnswerBytes = "X-Answer-Bytes"
	// HeaderBodySum is a response header with the SHA-256 of the request body.
	HeaderBodySum = "X-Body-Sum"
)

// maxContentBytes bounds HeaderAnswerBytes.
const maxContentBytes = 16 << 20

// Content returns n pseudo-random bytes determined by a request ID. A client can
// thus detect a response that is truncated, mixed up or meant for another
// request.
func Content(id string, n int) []byte {
	out := make([]byte, n)
	_, _ = rand.NewChaCha8(sha256.Sum256([]byte(id))).Read(out)
	return out
}

// BodySum returns the value of HeaderBodySum for a request body.
func BodySum(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// writeContent responds with the content determined by the X-Request-Id header.
func writeContent(w http.ResponseWriter, r *http.Request, body []byte) {
	n, err := strconv.Atoi(r.Header.Get(HeaderAnswerBytes))
	if err != nil || n < 0 || n > maxContentBytes {
		http.Error(w, HeaderAnswerBytes+": not a size", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(n))
	w.Header().Set(HeaderBodySum, BodySum(body))
	_, _ = w.Write(Content(r.Header.Get("X-Request-Id"), n))
}
