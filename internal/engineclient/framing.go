package engineclient

import (
	"net/http"

	"github.com/bluebellsail/bluebellsail/internal/bodyend"
)

// Unframed reports whether the body of an answer has neither a length nor chunks and ends with its
// connection.
func Unframed(res *http.Response) bool {
	isHead := res.Request != nil && res.Request.Method == http.MethodHead
	return len(res.TransferEncoding) == 0 && res.ContentLength < 0 && !isHead
}

// EndOf returns what an answer shows about the end of its body, which has been read without an
// error.
func EndOf(res *http.Response, body []byte) bodyend.Verdict {
	if !Unframed(res) {
		return bodyend.Whole
	}
	return bodyend.Of(res.Header.Get("Content-Type"), body)
}
