package daemon

import (
	"os"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"
)

// gap is a gap of the platform's template: a name, and whether JSON is wanted.
var gap = regexp.MustCompile(`\{\{([a-zA-Z.]+)(\|json)?\}\}`)

// TestTemplateGivesAValidConfiguration fills deploy/node.jsonc in as the platform
// does, with values of its pages.
func TestTemplateGivesAValidConfiguration(t *testing.T) {
	template, err := os.ReadFile("../deploy/node.jsonc")
	require.NoError(t, err)
	values := map[string]string{
		"nodeName": `"edge-1"`, "zone": `"pnw"`, "listen.front": `"10.1.0.38:8149"`, "listen.ready": `"10.1.0.38:8141"`,
		"ip": "10.1.0.38", "platform.address": "10.200.1.7:8142", "portRange": "[7380,7395]",
		"bounds.budgetRatio": "0.2", "bounds.budgetSlack": "52", "bounds.leaseMs": "3000",
		"bounds.ceilingWindowS": "5", "bounds.ceilingOver": "1.1", "bounds.drainMs": "2000", "bounds.configMs": "3000", "bounds.contactMs": "3000",
		"bounds.graceS": "8", "limits.cpuShare": "0.4", "limits.cores": "1", "limits.linkMbps": "200",
	}
	text := gap.ReplaceAllStringFunc(string(template), func(g string) string {
		name := gap.FindStringSubmatch(g)[1]
		value, known := values[name]
		require.True(t, known, "a gap that this test does not fill: %s", name)
		return value
	})
	cfg, err := ParseNodeConfig("node.jsonc", []byte(text))
	require.NoError(t, err)
	require.Equal(t, "edge-1", cfg.Instance)
	require.Equal(t, 8000, cfg.Limits.GraceMS)
	require.Equal(t, "http://10.200.1.7:8142", cfg.ObjectStore)
	require.InDelta(t, 0.4, cfg.Limits.CPUShare, 1e-9)
}

func TestNodeBoundsAreChecked(t *testing.T) {
	_, err := ParseNodeConfig("n.jsonc", []byte(`{"limits": {"graceMS": 0}, "retries": {"ratio": -1}, "logLevel": "loud"}`))
	require.ErrorContains(t, err, "/limits/graceMS: must be above 0")
	require.ErrorContains(t, err, "/retries/ratio: must not be negative")
	require.ErrorContains(t, err, "/logLevel: must be debug, info or error")
}
