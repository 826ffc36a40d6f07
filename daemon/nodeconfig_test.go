package daemon

import (
	"maps"
	"os"
	"regexp"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// gap matches a placeholder of the platform's template: a name, and whether it is filled with JSON.
var gap = regexp.MustCompile(`\{\{([a-zA-Z.]+)(\|json)?\}\}`)

// section matches a part of the template that is kept if its value is true or given.
var section = regexp.MustCompile(`(?s)\{\{#([a-zA-Z.]+)\}\}(.*?)\{\{/[a-zA-Z.]+\}\}`)

// TestTemplateGivesAValidConfiguration fills in deploy/node.jsonc as the platform does, with
// example values of the platform's documentation.
func TestTemplateGivesAValidConfiguration(t *testing.T) {
	cfg := fillTemplate(t, nil)
	require.Equal(t, "edge-1", cfg.Instance)
	require.Equal(t, 8000, cfg.Limits.GraceMS)
	require.Equal(t, "http://10.200.1.7:8142", cfg.ObjectStore)
	require.InDelta(t, 0.4, cfg.Limits.CPUShare, 1e-9)
	require.Zero(t, cfg.Fresh.RevokedMS)
	require.Zero(t, cfg.Fresh.EvacuateMS)
	require.Equal(t, map[string]string{"pnw": "west"}, cfg.Regions)
	require.Equal(t, DefaultNodeConfig().Allowances, cfg.Allowances)
	require.Equal(t, 16, cfg.Lending.InstancesAbove)
}

// TestLendingIsOffUnlessConfigured checks that a configuration without the section lends nothing,
// and that a negative size is reported.
func TestLendingIsOffUnlessConfigured(t *testing.T) {
	require.Zero(t, DefaultNodeConfig().Lending.InstancesAbove)
	_, err := ParseNodeConfig("node.jsonc", []byte(`{"lending": {"instancesAbove": -1}}`))
	require.ErrorContains(t, err, "/lending/instancesAbove: must not be negative")
}

// TestTemplateTakesTheAccountBounds fills in the template for a deployment with accounts.
func TestTemplateTakesTheAccountBounds(t *testing.T) {
	cfg := fillTemplate(t, map[string]string{
		"bounds.strictRevoke": "true", "bounds.revokeMs": "5000",
		"bounds.quotaWindowS": "8", "bounds.quotaOver": "0.1", "bounds.quotaSlack": "17000",
	})
	require.Equal(t, 4500*time.Millisecond, cfg.Fresh.maxKeysAge())
	require.Equal(t, AllowanceConfig{WindowS: 8, OverFraction: 0.1, Slack: 17000}, cfg.Allowances)
}

// TestTemplateTakesTheEvacuationBound fills in the template for a deployment that evacuates
// failure domains.
func TestTemplateTakesTheEvacuationBound(t *testing.T) {
	require.Equal(t, 5000, fillTemplate(t, map[string]string{"bounds.evacuateMs": "5000"}).Fresh.EvacuateMS)
}

func fillTemplate(t *testing.T, more map[string]string) NodeConfig {
	t.Helper()
	template, err := os.ReadFile("../deploy/node.jsonc")
	require.NoError(t, err)
	values := map[string]string{
		"nodeName": `"edge-1"`, "zone": `"pnw"`, "zones": `{"pnw": "west"}`, "listen.front": `"10.1.0.38:8149"`, "listen.ready": `"10.1.0.38:8141"`,
		"ip": "10.1.0.38", "platform.address": "10.200.1.7:8142", "portRange": "[7380,7395]",
		"bounds.budgetRatio": "0.2", "bounds.budgetSlack": "52", "bounds.leaseMs": "3000",
		"bounds.ceilingWindowS": "5", "bounds.ceilingOver": "1.1", "bounds.drainMs": "2000", "bounds.configMs": "3000", "bounds.contactMs": "3000",
		"bounds.graceS": "8", "limits.cpuShare": "0.4", "limits.cores": "1", "limits.linkMbps": "200", "limits.maxFds": "4100",
	}
	maps.Copy(values, more)
	given := section.ReplaceAllStringFunc(string(template), func(s string) string {
		parts := section.FindStringSubmatch(s)
		if _, known := values[parts[1]]; !known {
			return ""
		}
		return parts[2]
	})
	text := gap.ReplaceAllStringFunc(given, func(g string) string {
		name := gap.FindStringSubmatch(g)[1]
		value, known := values[name]
		require.True(t, known, "placeholder without a value: %s", name)
		return value
	})
	cfg, err := ParseNodeConfig("node.jsonc", []byte(text))
	require.NoError(t, err)
	return cfg
}

// TestOutlookIsSwitchedOnByConfiguration guards against forecasts that nobody asked for, and
// against a template that loses the section.
func TestOutlookIsSwitchedOnByConfiguration(t *testing.T) {
	require.False(t, DefaultNodeConfig().Outlook.Enabled)
	require.True(t, fillTemplate(t, nil).Outlook.Enabled)
	_, err := ParseNodeConfig("n.jsonc", []byte(`{"outlook": {"placesPerReplica": 0}}`))
	require.ErrorContains(t, err, "/outlook/placesPerReplica: must be above 0")
}

func TestNodeBoundsAreChecked(t *testing.T) {
	_, err := ParseNodeConfig("n.jsonc", []byte(`{"limits": {"graceMS": 0}, "retries": {"ratio": -1}, "logLevel": "loud"}`))
	require.ErrorContains(t, err, "/limits/graceMS: must be above 0")
	require.ErrorContains(t, err, "/retries/ratio: must not be negative")
	require.ErrorContains(t, err, "/logLevel: must be debug, info or error")
}
