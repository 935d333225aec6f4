package waitqueue

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// A clock, lock, channel, socket or unseeded random number would make a host decide differently from a
// replay of the same calls.
func TestNoClockLockOrSocket(t *testing.T) {
	imports := []string{
		"cmp", "errors", "math", "math/rand/v2", "slices", "strconv", "time",
		"github.com/pearshelf/pearshelf/internal/errs",
		"github.com/pearshelf/pearshelf/internal/policy",
		"github.com/pearshelf/pearshelf/internal/world",
	}
	allowed := map[string][]string{"time": {"Duration", "Time", "Millisecond", "Second", "Minute"}, "rand": {"Rand"}}
	names, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, spec := range file.Imports {
			if path, _ := strconv.Unquote(spec.Path.Value); !slices.Contains(imports, path) {
				t.Errorf("%s imports %s", name, path)
			}
		}
		ast.Inspect(file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.GoStmt, *ast.SelectStmt, *ast.SendStmt, *ast.ChanType:
				t.Errorf("%s has a goroutine or channel", name)
			case *ast.SelectorExpr:
				from, ok := n.X.(*ast.Ident)
				if list, bounded := allowed[nameOf(from, ok)]; bounded && !slices.Contains(list, n.Sel.Name) {
					t.Errorf("%s uses %s.%s", name, from.Name, n.Sel.Name)
				}
			}
			return true
		})
	}
}

func nameOf(id *ast.Ident, ok bool) string {
	if !ok {
		return ""
	}
	return id.Name
}
