package cli

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/settings"
)

// Guards against ages of the command line that are ignored, and against a gateway that doesn't start
// as one isn't known.
func TestAgesOfTheCommandLineReplaceTheSettings(t *testing.T) {
	file := filepath.Join(t.TempDir(), "gateway.jsonc")
	text := `{"id": "g", "region": "r", "availabilityZone": "z", "peer": "127.0.0.1:1", "operator": "127.0.0.1:2",
  "platform": "127.0.0.1:3", "listen": "127.0.0.1:4", "ready": "127.0.0.1:5",
  "following": {"maxServerAge": "5s", "maxConfigAge": "6s"}}`
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	for _, x := range []struct {
		options        []string
		server, config time.Duration
		code           int
	}{
		{nil, 5 * time.Second, 6 * time.Second, ExitOK},
		{[]string{"--max-server-age-ms=3000", "--max-config-age-ms=4000"}, 3 * time.Second, 4 * time.Second, ExitOK},
		{[]string{"--max-server-age-ms=3000", "--max-config-age-ms="}, 3 * time.Second, 6 * time.Second, ExitOK},
		{[]string{"--max-server-age-ms=3s"}, 0, 0, ExitUsage},
		{[]string{"--max-server-age-ms=1"}, 0, 0, ExitUsage},
	} {
		var got settings.Following
		run := func(_ context.Context, s settings.Gateway, _ *logrus.Logger) error {
			got = s.Following
			return nil
		}
		code := Main(append([]string{"gateway", "--settings", file}, x.options...), run)
		assert.Equal(t, code, x.code, "%v", x.options)
		assert.Equal(t, got.MaxServerAge.D(), x.server, "%v", x.options)
		assert.Equal(t, got.MaxConfigAge.D(), x.config, "%v", x.options)
	}
}
