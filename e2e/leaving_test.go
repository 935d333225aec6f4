package e2e

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pearshelf/pearshelf/internal/availability"
	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/operator"
	"github.com/pearshelf/pearshelf/internal/process"
	"github.com/pearshelf/pearshelf/internal/settings"
	"github.com/pearshelf/pearshelf/standin/backend"
	"github.com/pearshelf/pearshelf/standin/fleet"
)

// tool runs one statement with the operators' tool against a host.
func tool(f *fleet.Fleet, i int, verb string, words ...string) (string, error) {
	out := &bytes.Buffer{}
	app, err := operator.New(operator.Config{Host: f.Hosts[i].OperatorAddress(), Output: operator.FormatTable, Actor: "test", Out: out})
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	err = app.Statement(ctx, verb, words)
	return out.String(), err
}

var _ = Describe("a leaving backend server gets no new work", func() {
	// expectNoWork sends requests through every host and sees none arrive.
	expectNoWork := func(f *fleet.Fleet, id string) {
		GinkgoHelper()
		for _, d := range f.Hosts {
			Eventually(func() bool {
				rotation, _ := fleet.Rotation(d, "shop", id)
				return rotation.In
			}, patience).Should(BeFalse())
		}
		before := f.Backends["shop"][id].Served()
		for n := range 60 {
			r := mustCall("POST", "http://"+f.Hosts[n%len(f.Hosts)].CallerAddress()+"/shop/order", "x")
			Expect(r.outcome()).To(Equal("complete"))
		}
		Expect(f.Backends["shop"][id].Served()).To(Equal(before))
	}

	It("after an operator's drain at one host, until the undrain", func() {
		f := start(4, []config.Service{shop(3)})
		out, err := tool(f, 2, "drain", "backend", "shop/b2")
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(ContainSubstring("4 of 4 hosts confirmed"))
		expectNoWork(f, "b2")
		_, err = tool(f, 0, "undrain", "backend", "shop/b2")
		Expect(err).NotTo(HaveOccurred())
		for _, d := range f.Hosts {
			Eventually(func() bool {
				rotation, _ := fleet.Rotation(d, "shop", "b2")
				return rotation.In
			}, patience).Should(BeTrue())
		}
	})

	It("after the platform marks it", func() {
		f := start(4, []config.Service{shop(3)})
		f.Document.Services[0].Backends[0].Leaving = true
		_, err := f.Publish()
		Expect(err).NotTo(HaveOccurred())
		expectNoWork(f, "b1")
	})

	It("after the server says so itself", func() {
		f := start(4, []config.Service{shop(3)})
		f.Backends["shop"]["b3"].SetFaults(backend.Faults{Draining: true})
		Eventually(func() bool { // each active owner learns from an answer of its own
			known := true
			for _, d := range f.Hosts {
				mustCall("POST", "http://"+d.CallerAddress()+"/shop/order", "x")
				reason, _ := d.Availability().Of(process.Server{Service: "shop", ID: "b3"})
				known = known && (reason == availability.Leaving || !d.Snapshot().Services["shop"].SelfOwner)
			}
			return known
		}, patience).Should(BeTrue())
		before := f.Backends["shop"]["b3"].Served()
		for n := range 60 {
			mustCall("POST", "http://"+f.Hosts[n%4].CallerAddress()+"/shop/order", "x")
		}
		Expect(f.Backends["shop"]["b3"].Served()).To(Equal(before))
	})

	It("but a drain below the floor is refused with the remedy", func() {
		svc := shop(3)
		svc.Floor = 3
		f := start(2, []config.Service{svc})
		_, err := tool(f, 0, "drain", "backend", "shop/b1")
		Expect(err).To(MatchError(ContainSubstring("lower the floor first")))
		_, err = tool(f, 0, "set", "service", "shop", "floor", "2")
		Expect(err).NotTo(HaveOccurred())
		_, err = tool(f, 0, "drain", "backend", "shop/b1")
		Expect(err).NotTo(HaveOccurred())
	})

	It("and of two operators racing on one field one wins everywhere and the other is told", func() {
		f := start(3, []config.Service{shop(3)})
		var wg sync.WaitGroup
		errs := make([]error, 2)
		for i := range errs {
			wg.Go(func() { _, errs[i] = tool(f, i, "set", "service", "shop", "floor", fmt.Sprint(i+1)) })
		}
		wg.Wait()
		floors := make(map[string]bool)
		for i := range f.Hosts {
			out, err := tool(f, i, "show", "directives")
			Expect(err).NotTo(HaveOccurred())
			floors[out] = true
		}
		Expect(floors).To(HaveLen(1), "all hosts hold the same write")
		told := 0
		for _, err := range errs {
			if err != nil {
				Expect(operator.ExitCode(err)).To(Equal(operator.ExitSuperseded))
				told++
			}
		}
		Expect(told).To(BeNumerically("<=", 1))
		out, err := tool(f, 0, "show", "directives")
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(ContainSubstring("floor"))
		_, err = tool(f, 0, "set", "service", "shop", "floor", "0", "expect", "1")
		Expect(operator.ExitCode(err)).To(Equal(operator.ExitSuperseded))
	})
})

// isReady asks a host whether it takes callers. It closes the answer: left open, each
// question of a host that is not ready would hold a connection, up to the process's limit.
func isReady(client *http.Client, address string) bool {
	resp, err := client.Get("http://" + address + "/.well-known/pearshelf/ready")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

var _ = Describe("a planned stop cuts off no request", func() {
	// load sends requests to the hosts of the fleet as a balancer would, until
	// stopped, and returns what went wrong.
	type load struct {
		sent, failed atomic.Int64
		first        atomic.Value
		wg           sync.WaitGroup
		stopped      atomic.Bool
	}
	begin := func(f *fleet.Fleet, hosts []int, addresses []string) *load {
		l := &load{}
		for _, i := range hosts {
			for range 3 {
				l.wg.Go(func() {
					client := &http.Client{Transport: &http.Transport{}}
					for n := 0; !l.stopped.Load(); n++ {
						if !isReady(client, addresses[i]) {
							continue // the balancer sends callers elsewhere
						}
						l.sent.Add(1)
						resp, err := client.Post("http://"+addresses[i]+"/shop/order", "text/plain", bytes.NewBufferString("x"))
						if err != nil {
							l.failed.Add(1)
							l.first.CompareAndSwap(nil, err.Error())
							continue
						}
						raw, err := io.ReadAll(resp.Body)
						resp.Body.Close()
						if err != nil || resp.StatusCode != 200 {
							l.failed.Add(1)
							l.first.CompareAndSwap(nil, fmt.Sprint(resp.StatusCode, err, string(raw)))
						}
					}
				})
			}
		}
		return l
	}

	It("of each host in turn under load, a long download included", func() {
		const size = 200 << 20
		f := start(3, []config.Service{shop(3)}, serviceTime, download(size))
		var addresses []string
		for _, d := range f.Hosts {
			addresses = append(addresses, d.CallerAddress())
		}
		l := begin(f, []int{0, 1, 2}, addresses)
		for i := range f.Hosts {
			resp, err := http.Get("http://" + addresses[i] + "/download/list")
			Expect(err).NotTo(HaveOccurred())
			half := make([]byte, 1<<19)
			_, err = io.ReadFull(resp.Body, half)
			Expect(err).NotTo(HaveOccurred())
			stopped := make(chan error, 1)
			go func() { stopped <- f.Hosts[i].Stop(context.Background()) }()
			Eventually(func() bool { return f.Hosts[i].Snapshot().Leaving }, patience).Should(BeTrue())
			Consistently(stopped, "500ms").ShouldNot(Receive(), "waits for the download")
			rest, err := io.Copy(io.Discard, resp.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(int64(len(half)) + rest).To(Equal(int64(size)))
			resp.Body.Close()
			Eventually(stopped, patience).Should(Receive(BeNil()))
			Expect(f.StartAgain(i)).To(Succeed())
			Eventually(f.Hosts[i].Ready, patience).Should(BeTrue())
		}
		l.stopped.Store(true)
		l.wg.Wait()
		Expect(l.sent.Load()).To(BeNumerically(">", 100))
		Expect(l.failed.Load()).To(BeZero(), fmt.Sprint(l.first.Load()))
	})

	It("while a host goes on serving kept connections for its grace", func() {
		const grace = 3 * time.Second
		f := start(2, []config.Service{shop(2)}, func(c *fleet.Config) {
			c.Settings = func(i int, s *settings.Settings) {
				quick(i, s)
				s.Timing.StopGrace = config.Duration(grace)
			}
		})
		kept := "http://" + f.Hosts[0].CallerAddress() + "/shop/order"
		mustCall("POST", kept, "x")
		stopped := make(chan error, 1)
		go func() { stopped <- f.Hosts[0].Stop(context.Background()) }()
		Eventually(func() bool { return f.Hosts[0].Snapshot().Leaving }, patience).Should(BeTrue())
		Expect(mustCall("POST", kept, "x").outcome()).To(Equal("complete"))
		Eventually(stopped, patience).Should(Receive(BeNil()))
	})

	// Guards against a stop by an operator that the platform's SIGTERM cuts short.
	It("by an operator's command that a signal follows, until a second signal", func() {
		const size = 200 << 20
		f := start(2, []config.Service{shop(2)}, download(size))
		host := f.Hosts[0]
		resp, err := http.Get("http://" + host.CallerAddress() + "/download/list")
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		_, err = io.CopyN(io.Discard, resp.Body, size/2)
		Expect(err).NotTo(HaveOccurred())
		_, err = tool(f, 1, "stop", "host", "h1")
		Expect(err).NotTo(HaveOccurred())
		signals, stopped := make(chan os.Signal), make(chan error, 1)
		go func() { stopped <- host.AwaitStop(signals) }()
		Eventually(func() bool { return host.Snapshot().Leaving }, patience).Should(BeTrue())
		Eventually(signals, patience).Should(BeSent(os.Signal(syscall.SIGTERM)))
		Consistently(stopped, "500ms").ShouldNot(Receive(), "waits for the download")
		Eventually(signals, patience).Should(BeSent(os.Signal(syscall.SIGTERM)))
		Eventually(stopped, patience).Should(Receive(MatchError(ContainSubstring("second signal"))))
		_, err = io.Copy(io.Discard, resp.Body)
		Expect(err).To(HaveOccurred())
	})

	It("by a signal, but ends before the platform kills it", func() {
		f := start(2, []config.Service{shop(1)}, func(c *fleet.Config) {
			c.Settings = func(i int, s *settings.Settings) {
				quick(i, s)
				s.Timing.KillAfter = config.Duration(time.Second)
			}
		})
		f.Backends["shop"]["b1"].SetFaults(backend.Faults{Hang: true})
		answered := make(chan error, 1)
		go func() {
			_, err := call("POST", "http://"+f.Hosts[0].CallerAddress()+"/shop/order", "x", "Pearshelf-Timeout-Ms", "60000")
			answered <- err
		}()
		Eventually(f.Backends["shop"]["b1"].InUse, patience).Should(Equal(1))
		signals := make(chan os.Signal, 1)
		signals <- syscall.SIGTERM
		Expect(f.Hosts[0].AwaitStop(signals)).To(MatchError(ContainSubstring("before the platform kills")))
		Eventually(answered, patience).Should(Receive(HaveOccurred()))
	})

	It("by an operator's command", func() {
		f := start(3, []config.Service{shop(2)})
		_, err := tool(f, 0, "stop", "host", "h2")
		Expect(err).NotTo(HaveOccurred())
		Eventually(f.Hosts[1].StopRequests(), patience).Should(BeClosed())
		Expect(f.Hosts[1].Stop(context.Background())).To(Succeed())
		Eventually(func() int { return fleet.Live(f.Hosts[0]) }, patience).Should(Equal(2))
	})
})
