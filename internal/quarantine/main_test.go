package quarantine

import (
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

func TestMain(m *testing.M) {
	testutil.RunRapid(m, map[string]string{"rapid.seed": "20", "rapid.nofailfile": "true"})
}
