package dispatch

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/availability"
)

// Every answer of a backend server must pass sendToServer, or what the server says of itself
// is lost with that way to send: copies that lost, trials and continued downloads were such.
// The others that call send go to owner hosts.
func TestAllAnswersOfServersAreRead(t *testing.T) {
	want := []string{"forward", "reopenAtOwner", "sendToServer"}
	var callers []string
	for name, call := range callsInPackage(t) {
		if slices.Contains(call, "x.send") {
			callers = append(callers, name)
		}
	}
	slices.Sort(callers)
	if !slices.Equal(callers, want) {
		t.Errorf("send is called by %v, want %v", callers, want)
	}
}

// Every request that leaves this host asks lastLook right before its first byte, and
// lastLook asks what the server has said.
func TestAllSendsAskAgainAtTheFirstByte(t *testing.T) {
	calls := callsInPackage(t)
	for name, called := range calls {
		if slices.Contains(called, "to.via.Do") && name != "send" {
			t.Errorf("%s sends by itself", name)
		}
	}
	if !slices.Contains(calls["send"], "x.lastLook") || !slices.Contains(calls["lastLook"], "x.mayStillSend") {
		t.Error("send does not ask again before the first byte")
	}
}

// Every request that leaves this host takes a token of the server's rate limit, shows it right
// before its first byte, and returns it if that is not sent; what every answer says of a limit is
// heard.
func TestAllSendsTakeTokensOfRateLimits(t *testing.T) {
	calls := callsInPackage(t)
	for _, call := range []string{"x.takeToken", "x.returnToken"} {
		if !slices.Contains(calls["send"], call) {
			t.Errorf("send does not call %s", call)
		}
	}
	if !slices.Contains(calls["lastLook"], "x.checkToken") {
		t.Error("the token is not looked at before the first byte")
	}
	if !slices.Contains(calls["sendToServer"], "x.d.rateLimits.Heard") {
		t.Error("answers' rate limits are not heard")
	}
}

// callsInPackage returns what each function of this package calls, by the function's name.
func callsInPackage(t *testing.T) map[string][]string {
	t.Helper()
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	calls := make(map[string][]string)
	for _, path := range files {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		source, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, source, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, declaration := range file.Decls {
			function, ok := declaration.(*ast.FuncDecl)
			if !ok {
				continue
			}
			ast.Inspect(function, func(n ast.Node) bool {
				if call, ok := n.(*ast.CallExpr); ok {
					calls[function.Name.Name] = append(calls[function.Name.Name], nameOf(call.Fun))
				}
				return true
			})
		}
	}
	return calls
}

// nameOf is an expression like a.b.c as text, empty for any other.
func nameOf(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.Ident:
		return e.Name
	case *ast.SelectorExpr:
		return nameOf(e.X) + "." + e.Sel.Name
	default:
		return ""
	}
}

// A server whose rate limit has no room has given no word at any time: none is told of it.
func TestDescribeKnown(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	said := availability.State{SaidAt: now.Add(-20 * time.Millisecond)}
	for want, row := range map[string]struct {
		reason availability.Reason
		state  availability.State
	}{
		"":                      {availability.Available, said},
		"leaving:said-20ms-ago": {availability.Leaving, said},
		"resting:said-20ms-ago": {availability.Resting, said},
		"no-room":               {availability.NoRoom, availability.State{}},
	} {
		if got := describeKnown(row.reason, row.state, now); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}
