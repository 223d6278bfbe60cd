package docs

import (
	"go/ast"
	"go/token"
	"path"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

const modulePath = "postjunction/"

// layers are the packages from the top down, each entry with all below its folder unless a longer
// entry names them. A package imports only packages of its own layer or of lower ones;
// docs/architecture.md draws the same order.
var layers = [][]string{
	{"cmd", "tools"},
	{"platform"},
	{"internal/command", "internal/testing", "internal/replay"},
	{"internal/node"},
	{"internal/httpapi", "internal/lineserver"},
	{"internal/client", "internal/operator"},
	{"internal/delivery", "internal/presence"},
	{"internal/partitionlog/router", "internal/partitionlog/leader"},
	{"internal/samza"},
	{"internal/partitionlog"},
	{"internal/placement"},
	{"internal/control"},
	{"internal/nodelease"},
	{"internal/failuredetector", "internal/reachability"},
	{"internal/gossip"},
	{"internal/membership"},
	{"internal/disk", "internal/wire"},
	{"internal/assignment", "internal/voters", "internal/partition", "internal/configuration"},
	{
		"internal/apierror", "internal/callpolicy", "internal/clock", "internal/event", "internal/keylock", "internal/quorum",
		"internal/rawjson", "internal/recordtype", "internal/settings", "internal/usage", "internal/replay/recording",
	},
}

// checks are packages outside the layers: they may import anything and nothing imports them.
var checks = []string{"internal/docs", "internal/golden"}

func TestImports_RunDownward(t *testing.T) {
	walkSources(t, func(file string, source *ast.File, _ *token.FileSet) {
		importer := filepath.ToSlash(filepath.Dir(strings.TrimPrefix(file, "../../")))
		if strings.HasSuffix(file, "_test.go") || layerOf(importer) == outsideLayers {
			return
		}
		from := layerOf(importer)
		if from < 0 {
			t.Errorf("%s is in no layer", importer)
			return
		}
		for _, spec := range source.Imports {
			imported, err := strconv.Unquote(spec.Path.Value)
			if err != nil || !strings.HasPrefix(imported, modulePath) {
				continue
			}
			imported = strings.TrimPrefix(imported, modulePath)
			if to := layerOf(imported); to < from {
				t.Errorf("%s imports %s, which is in no layer or in a higher one", importer, imported)
			}
		}
	})
}

const (
	unknownLayer  = -1
	outsideLayers = -2
)

// layerOf returns the index of the layer that contains the package, by the longest matching entry.
func layerOf(name string) int {
	for directory := name; directory != "."; directory = path.Dir(directory) {
		for _, check := range checks {
			if check == directory {
				return outsideLayers
			}
		}
		for i, layer := range layers {
			for _, entry := range layer {
				if entry == directory {
					return i
				}
			}
		}
	}
	return unknownLayer
}
