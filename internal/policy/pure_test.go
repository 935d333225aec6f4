package policy

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

// Decisions use only the time and the random source that they are given, and take no lock, so that
// the same calls yield the same decisions on a host and in a replay.
func TestNoClockLockOrSocket(t *testing.T) {
	allowedImports := []string{
		"cmp", "math", "math/rand/v2", "slices", "time",
		"github.com/pearshelf/pearshelf/internal/api/peerpb",
		"github.com/pearshelf/pearshelf/internal/availability",
		"github.com/pearshelf/pearshelf/internal/errs",
		"github.com/pearshelf/pearshelf/internal/fairshare",
		"github.com/pearshelf/pearshelf/internal/pathloss",
		"github.com/pearshelf/pearshelf/internal/protocol",
		"github.com/pearshelf/pearshelf/internal/ratelimit",
		"github.com/pearshelf/pearshelf/internal/rendezvous",
		"github.com/pearshelf/pearshelf/internal/world",
	}
	// These packages may be used only as far as they read neither a clock nor the shared random
	// source and have no mutable state: a snapshot of what servers reported, not the table; a view
	// of their rate limits, not the listener.
	allowedCalls := map[string][]string{
		"time":         {"Duration", "Time", "Nanosecond", "Microsecond", "Millisecond", "Second", "Minute"},
		"rand":         {"Rand"},
		"availability": {"TableView", "Reason", "Available", "Returning", "ServerOf"},
		"fairshare":    {"Ledger", "NewLedger", "Count", "ReportedCustomers"},
		"pathloss":     {"Detector"},
		"ratelimit":    {"View"},
	}
	names, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	divisions, err := filepath.Glob("../fairshare/*.go") // the division of capacity is a decision too
	if err != nil {
		t.Fatal(err)
	}
	names = append(names, divisions...)
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, spec := range file.Imports {
			if path, _ := strconv.Unquote(spec.Path.Value); !slices.Contains(allowedImports, path) {
				t.Errorf("%s imports %s", name, path)
			}
		}
		ast.Inspect(file, func(n ast.Node) bool {
			selector, ok := n.(*ast.SelectorExpr)
			if !ok {
				return true
			}
			from, ok := selector.X.(*ast.Ident)
			if !ok {
				return true
			}
			if allowed, bounded := allowedCalls[from.Name]; bounded && !slices.Contains(allowed, selector.Sel.Name) {
				t.Errorf("%s uses %s.%s", name, from.Name, selector.Sel.Name)
			}
			return true
		})
		ast.Inspect(file, func(n ast.Node) bool {
			switch n.(type) {
			case *ast.GoStmt, *ast.SelectStmt, *ast.SendStmt, *ast.ChanType:
				t.Errorf("%s has a goroutine or channel", name)
			}
			return true
		})
	}
}
