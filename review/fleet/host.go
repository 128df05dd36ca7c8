package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of all hosts; each host has an address of its own.
type hostPorts struct{ front, ready, control, internal, metrics int }

// host is one entry host: the project's program as a process of its own.
type host struct {
	number int
	ip     string
	ports  hostPorts
	store  string // "IP:port" at which this host reaches the store
	seeds  []string
	zone   string
	grace  int
	dir    string
	first  bool

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	wanted bool // whether an end of the process is expected
	ends   []string
}

func freePorts(ips []string) hostPorts {
	var out []int
	for p := 21000 + os.Getpid()%4000; len(out) < 5; p++ {
		ok := true
		for _, ip := range ips {
			a := fmt.Sprintf("%s:%d", ip, p)
			ln, err := net.Listen("tcp", a)
			if err != nil {
				ok = false
				break
			}
			_ = ln.Close()
			c, err := net.ListenPacket("udp", a)
			if err != nil {
				ok = false
				break
			}
			_ = c.Close()
		}
		if ok {
			out = append(out, p)
		}
	}
	return hostPorts{out[0], out[1], out[2], out[3], out[4]}
}

// newHosts returns hosts on loopback addresses. Their processes are not started.
func newHosts(n int, store, dir string, firstIP int) []*host {
	var ips []string
	for i := range n {
		ips = append(ips, fmt.Sprintf("127.0.0.%d", firstIP+i))
	}
	ports := freePorts(ips)
	var seeds []string
	for _, ip := range ips[:min(3, n)] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip, ports.control))
	}
	var out []*host
	for i, ip := range ips {
		out = append(out, &host{number: i, ip: ip, ports: ports, store: store, seeds: seeds, zone: zoneName(i), grace: 6, dir: dir, first: true})
	}
	return out
}

func zoneName(i int) string { return []string{"ha-noi", "hai-phong", "bac-ninh"}[i%3] }

func (h *host) front() string { return fmt.Sprintf("%s:%d", h.ip, h.ports.front) }

func (h *host) settingsPath() string {
	return filepath.Join(h.dir, fmt.Sprintf("settings-%d.json", h.number))
}

// writeSettings writes the settings file in the form of the users' page.
func (h *host) writeSettings() {
	at := func(port int) string { return fmt.Sprintf("%s:%d", h.ip, port) }
	s := map[string]any{
		"self": map[string]any{
			"node-name": fmt.Sprintf("front-%s-%d", h.zone, h.number), "role": "entry", "machine-class": "front", "serves": []string{"front", "control"},
			"ip": h.ip, "zone": h.zone, "region": "bac-bo", "counts-as-loss": false, "bootstrap": h.first, "data-directory": nil,
			"limits": map[string]any{"cpu-share": 0.32, "cpu-cores": 1, "memory-mb": 284, "file-descriptors": 4100, "link-bandwidth-mbps": 1000.0, "disk-mb": 0},
		},
		"network": map[string]any{
			"listen-addresses":    map[string]any{"front": at(h.ports.front), "ready": at(h.ports.ready), "control": at(h.ports.control)},
			"internal-port-range": []int{h.ports.internal, h.ports.internal},
			"seeds":               h.seeds,
			"zones":               map[string]any{"ha-noi": "bac-bo", "hai-phong": "bac-bo", "bac-ninh": "bac-bo"},
		},
		"platform": map[string]any{
			"discovery": "platform", "entry": "virtual_ip", "heartbeat-interval-ms": 1500,
			"platform": map[string]any{"address": h.store, "form": "read", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576, "min-ttl-ms": 1000},
		},
		"terms": map[string]any{
			"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "health", "platform"},
			"fault-tolerance": map[string]any{"machines": 2, "zones": 0, "regions": 0},
			"bounds": map[string]any{
				"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "ack-timeout-ms": 4000, "catch-up-s": 4, "drain-timeout-ms": 2000,
				"grace-period-s": h.grace, "loss-slack-ms": 200, "config-apply-ms": 2000, "downgrade-slack-ms": 250, "outer-bound-ms": 5000,
				"retry-budget-ratio": 0.2, "budget-window-s": 10, "retry-budget-slack": 56, "recovery-s": 15, "probes-per-s": 60,
			},
		},
	}
	data, err := json.MarshalIndent(s, "", " ")
	must(err)
	must(os.WriteFile(h.settingsPath(), data, 0o644))
}

// start starts the process with the command of the deploy file.
func (h *host) start() {
	h.writeSettings()
	log, err := os.OpenFile(filepath.Join(h.dir, fmt.Sprintf("host-%d.log", h.number)), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	must(err)
	cmd := exec.Command("target/spindled-platform", fmt.Sprintf("--metrics-listen=%s:%d", h.ip, h.ports.metrics))
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DAPPLESPINDLE_CONFIG=" + h.settingsPath()}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(cmd.Start())
	exited := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.exited, h.wanted = cmd, exited, false
	h.mu.Unlock()
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		h.mu.Lock()
		if !h.wanted {
			h.ends = append(h.ends, fmt.Sprintf("%v", err))
		}
		h.mu.Unlock()
		close(exited)
	}()
}

// signal sends a signal to the process. Ends states that it ends the process.
func (h *host) signal(sig syscall.Signal, ends bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wanted = h.wanted || ends
	_ = h.cmd.Process.Signal(sig)
}

func (h *host) waitExit(d time.Duration) bool {
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(d):
		return false
	}
}

func (h *host) kill() {
	h.signal(syscall.SIGCONT, true)
	h.signal(syscall.SIGKILL, true)
	h.waitExit(5 * time.Second)
}

func (h *host) ready() bool {
	c := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/dapplespindle/readiness", h.ip, h.ports.ready))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func waitReady(hosts []*host, d time.Duration) bool {
	for deadline := time.Now().Add(d); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, h := range hosts {
			all = all && h.ready()
		}
		if all {
			return true
		}
	}
	return false
}
