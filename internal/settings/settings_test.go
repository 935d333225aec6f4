package settings_test

import (
	"os"
	"strings"
	"testing"

	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/settings"
)

const validSettings = `host: h1
data_centre: dc1
caller: {listen: "127.0.0.1:1"}
peer: {listen: "127.0.0.1:2", insecure: true}
operator: {listen: "127.0.0.1:3", insecure: true}
platform: {address: "http://127.0.0.1:4"}
`

func TestSamplesLoad(t *testing.T) {
	for _, name := range []string{"h1", "h2", "h3"} {
		if _, err := settings.Load("../../examples/" + name + ".yaml"); err != nil {
			t.Error(err)
		}
	}
	raw, err := os.ReadFile("../../examples/shard.yaml")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := config.ParseDocument(raw); err != nil {
		t.Error(err)
	}
}

// Validation errors report the file, the line, the field and a remedy.
func TestStrictSettings(t *testing.T) {
	cases := map[string]struct{ text, want string }{
		"unknown key":        {validSettings + "hots: x\n", "line 7"},
		"wrong type":         {validSettings + "timing: {tick: fast}\n", "line 7"},
		"out of range":       {validSettings + "timing:\n  tick: 1h\n", "f.yaml:8: timing.tick: 1h0m0s is outside 5ms to 1s"},
		"duplicate address":  {strings.Replace(validSettings, "127.0.0.1:3", "127.0.0.1:2", 1), "operator.listen: \"127.0.0.1:2\" is already the address of peer.listen"},
		"no security":        {strings.Replace(validSettings, "\"127.0.0.1:2\", insecure: true", "\"127.0.0.1:2\"", 1), "peer.insecure: true"},
		"claim too long":     {validSettings + "timing: {claim_horizon: 1s, claim_timeout: 600ms}\n", "at most half of timing.claim_horizon"},
		"kill too soon":      {validSettings + "timing: {kill_after: 300ms}\n", "timing.kill_after: 300ms must be more than 300ms"},
		"owners on a store":  {strings.Replace(validSettings, "platform: {", "platform: {kind: store, ", 1), "forwarding: must be false with platform.kind: store"},
		"no mechanism":       {validSettings + "policy: {without: [copies, magic]}\n", "policy.without: unknown mechanism \"magic\""},
		"quota excess":       {validSettings + "quota: {excess: 12.5, slack: 20, window: 5s}\n", "f.yaml:7: quota.excess: 12.5 is outside 0 to 10"},
		"quota not a number": {validSettings + "quota: {slack: .nan}\n", "f.yaml:7: quota.slack"},
		"quota window":       {validSettings + "quota: {window: 1ms}\n", "f.yaml:7: quota.window: 1ms is outside 1s to 1h0m0s"},
		"no host":            {strings.Replace(validSettings, "host: h1", "host: ''", 1), "f.yaml:1: host"},
		"low ratio":          {validSettings + "scheduling:\n  wait_queue: {deferral_ratio: 1}\n", "f.yaml:8: scheduling.wait_queue.deferral_ratio: 1 is outside 1.5 to 100"},
		"few descriptors":    {validSettings + "max_descriptors: 63\n", "f.yaml:7: max_descriptors: 63 is outside 64 to 1048576"},
		"little memory":      {validSettings + "memory_mb: 32\n", "caller.max_header_bytes: 65536 needs a memory_mb of 37 or more"},
	}
	if _, err := settings.Parse("f.yaml", []byte(validSettings)); err != nil {
		t.Fatal(err)
	}
	for name, c := range cases {
		_, err := settings.Parse("f.yaml", []byte(c.text))
		if errs.KindOf(err) != errs.KindSettings || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %q in it", name, err, c.want)
		}
	}
}
