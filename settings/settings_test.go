package settings_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/examples"
	"github.com/eiderspring/eiderspring/jsonc"
	"github.com/eiderspring/eiderspring/settings"
)

// TestGolden runs the scripts in testdata/golden: load parses and checks a text, explain
// prints the effective values of a node, and resolve prints the target of a name.
func TestGolden(t *testing.T) {
	datadriven.Walk(t, "testdata/golden", func(t *testing.T, path string) {
		var tree *settings.Tree
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "load":
				loaded, err := settings.Load("tree.jsonc", []byte(d.Input))
				var refused *jsonc.Error
				if errors.As(err, &refused) {
					return refused.Error() + "\n"
				}
				require.NoError(t, err)
				tree = loaded
				return "ok\n"
			case "explain":
				return explain(tree, d.CmdArgs[0].Key)
			case "resolve":
				target, known := settings.NewCatalog(tree).Targets[d.CmdArgs[0].Key]
				if !known {
					return "unknown\n"
				}
				return fmt.Sprintf("unit=%s pool=%s kind=%s deadline=%s\n", target.Unit, target.Pool, target.Kind, target.Policy.Deadline)
			default:
				t.Fatalf("unknown command %s", d.Cmd)
				return ""
			}
		})
	})
}

func explain(tree *settings.Tree, path string) string {
	values, err := settings.Explain(tree, path)
	if err != nil {
		return err.Error() + "\n"
	}
	var b strings.Builder
	for _, v := range values {
		fmt.Fprintf(&b, "%s=%v from %s\n", v.Field, v.Value, v.Origin)
	}
	return b.String()
}

func TestExamplesHaveTheExpectedSizes(t *testing.T) {
	for _, tc := range []struct {
		name                                         string
		text                                         []byte
		pool                                         string
		engines, plain, models, adapters, concurrent int
		rate                                         float64
	}{
		{"tideline", examples.Tideline, "tideline-llm", 12, 3, 26, 64, 15, 1.4},
		{"liege", examples.Liege, "annotateur", 18, 3, 39, 95, 17, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tree, err := settings.Load(tc.name, tc.text)
			require.NoError(t, err)
			pool := tree.Pools[tc.pool]
			require.Equal(t, tc.engines, pool.Endpoints)
			require.Len(t, pool.Models, tc.models)
			adapters := 0
			for _, m := range pool.Models {
				adapters += len(m.Adapters)
			}
			require.Equal(t, tc.adapters, adapters)
			for name, p := range tree.Pools {
				if name != tc.pool {
					require.Equal(t, tc.plain, p.Endpoints)
				}
			}
			require.Equal(t, settings.WeightStore{LoadsPerSecond: tc.rate, Concurrent: tc.concurrent}, tree.WeightStore)
			require.Len(t, tree.FailureDomains, 3)
		})
	}
}

func FuzzLoad(f *testing.F) {
	f.Add(examples.Tideline)
	f.Add([]byte(`{"pools": {"p": null}}`))
	f.Add([]byte(`{"pools": {"p": {"models": {"m": {"adapters": {"a": null}}}}}, "services": {"s": null}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		tree, err := settings.Load("fuzz", text)
		if err != nil {
			return
		}
		for name, target := range settings.NewCatalog(tree).Targets {
			require.Equal(t, name, target.Name)
		}
	})
}
