package endless

import "testing"

// StartFor starts a server that accepts no more connections once a test has ended.
func StartFor(t testing.TB, response Response) *Server {
	t.Helper()
	s, err := Start(response)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}
