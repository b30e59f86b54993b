package parse

import (
	"net/http"
	"strings"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
)

const maxName = 64

// service parses a call to a plain service: /services/{name}/...
func (f *Filter) service(c *filter.Call, r *http.Request, body []byte) error {
	name, err := serviceName(r.URL.Path)
	if err != nil {
		return err
	}
	if !allowed(c.Team.Services, name) {
		return errkind.New(errkind.UnknownService, "team %s may not call service %s", c.TeamName, name)
	}
	c.Service = name
	c.Method = r.Method
	c.Path = r.URL.EscapedPath()
	c.Query = r.URL.RawQuery
	c.ContentType = r.Header.Get("Content-Type")
	c.Body = body
	c.BodyHash = hash(c.Method, c.Path, c.Query, body)
	c.Reserved = c.Team.ServiceTokens
	return nil
}

// serviceName returns the service's name in the path of a call to a plain service. A path with dot
// segments is rejected: the server might take it for another service than the router did.
func serviceName(path string) (string, error) {
	rest, ok := strings.CutPrefix(path, PrefixServices)
	if !ok {
		return "", errkind.New(errkind.UnknownPath, "no such path")
	}
	name, _, _ := strings.Cut(rest, "/")
	if !validName(name) {
		return "", errkind.New(errkind.UnknownService, "the path does not contain a valid service name")
	}
	for _, segment := range strings.Split(rest, "/") {
		if segment == "." || segment == ".." {
			return "", errkind.New(errkind.BadRequest, "the path contains dot segments")
		}
	}
	return name, nil
}

func validName(s string) bool {
	if s == "" || len(s) > maxName || strings.Trim(s, ".") == "" {
		return false
	}
	for _, r := range s {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '-', r == '_', r == '.':
		default:
			return false
		}
	}
	return true
}
