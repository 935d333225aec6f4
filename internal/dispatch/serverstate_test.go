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

// Every response of a backend server must pass through sendToServer, or the state that it reports
// is lost. This has happened for losing copies, trials and resumed downloads. The other callers of
// send go to other hosts.
func TestAllServerResponsesAreRead(t *testing.T) {
	want := []string{"forward", "relayThrough", "reopenAtHost", "sendToServer"}
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

// Every request that leaves this host must be checked by checkBeforeWrite right before its first
// byte, and checkBeforeWrite must check the state that the server has reported.
func TestAllSendsAreCheckedAtTheFirstByte(t *testing.T) {
	calls := callsInPackage(t)
	for name, called := range calls {
		if slices.Contains(called, "to.transport.Do") && name != "send" {
			t.Errorf("%s bypasses send", name)
		}
	}
	if !slices.Contains(calls["send"], "x.checkBeforeWrite") || !slices.Contains(calls["checkBeforeWrite"], "x.checkServer") {
		t.Error("send does not check the server's state before the first byte")
	}
}

// Every send must take a token of the server's rate limit, have it checked right before the first
// byte, and return it if no byte is sent. The limit reported in each response must be recorded.
func TestAllSendsTakeTokensOfRateLimits(t *testing.T) {
	calls := callsInPackage(t)
	for _, call := range []string{"x.takeToken", "x.returnToken"} {
		if !slices.Contains(calls["send"], call) {
			t.Errorf("send does not call %s", call)
		}
	}
	if !slices.Contains(calls["checkBeforeWrite"], "x.checkToken") {
		t.Error("the token is not checked before the first byte")
	}
	if !slices.Contains(calls["sendToServer"], "x.d.rateLimits.RecordLimit") {
		t.Error("rate limits reported in responses are not recorded")
	}
}

// callsInPackage returns the calls in each function of this package, by the function's name.
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

// nameOf returns an expression like a.b.c as text, empty for any other.
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

// For a server without room in its rate limit that has reported no state, the state's age must be
// omitted.
func TestFormatKnownState(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	said := availability.State{ReportedAt: now.Add(-20 * time.Millisecond)}
	for want, row := range map[string]struct {
		reason availability.Reason
		state  availability.State
	}{
		"":                      {availability.Available, said},
		"leaving:said-20ms-ago": {availability.Leaving, said},
		"resting:said-20ms-ago": {availability.Resting, said},
		"no-room":               {availability.RateLimited, availability.State{}},
	} {
		if got := formatKnownState(row.reason, row.state, now); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}
