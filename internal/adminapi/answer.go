package adminapi

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/httpserver"
)

// tagged is an answer whose subtree version is sent as the header ETag. A change sends it
// back as If-Match.
type tagged interface{ versionTag() uint64 }

func writeJSON(w http.ResponseWriter, status int, answer any) {
	b, err := json.Marshal(answer)
	if err != nil {
		writeError(w, errkind.New(errkind.Internal, "encode the answer: %v", err))
		return
	}
	if t, ok := answer.(tagged); ok {
		w.Header().Set("ETag", `"`+strconv.FormatUint(t.versionTag(), 10)+`"`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(b, '\n'))
}

func writeError(w http.ResponseWriter, err error) { httpserver.WriteError(w, "", err) }

// readBody returns the request body, or an error if it is too long.
func readBody(q *request) ([]byte, error) {
	b, err := io.ReadAll(q.http.Body)
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		return nil, errkind.New(errkind.BodyTooLarge, "the request body is longer than %d bytes", tooLong.Limit)
	}
	if err != nil {
		return nil, errkind.New(errkind.BadRequest, "read the request body: %v", err)
	}
	return b, nil
}

// decodeBody parses the body into v. It rejects unknown keys, because a misspelled key would
// otherwise be treated as absent.
func decodeBody(q *request, v any) error {
	b, err := readBody(q)
	if err != nil {
		return err
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return errkind.New(errkind.BadRequest, "decode the request body: %v", err)
	}
	if d.More() {
		return errkind.New(errkind.BadRequest, "the request body has more than one JSON value")
	}
	return nil
}
