package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"strconv"
)

// Headers of a large answer.
const (
	// HeaderAnswerBytes asks for an answer of that many bytes.
	HeaderAnswerBytes = "X-Answer-Bytes"
	// HeaderBodySum carries the SHA-256 of the request's body back.
	HeaderBodySum = "X-Body-Sum"
)

// maxAnswerBytes bounds an answer that a request may ask for.
const maxAnswerBytes = 16 << 20

// Content returns n bytes that depend on a request id, so that whoever knows
// the id can tell a foreign, short or mixed answer.
func Content(id string, n int) []byte {
	out := make([]byte, n)
	_, _ = rand.NewChaCha8(sha256.Sum256([]byte(id))).Read(out)
	return out
}

// BodySum returns the value of HeaderBodySum for a request's body.
func BodySum(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// answerBytes answers with the content that the request's id stands for.
func answerBytes(w http.ResponseWriter, r *http.Request, body []byte) {
	n, err := strconv.Atoi(r.Header.Get(HeaderAnswerBytes))
	if err != nil || n < 0 || n > maxAnswerBytes {
		http.Error(w, HeaderAnswerBytes+": not a size", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(n))
	w.Header().Set(HeaderBodySum, BodySum(body))
	_, _ = w.Write(Content(r.Header.Get("X-Request-Id"), n))
}
