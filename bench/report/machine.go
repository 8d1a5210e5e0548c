// Package report implements what all measurements share: the figures of a run with its machine, revision
// and parameters, their table, JSON file and plot, and the comparison of two runs.
package report

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
)

// Machine describes the machine of a run.
type Machine struct {
	Cores int `json:"cores"`
	// MemoryBytes is the physical memory, 0 if it cannot be read.
	MemoryBytes uint64 `json:"memory_bytes"`
	CPU         string `json:"cpu"`
	GoVersion   string `json:"go_version"`
	Platform    string `json:"platform"`
	// LoadAverage is the load of the system over the last minute when the run began. A value above the load
	// of the bench itself means that other processes were using the cores.
	LoadAverage float64 `json:"load_average"`
}

// ThisMachine returns the description of this machine.
func ThisMachine() Machine {
	return Machine{
		Cores: runtime.NumCPU(), MemoryBytes: memoryBytes(), CPU: cpuModel(),
		GoVersion: runtime.Version(), Platform: runtime.GOOS + "/" + runtime.GOARCH,
		LoadAverage: LoadAverage(),
	}
}

// String returns the description as one line of text.
func (m Machine) String() string {
	return fmt.Sprintf("%d cores (%s), %.1f GiB memory, %s %s, load average %.1f",
		m.Cores, m.CPU, float64(m.MemoryBytes)/(1<<30), m.GoVersion, m.Platform, m.LoadAverage)
}

// LoadAverage returns the load of the system over the last minute, or 0 if unknown.
func LoadAverage() float64 {
	raw, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(raw), " ")
	load, err := strconv.ParseFloat(first, 64)
	if err != nil {
		return 0
	}
	return load
}

func memoryBytes() uint64 {
	kib, err := strconv.ParseUint(strings.TrimSuffix(procField("/proc/meminfo", "MemTotal"), " kB"), 10, 64)
	if err != nil {
		return 0
	}
	return kib << 10
}

func cpuModel() string { return procField("/proc/cpuinfo", "model name") }

// procField returns the value of the first "key: value" line, or "".
func procField(path, key string) string {
	file, err := os.Open(path)
	if err != nil {
		return ""
	}
	defer func() { _ = file.Close() }()
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		name, value, _ := strings.Cut(scanner.Text(), ":")
		if strings.TrimSpace(name) == key {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

// Revision returns the revision of the working tree, with "+" appended if files were changed, or
// "unknown" outside of a working tree.
func Revision() string {
	head, err := exec.Command("git", "rev-parse", "--short=12", "HEAD").Output()
	if err != nil {
		return "unknown"
	}
	revision := strings.TrimSpace(string(head))
	changed, err := exec.Command("git", "status", "--porcelain", "--untracked-files=no").Output()
	if err == nil && len(changed) > 0 {
		revision += "+"
	}
	return revision
}
